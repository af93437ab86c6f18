import type { Server } from "node:http";
import type { Socket } from "node:net";
import type { ConnectionCloser } from "./connection_closer.ts";

const timeoutCode = "ERR_HTTP_REQUEST_TIMEOUT";

/** Status lines by the code of the error for which a request cannot be read. */
const statusLines: { readonly [code: string]: string } = {
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
  [timeoutCode]: "408 Request Timeout",
};
const defaultStatusLine = "400 Bad Request";

/** Answers bytes that are no request, and requests whose heads do not arrive in time. */
export function answerBadRequests(
  server: Server,
  closer: ConnectionCloser,
): void {
  server.on("clientError", (error: NodeJS.ErrnoException, stream) => {
    const socket = stream as Socket;
    if (error.code !== timeoutCode) return answer(socket, error, closer);
    // After a standstill of the process the timeout is noticed before what has arrived meanwhile is read.
    const known = closer.countRequests(socket);
    setImmediate(() => {
      if (closer.countRequests(socket) === known) answer(socket, error, closer);
    });
  });
}

/**
 * Answers what cannot be read, and ends its connection. Behind requests in progress nothing is
 * written, since the caller would take it as the answer to the first of them. A request that
 * has not arrived whole never will, so that the answer is its own.
 */
function answer(
  socket: Socket,
  error: NodeJS.ErrnoException,
  closer: ConnectionCloser,
): void {
  if (!socket.writable) return void socket.destroy(error);
  if (closer.endAfterComplete(socket)) return;
  // The rest of the request may still arrive, and must not run after this answer.
  closer.takeNoMore(socket);
  const statusLine = statusLines[error.code ?? ""] ?? defaultStatusLine;
  socket.end(`HTTP/1.1 ${statusLine}\r\nConnection: close\r\n\r\n`);
}
