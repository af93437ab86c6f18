import assert from "node:assert/strict";
import { createServer, type Server, type Socket } from "node:net";
import { test } from "node:test";
import { Endpoint } from "../../src/adapters/http/endpoint.ts";
import { RealClock } from "../../src/adapters/time/real_clock.ts";
import { millis } from "../../src/core/clock.ts";

const head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

async function startServer(answer: (socket: Socket) => void): Promise<Server> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => answer(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return server;
}

async function sendRequest(server: Server) {
  const { port } = server.address() as { port: number };
  const endpoint = Endpoint.create({
    origin: `http://127.0.0.1:${port}`,
    clock: RealClock.create(),
    connections: 1,
    name: "test",
  });
  const answer = await endpoint.exchange({
    method: "GET",
    path: "/",
    timeout: millis(2_000),
  });
  await endpoint.close();
  server.close();
  return answer;
}

test("an answer without a length that ends with its connection counts as whole", async () => {
  const server = await startServer((socket) => socket.end(`${head}whole`));
  const answer = await sendRequest(server);
  assert.equal(answer.map(({ body }) => String(body)).extract(), "whole");
});

// undici reports such a response as complete, so a caller would receive a truncated body.
test("an answer without a length whose connection is reset is broken", async () => {
  const server = await startServer((socket) => {
    socket.write(`${head}half`);
    setTimeout(() => socket.resetAndDestroy(), 20);
  });
  const answer = await sendRequest(server);
  assert.equal(answer.isLeft(), true);
});

test("a reset directly after the data of an answer without a length breaks it", async () => {
  const server = await startServer((socket) => {
    socket.write(`${head}half`, () => socket.resetAndDestroy());
  });
  const answer = await sendRequest(server);
  assert.equal(answer.isLeft(), true);
});
