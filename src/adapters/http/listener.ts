import { once } from "node:events";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { Server as NetServer } from "node:net";
import type { Clock, Millis } from "../../core/clock.ts";
import { onExchangeEnd } from "./exchange_end.ts";

/** HTTP server that answers its open requests before it closes their connections. */
export class HttpListener {
  readonly #server: Server;
  readonly #clock: Clock;
  readonly #stopping = new AbortController();
  readonly #open = new Set<ServerResponse>();
  #onIdle = (): void => {};

  private constructor(options: {
    clock: Clock;
    createServer: (stopping: AbortSignal) => Server;
  }) {
    this.#clock = options.clock;
    this.#server = options.createServer(this.#stopping.signal);
    this.#server.on("request", (request, response) =>
      this.#track(request, response),
    );
  }

  /** Creates a listener; `stopping` tells the server to refuse requests that have not arrived. */
  static create(options: {
    clock: Clock;
    createServer: (stopping: AbortSignal) => Server;
  }): HttpListener {
    return new HttpListener(options);
  }

  /** Resolves once the server listens; rejects if the address is not available. */
  async listen(address: { host: string; port: number }): Promise<void> {
    this.#server.listen(address.port, address.host);
    await once(this.#server, "listening");
  }

  /** Stops accepting connections; resolves when all requests have been answered or `timeout` ms have passed. */
  finish(timeout: Millis): Promise<void> {
    // The `close` of `http` also closes connections whose last answer has not been sent yet.
    NetServer.prototype.close.call(this.#server);
    this.#stopping.abort();
    return new Promise((resolve) => {
      const cancel = this.#clock.schedule(timeout, resolve);
      this.#onIdle = () => {
        cancel();
        resolve();
      };
      if (this.#open.size === 0) this.#onIdle();
    });
  }

  /** Closes the server and all its connections at once. */
  async close(): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise((resolve) => this.#server.close(resolve));
  }

  #track(request: IncomingMessage, response: ServerResponse): void {
    this.#open.add(response);
    onExchangeEnd(request, response, () => {
      this.#open.delete(response);
      if (this.#open.size === 0) this.#onIdle();
    });
  }
}
