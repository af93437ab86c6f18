import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/**
 * Ends the connections of an HTTP server during a stop, each after the last
 * request that it has taken. A request behind that one is not taken, since its
 * answer could not be delivered.
 */
export class ConnectionCloser {
  /** Latest request of each connection, until its response has ended. */
  readonly #latest = new Map<Socket, ServerResponse>();
  /** Connections that take no further request. */
  readonly #ending = new WeakSet<Socket>();
  #isClosing = false;

  static create(): ConnectionCloser {
    return new ConnectionCloser();
  }

  /** Whether a request is taken; otherwise its connection is about to be closed. */
  admit({ socket }: IncomingMessage, response: ServerResponse): boolean {
    if (this.#ending.has(socket)) return false;
    this.#latest.set(socket, response);
    response.once("close", () => {
      if (this.#latest.get(socket) === response) this.#latest.delete(socket);
    });
    if (this.#isClosing) this.#endAfter(socket, response);
    return true;
  }

  /** Ends each connection after its requests in progress, or after the next one if it is idle. */
  startClosing(): void {
    this.#isClosing = true;
    for (const [socket, response] of this.#latest)
      this.#endAfter(socket, response);
  }

  #endAfter(socket: Socket, response: ServerResponse): void {
    this.#ending.add(socket);
    if (!response.headersSent) response.setHeader("Connection", "close");
    // The caller learns of the end with the last bytes, before it can send another request.
    else response.once("finish", () => socket.destroySoon());
  }
}
