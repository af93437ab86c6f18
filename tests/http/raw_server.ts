import { createServer, type Server, type Socket } from "node:net";
import { Endpoint } from "../../src/adapters/http/endpoint.ts";
import { listenOn } from "../../src/adapters/listening/tcp_address.ts";
import { RealClock } from "../../src/adapters/time/real_clock.ts";
import { millis } from "../../src/core/clock.ts";

/** Starts a server that answers the first bytes on each connection. */
export async function startServer(
  answer: (socket: Socket) => void,
): Promise<Server> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => answer(socket));
  });
  await listenOn(server, "127.0.0.1:0");
  return server;
}

/** Sends one request to a server, then closes it. */
export async function sendRequest(server: Server, body?: Uint8Array) {
  const { port } = server.address() as { port: number };
  const endpoint = Endpoint.create({
    origin: `http://127.0.0.1:${port}`,
    clock: RealClock.create(),
    connections: 1,
    name: "test",
  });
  const answer = await endpoint.exchange({
    method: body === undefined ? "GET" : "POST",
    path: "/",
    ...(body !== undefined && { body }),
    timeout: millis(2_000),
  });
  await endpoint.close();
  server.close();
  return answer;
}
