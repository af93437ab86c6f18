import { type Either, Left } from "purify-ts";
import { buildConnector, Client, type Dispatcher, Pool } from "undici";
import { type Clock, type Millis, millis } from "../../core/clock.ts";
import { type Meter, silentMeter } from "../../ports/journal.ts";
import {
  type ExchangeFailure,
  type ExchangeRequest,
  type ExchangeResponse,
  runExchange,
} from "./exchange.ts";

/** Longest wait for a connection; below the silence limit of 3 s. */
const connectTimeout = millis(1000);

/** Shortest time between two replacements of all connections. */
const minReplacementInterval = millis(1000);

/** Where an endpoint is and how much may be open to it. */
export type EndpointOptions = {
  /** `http://HOST:PORT`. */
  readonly origin: string;
  readonly clock: Clock;
  /** Calls in flight at once, each on a connection of its own. */
  readonly connections: number;
  /** Label of the counters. */
  readonly name: string;
  readonly meter?: Meter;
};

/**
 * Connections to one server. Each call in flight has its own connection, so
 * that a silent one holds up nothing else; calls beyond the bound are refused
 * at once instead of waiting in a hidden queue.
 */
export class Endpoint {
  readonly #options: EndpointOptions;
  #pool: Pool;
  #replacedAt = millis(Number.NEGATIVE_INFINITY);
  #inFlight = 0;

  constructor(options: EndpointOptions) {
    this.#options = options;
    this.#pool = this.#createPool();
  }

  static create(options: EndpointOptions): Endpoint {
    return new Endpoint(options);
  }

  /** Starts a call whose answer goes to the handler; false if all connections are in use. */
  stream(
    request: Omit<Dispatcher.DispatchOptions, "origin">,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    if (!this.#tryAcquire()) return false;
    this.#pool.dispatch(request, this.#releaseOnEnd(handler));
    return true;
  }

  /** One call with its whole answer, on a connection that may have served before. */
  async exchange(
    request: ExchangeRequest,
  ): Promise<Either<ExchangeFailure, ExchangeResponse>> {
    const answer = await this.#run(request, this.#pool);
    answer.ifLeft(({ kind }) => {
      if (kind === "timeout") this.replaceConnections();
    });
    return answer;
  }

  /** One call on a connection made for it, so that no earlier silence can lose it. */
  async exchangeOnNewConnection(
    request: ExchangeRequest,
  ): Promise<Either<ExchangeFailure, ExchangeResponse>> {
    const client = new Client(this.#options.origin, connectionOptions);
    try {
      return await this.#run(request, client);
    } finally {
      client.destroy().catch(() => {});
    }
  }

  /**
   * Replaces idle connections after one was found silent: what silenced it has
   * often silenced others, and each would cost a call its silence limit. Calls
   * in flight go on.
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

  /** Breaks all connections. */
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
    return new Pool(origin, { ...connectionOptions, connections });
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

  /** Frees the place when undici has done with the call, not when the caller gives up. */
  #releaseOnEnd(
    handler: Dispatcher.DispatchHandler,
  ): Dispatcher.DispatchHandler {
    let open = true;
    const end = () => {
      if (open) this.#inFlight--;
      open = false;
    };
    return {
      onRequestStart: (controller, context) =>
        handler.onRequestStart?.(controller, context),
      onResponseStart: (controller, status, headers, message) =>
        handler.onResponseStart?.(controller, status, headers, message),
      onResponseData: (controller, chunk) =>
        handler.onResponseData?.(controller, chunk),
      onResponseEnd: (controller, trailers) => {
        end();
        if (endIsReset) {
          const error = new Error("The connection was reset");
          return handler.onResponseError?.(controller, error);
        }
        handler.onResponseEnd?.(controller, trailers);
      },
      onResponseError: (controller, error) => {
        end();
        handler.onResponseError?.(controller, error);
      },
    };
  }
}

const connectSocket = buildConnector({
  timeout: connectTimeout satisfies Millis,
});

/** The connection whose end is being handled was reset by the other side. */
let endIsReset = false;

/**
 * Connects, and tells resets from ends: undici takes an answer without a
 * length for complete when its connection is reset, and Node reports a reset
 * that arrives right behind data as an end. A write to such a connection fails.
 */
const connect: buildConnector.connector = (options, callback) => {
  connectSocket(options, (...result) => {
    const [, socket] = result;
    socket?.on("error", (error: NodeJS.ErrnoException) => {
      if (error.code === "ECONNRESET") error.code = "ERR_CONNECTION_RESET";
    });
    socket?.on("end", () => {
      socket.write(" ");
      endIsReset = socket.errored !== null;
      // undici handles the end within this turn.
      queueMicrotask(() => {
        endIsReset = false;
      });
    });
    callback(...result);
  });
};

/** Timeouts of undici that are 0 are replaced by deadlines on the `Clock`. */
const connectionOptions = {
  pipelining: 1,
  connect,
  headersTimeout: 0,
  bodyTimeout: 0,
  keepAliveTimeout: 4000,
};
