import type { IncomingMessage, ServerResponse } from "node:http";

/**
 * Calls back once, when the response has been sent or the connection is lost.
 * `http` does not report a lost connection to a response that waits behind
 * another one on the connection.
 */
export function onExchangeEnd(
  { socket }: IncomingMessage,
  response: ServerResponse,
  callback: () => void,
): void {
  let hasEnded = false;
  const end = (): void => {
    // A lost connection is reported to both, and a listener that is removed meanwhile still runs.
    if (hasEnded) return;
    hasEnded = true;
    response.off("close", end);
    socket.off("close", end);
    callback();
  };
  // One listener per request that was sent ahead on the connection.
  socket.setMaxListeners(0);
  socket.on("close", end);
  response.on("close", end);
}
