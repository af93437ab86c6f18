import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { Server as Listener, type Socket } from "node:net";

/**
 * Ends the connections of an HTTP server, each after the last request that it
 * has taken. A request behind that one is not taken; its answer reaches the
 * caller only if the one before it did not announce the end.
 */
export class ConnectionCloser {
  readonly #server: Server;
  /** Open connections, with the responses that have not been written whole, in order. */
  readonly #connections = new Map<Socket, Set<ServerResponse>>();
  /** Number of requests that each connection has brought so far, taken or not. */
  readonly #counts = new WeakMap<Socket, number>();
  /** Connections that take no further request. */
  readonly #ending = new WeakSet<Socket>();
  #isClosing = false;

  private constructor(server: Server) {
    this.#server = server;
    server.on("connection", (socket: Socket) => {
      this.#connections.set(socket, new Set());
      socket.once("close", () => this.#connections.delete(socket));
    });
  }

  static create(server: Server): ConnectionCloser {
    return new ConnectionCloser(server);
  }

  /** Whether a request is taken; otherwise its connection is about to be closed. */
  admit({ socket }: IncomingMessage, response: ServerResponse): boolean {
    this.#counts.set(socket, this.countRequests(socket) + 1);
    if (this.#ending.has(socket)) return false;
    const responses = this.#connections.get(socket);
    responses?.add(response);
    response.once("close", () => responses?.delete(response));
    if (this.#isClosing) this.#endAfter(socket, response);
    return true;
  }

  /** Number of requests that a connection has brought. */
  countRequests(socket: Socket): number {
    return this.#counts.get(socket) ?? 0;
  }

  /** Ends each connection after its requests in progress, or after the next one if it is idle. */
  startClosing(): void {
    this.#isClosing = true;
    for (const socket of this.#connections.keys()) this.endAfterLast(socket);
  }

  /** Ends a connection after its requests in progress; false if there are none. */
  endAfterLast(socket: Socket): boolean {
    const last = [...(this.#connections.get(socket) ?? [])].at(-1);
    if (last !== undefined) this.#endAfter(socket, last);
    return last !== undefined;
  }

  /**
   * Ends a connection that brings no more requests after those that it has
   * brought whole or that are being answered; false if there are none.
   */
  endAfterComplete(socket: Socket): boolean {
    const responses = [...(this.#connections.get(socket) ?? [])];
    const last = responses
      .filter(({ req, headersSent }) => req.complete || headersSent)
      .at(-1);
    if (last !== undefined) this.#endAfter(socket, last);
    return last !== undefined;
  }

  /** Ends a connection once the bytes written have been sent; it takes no further request. */
  endAfterWrites(socket: Socket): void {
    this.#ending.add(socket);
    socket.destroySoon();
  }

  /** Takes no further request from a connection that is given its last answer. */
  takeNoMore(socket: Socket): void {
    this.#ending.add(socket);
  }

  /** Closes the listener and the connections without a request in progress; resolves when all are closed. */
  stopListening(): Promise<void> {
    this.startClosing();
    return new Promise((resolve) => {
      // The HTTP server's own method also destroys connections whose response is still being written.
      Listener.prototype.close.call(this.#server, () => resolve());
      for (const [socket, responses] of this.#connections) {
        if (responses.size === 0) socket.destroySoon();
      }
    });
  }

  #endAfter(socket: Socket, response: ServerResponse): void {
    if (this.#ending.has(socket)) return;
    this.#ending.add(socket);
    if (!response.headersSent) response.setHeader("Connection", "close");
    // The caller learns of the end with the last bytes, before it can send another request.
    else response.once("finish", () => socket.destroySoon());
  }
}
