import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { test } from "node:test";
import { ReadPacer } from "../../src/adapters/http/read_pacer.ts";
import { RealClock } from "../../src/adapters/time/real_clock.ts";

/** Time within which a request is answered, in ms. */
const answerTimeout = 2_000;

// Guards against a version of Node whose server parses without a listener for
// data, where every request would wait for ever.
test("a connection that its server reads without a listener is left to the server", async (context) => {
  const server = createServer((_, response) => response.end("ok"));
  // The server's parser still takes the bytes from the socket's handle.
  server.on("connection", (socket: Socket) =>
    socket.removeAllListeners("data"),
  );
  ReadPacer.create(server, RealClock.create());
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  context.after(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  const signal = AbortSignal.timeout(answerTimeout);
  const answer = await fetch(`http://127.0.0.1:${port}/`, { signal });
  assert.equal(await answer.text(), "ok");
});
