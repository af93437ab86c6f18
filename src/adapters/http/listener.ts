import { once } from "node:events";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Clock, Millis } from "../../core/clock.ts";
import { ConnectionCloser } from "./connection_closer.ts";

/** What a server asks its listener. */
export type Admission = {
  /** Whether a request is taken; otherwise its connection is about to be closed. */
  admit(request: IncomingMessage, response: ServerResponse): boolean;
  /** Aborted when requests that have not arrived are to be refused. */
  readonly stopping: AbortSignal;
};

/** Options of {@link HttpListener}. */
export type HttpListenerOptions = {
  readonly clock: Clock;
  readonly createServer: (admission: Admission) => Server;
};

/** HTTP server that answers its open requests before it closes their connections. */
export class HttpListener implements Admission {
  readonly #server: Server;
  readonly #clock: Clock;
  readonly #stopping = new AbortController();
  readonly #closer: ConnectionCloser;

  private constructor(options: HttpListenerOptions) {
    this.#clock = options.clock;
    this.#server = options.createServer(this);
    this.#closer = ConnectionCloser.create(this.#server);
  }

  static create(options: HttpListenerOptions): HttpListener {
    return new HttpListener(options);
  }

  get stopping(): AbortSignal {
    return this.#stopping.signal;
  }

  admit(request: IncomingMessage, response: ServerResponse): boolean {
    if (this.#closer.admit(request, response)) return true;
    request.resume();
    return false;
  }

  /** Resolves once the server listens; rejects if the address is not available. */
  async listen(address: { host: string; port: number }): Promise<void> {
    this.#server.listen(address.port, address.host);
    await once(this.#server, "listening");
  }

  /** Ends each connection after the requests that it has taken, or after its next one. */
  startClosing(): void {
    this.#closer.startClosing();
  }

  /** Stops accepting connections; resolves when all are closed or `timeout` ms have passed. */
  finish(timeout: Millis): Promise<void> {
    const closed = this.#closer.stopListening();
    this.#stopping.abort();
    return new Promise((resolve) => {
      const cancel = this.#clock.schedule(timeout, resolve);
      void closed.then(() => {
        cancel();
        resolve();
      });
    });
  }

  /** Closes the server and all its connections at once. */
  async close(): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise((resolve) => this.#server.close(resolve));
  }
}
