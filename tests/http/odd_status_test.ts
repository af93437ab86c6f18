import assert from "node:assert/strict";
import { test } from "node:test";
import { sendRequest, startServer } from "./raw_server.ts";

// Guards against the text of an assertion of the HTTP client in place of what the server did.
for (const status of ["000", "099", "600"]) {
  test(`a call that is answered with status ${status} fails with that status`, async () => {
    const head = `HTTP/1.1 ${status} X\r\nContent-Length: 5\r\n\r\n`;
    const server = await startServer((socket) => socket.write(`${head}sorry`));
    const answer = await sendRequest(server);
    assert.deepEqual(answer.swap().extract(), {
      kind: "broken",
      detail: `Status ${Number(status)} is not HTTP`,
    });
  });
}
