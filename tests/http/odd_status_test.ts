import assert from "node:assert/strict";
import { createServer } from "node:net";
import { test } from "node:test";
import { Endpoint } from "../../src/adapters/http/endpoint.ts";
import { listenOn } from "../../src/adapters/listening/tcp_address.ts";
import { RealClock } from "../../src/adapters/time/real_clock.ts";
import { millis } from "../../src/core/clock.ts";

/** Sends a request to a server that answers with a status; returns why it failed. */
async function readFailure(status: string): Promise<unknown> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () =>
      socket.write(`HTTP/1.1 ${status} X\r\nContent-Length: 5\r\n\r\nsorry`),
    );
  });
  await listenOn(server, "127.0.0.1:0");
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
  return answer.swap().extract();
}

// Guards against the text of an assertion of the HTTP client in place of what the server did.
for (const status of ["000", "099", "600"]) {
  test(`a call that is answered with status ${status} fails with that status`, async () => {
    assert.deepEqual(await readFailure(status), {
      kind: "broken",
      detail: `Status ${Number(status)} is not HTTP`,
    });
  });
}
