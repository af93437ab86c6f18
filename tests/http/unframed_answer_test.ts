import assert from "node:assert/strict";
import { createServer as createHttpServer } from "node:http";
import type { Socket } from "node:net";
import { test } from "node:test";
import { listenOn } from "../../src/adapters/listening/tcp_address.ts";
import { sendRequest, startServer } from "./raw_server.ts";

const head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

/** Values of the headers that give an answer a length. */
function frameOf(headers: Readonly<Record<string, unknown>>): unknown[] {
  const names = ["content-length", "transfer-encoding"];
  return names.flatMap((name) => headers[name] ?? []);
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

/** Size of an upload that the kernel does not take at once, in bytes. */
const longUpload = 20 * 1024 * 1024;

const cutsDuringUpload: Record<string, (socket: Socket) => void> = {
  "a reset directly after data": (socket) =>
    socket.write(`${head}half`, () => socket.resetAndDestroy()),
  "a close with unread bytes of the upload": (socket) => {
    socket.write(`${head}half`);
    socket.destroy();
  },
};

// The bytes of the upload that wait hid the reset: the caller would get a part as the whole.
for (const [name, cut] of Object.entries(cutsDuringUpload)) {
  test(`${name} breaks an answer without a length to an upload that is still being written`, async () => {
    const server = await startServer((socket) => {
      socket.pause();
      cut(socket);
    });
    const answer = await sendRequest(server, new Uint8Array(longUpload));
    assert.equal(answer.isLeft(), true);
  });
}

// The upload ends before the answer, so that nothing is left to be written at its end.
test("an answer without a length to a long upload counts as whole once the upload has been read", async () => {
  const server = createHttpServer((message, response) => {
    message.resume();
    message.on("end", () => {
      response.useChunkedEncodingByDefault = false;
      response.writeHead(200, { connection: "close" }).end("whole");
    });
  });
  await listenOn(server, "127.0.0.1:0");
  const answer = await sendRequest(server, new Uint8Array(longUpload));
  assert.equal(answer.map(({ body }) => String(body)).extract(), "whole");
  assert.deepEqual(answer.map(({ headers }) => frameOf(headers)).extract(), []);
});
