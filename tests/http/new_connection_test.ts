import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Socket } from "node:net";
import { type TestContext, test } from "node:test";
import type { Dispatcher } from "undici";
import { Endpoint } from "../../src/adapters/http/endpoint.ts";
import { RealClock } from "../../src/adapters/time/real_clock.ts";
import { millis, sleep } from "../../src/core/clock.ts";
import { waitUntil } from "../support/wait.ts";

/** Time in which a further connection would be opened, in ms. */
const settleTime = millis(60);

const clock = RealClock.create();
const request = { method: "GET", path: "/" } as const;

/** Starts a server, and an endpoint that reaches it. */
async function open(context: TestContext, answer: (socket: Socket) => void) {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on("error", () => {});
    socket.on("data", () => answer(socket));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as { port: number };
  const endpoint = Endpoint.create({
    origin: `http://127.0.0.1:${port}`,
    clock,
    connections: 1,
    name: "test",
  });
  context.after(async () => {
    await endpoint.close();
    server.close();
  });
  return { endpoint, sockets };
}

test("a call on a new connection closes it at its end", async (context) => {
  const { endpoint, sockets } = await open(context, (socket) =>
    socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"),
  );
  let text = "";
  endpoint.streamOnNewConnection(request, {
    onRequestStart() {},
    onResponseData: (_, chunk) => {
      text += chunk;
    },
    onResponseError() {},
  });
  await waitUntil(() => sockets[0]?.destroyed === true);
  assert.equal(text, "ok");
  assert.equal(sockets.length, 1);
});

// Guards against a second connection, which undici opens after an aborted call.
test("an aborted call on a new connection opens no other one", async (context) => {
  let requests = 0;
  const { endpoint, sockets } = await open(context, () => requests++);
  let controller: Dispatcher.DispatchController | undefined;
  let failures = 0;
  endpoint.streamOnNewConnection(request, {
    onRequestStart: (started) => {
      controller = started;
    },
    onResponseError: () => {
      failures++;
    },
  });
  await waitUntil(() => requests === 1);
  controller?.abort(new Error("Cancelled"));
  await waitUntil(() => sockets[0]?.destroyed === true);
  await sleep(clock, settleTime);
  assert.equal(failures, 1);
  assert.equal(sockets.length, 1);
  // The place of the call is free again.
  assert.ok(endpoint.stream(request, { onResponseError() {} }));
});
