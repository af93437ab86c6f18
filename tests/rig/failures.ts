import { type Exchange, sealHead } from "./backend.ts";

/** A way in which a server fails a request. */
export type Failure = (exchange: Exchange) => void;

/** Answers that the request was not executed. */
export const answerNotExecuted: Failure = (exchange) =>
  writeNotExecuted(exchange, {});

/** Answers that the request was not executed, and that none is wanted for a time in s. */
export function answerNotExecutedFor(retryAfter: number): Failure {
  return (exchange) =>
    writeNotExecuted(exchange, { "retry-after": String(retryAfter) });
}

function writeNotExecuted(
  { requestId, response }: Exchange,
  fields: Readonly<Record<string, string>>,
): void {
  const head = { ...sealHead(requestId), "goldcrestwinch-not-executed": "1" };
  response.writeHead(503, { ...head, ...fields }).end();
}

/** Answers with an error of the server's own. */
export const answerError: Failure = ({ requestId, response }) => {
  response.writeHead(500, sealHead(requestId)).end();
};

/** Resets the connection. */
export const resetConnection: Failure = ({ message }) => {
  message.socket.resetAndDestroy();
};

/** Ends the connection without an answer. */
export const endConnection: Failure = ({ message }) => {
  message.socket.end();
};
