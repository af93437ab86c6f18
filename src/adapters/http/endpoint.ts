import { type Either, Left } from "purify-ts";
import { type buildConnector, Client, type Dispatcher, Pool } from "undici";
import { type Clock, millis } from "../../core/clock.ts";
import { type Meter, silentMeter } from "../../ports/journal.ts";
import { createConnector } from "./connector.ts";
import {
  type ExchangeFailure,
  type ExchangeRequest,
  type ExchangeResponse,
  runExchange,
} from "./exchange.ts";
import { controlFlow, type StreamHandler } from "./flow_handler.ts";

/** Timeout of a connection attempt, in ms; below the inactivity timeout of 3 s. */
const connectTimeout = millis(1000);

/** Minimum time between two replacements of all connections, in ms. */
const minReplacementInterval = millis(1000);

/** Address and connection limit of an endpoint. */
export type EndpointOptions = {
  /** `http://HOST:PORT`. */
  readonly origin: string;
  readonly clock: Clock;
  /** Maximum number of calls in flight, each on its own connection. */
  readonly connections: number;
  /** Value of the `endpoint` label of the counters. */
  readonly name: string;
  readonly meter?: Meter;
};

/**
 * Connection pool of one server. Each call in flight has its own connection,
 * so that an unresponsive one blocks no other call. Calls beyond the limit are
 * refused at once instead of waiting in a hidden queue.
 */
export class Endpoint {
  readonly #options: EndpointOptions;
  readonly #connect: buildConnector.connector;
  #pool: Pool;
  #replacedAt = millis(Number.NEGATIVE_INFINITY);
  #inFlight = 0;

  constructor(options: EndpointOptions) {
    this.#options = options;
    this.#connect = createConnector({
      clock: options.clock,
      timeout: connectTimeout,
      onSkipped: () => {
        const { meter = silentMeter, name } = options;
        meter.count("endpoint_skipped_total", { endpoint: name });
      },
    });
    this.#pool = this.#createPool();
  }

  static create(options: EndpointOptions): Endpoint {
    return new Endpoint(options);
  }

  /** Starts a call whose response goes to the handler; false if all connections are in use. */
  stream(
    request: Omit<Dispatcher.DispatchOptions, "origin">,
    handler: StreamHandler,
  ): boolean {
    if (!this.#tryAcquire()) return false;
    this.#pool.dispatch(request, this.#releaseOnEnd(handler));
    return true;
  }

  /** As `stream`, on a new connection that carries no other call. */
  streamOnNewConnection(
    request: Omit<Dispatcher.DispatchOptions, "origin">,
    handler: StreamHandler,
  ): boolean {
    if (!this.#tryAcquire()) return false;
    const client = this.#createClient();
    // A client that is only closed would connect once more after an aborted call.
    const destroy = () => void client.destroy().catch(() => {});
    client.dispatch(request, this.#releaseOnEnd(handler, destroy));
    return true;
  }

  /** Runs a call on a pooled connection and returns the whole response. */
  async exchange(
    request: ExchangeRequest,
  ): Promise<Either<ExchangeFailure, ExchangeResponse>> {
    const result = await this.#run(request, this.#pool);
    result.ifLeft(({ kind }) => {
      if (kind === "timeout") this.replaceConnections();
    });
    return result;
  }

  /** Runs a call on a new connection, so that it cannot be lost on an unresponsive pooled one. */
  async exchangeOnNewConnection(
    request: ExchangeRequest,
  ): Promise<Either<ExchangeFailure, ExchangeResponse>> {
    const client = this.#createClient();
    try {
      return await this.#run(request, client);
    } finally {
      client.destroy().catch(() => {});
    }
  }

  /**
   * Replaces the pooled connections after one was found unresponsive: the same
   * fault has often hit others, and each would cost one call its inactivity
   * timeout. Calls in flight continue.
   */
  replaceConnections(): void {
    const now = this.#options.clock.now();
    if (now < this.#replacedAt + minReplacementInterval) return;
    this.#replacedAt = now;
    this.#pool.close().catch(() => {});
    this.#pool = this.#createPool();
    const { meter = silentMeter, name } = this.#options;
    meter.count("endpoint_renewed_total", { endpoint: name });
  }

  /** Closes all connections; calls in flight fail. */
  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  async #run(
    request: ExchangeRequest,
    dispatcher: Dispatcher,
  ): Promise<Either<ExchangeFailure, ExchangeResponse>> {
    if (!this.#tryAcquire()) {
      const detail = `All ${this.#options.connections} connections are in use`;
      return Left({ kind: "not-sent", detail });
    }
    return runExchange(request, {
      clock: this.#options.clock,
      dispatch: (options, handler) =>
        dispatcher.dispatch(options, this.#releaseOnEnd(handler)),
    });
  }

  #createPool(): Pool {
    const { origin, connections } = this.#options;
    const connect = this.#connect;
    return new Pool(origin, { ...connectionOptions, connect, connections });
  }

  #createClient(): Client {
    const connect = this.#connect;
    return new Client(this.#options.origin, { ...connectionOptions, connect });
  }

  #tryAcquire(): boolean {
    if (this.#inFlight < this.#options.connections) {
      this.#inFlight++;
      return true;
    }
    const { meter = silentMeter, name } = this.#options;
    meter.count("endpoint_rejected_total", { endpoint: name });
    return false;
  }

  /** Frees the connection when undici has finished the call, not when the caller stops waiting for it. */
  #releaseOnEnd(
    handler: StreamHandler,
    onEnd = () => {},
  ): Dispatcher.DispatchHandler {
    return controlFlow(handler, () => {
      this.#inFlight--;
      onEnd();
    });
  }
}

/** Timeouts set to 0 are disabled in undici; timers on the `Clock` replace them. */
const connectionOptions = {
  pipelining: 1,
  headersTimeout: 0,
  bodyTimeout: 0,
  keepAliveTimeout: 4000,
};
