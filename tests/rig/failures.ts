import { type Exchange, sealHead } from "./backend.ts";

/** A way in which a server fails a request. */
export type Failure = (exchange: Exchange) => void;

/** Answers that the request was not executed. */
export const answerNotExecuted: Failure = ({ requestId, response }) => {
  const head = { ...sealHead(requestId), "goldcrestwinch-not-executed": "1" };
  response.writeHead(503, head).end();
};

/** Answers that the request was not executed, and that none is wanted for a time in s. */
export function answerNotExecutedFor(retryAfter: number): Failure {
  return ({ requestId, response }) => {
    const head = { ...sealHead(requestId), "goldcrestwinch-not-executed": "1" };
    response
      .writeHead(503, { ...head, "retry-after": String(retryAfter) })
      .end();
  };
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
