import { type Either, Left, Right } from "purify-ts";
import type { Dispatcher } from "undici";
import type { Cancel, Clock, Millis } from "../../core/clock.ts";

/** Default of the maximum size of a response body, in bytes. */
const defaultMaxBytes = 16 * 1024 * 1024;

/** Memory that a piece of a body takes beside its bytes, in bytes. */
const pieceOverhead = 256;

/** HTTP request whose response is buffered. */
export type ExchangeRequest = {
  readonly method: Dispatcher.HttpMethod;
  readonly path: string;
  readonly headers?: Record<string, string>;
  readonly body?: Uint8Array | string;
  /** Timeout for the whole response, in ms. */
  readonly timeout: Millis;
  /** Maximum size of the response body, in bytes; JSON that is parsed takes many times its size. */
  readonly maxBytes?: number;
  /** Time without any byte or interim response after which the call fails, in ms. */
  readonly inactivityTimeout?: Millis;
  /** The request must not be written at or after this time. */
  readonly validUntil?: Millis;
  /** Whether a response can be the answer; another one fails the call and closes its connection. */
  readonly isAnswer?: (headers: ExchangeResponse["headers"]) => boolean;
  /** Called when the head of the final response arrives. */
  readonly onHead?: (
    status: number,
    headers: ExchangeResponse["headers"],
  ) => void;
};

/** Complete response of an HTTP call. */
export type ExchangeResponse = {
  readonly status: number;
  readonly headers: Record<string, string | string[] | undefined>;
  readonly body: Buffer;
};

/** Why there is no complete response; only `not-sent` guarantees that nothing ran. */
export type ExchangeFailure = {
  readonly kind: "not-sent" | "broken" | "timeout";
  readonly detail: string;
};

/** Clock and dispatcher of a call. */
export type ExchangeContext = {
  readonly clock: Clock;
  readonly dispatch: (
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ) => boolean;
};

/** Runs one call; the promise settles when the timeout expires at the latest. */
export function runExchange(
  request: ExchangeRequest,
  context: ExchangeContext,
): Promise<Either<ExchangeFailure, ExchangeResponse>> {
  return new Promise((resolve) => {
    const handler = new ExchangeHandler(request, context.clock, resolve);
    const { method, path, headers, body } = request;
    context.dispatch({ method, path, headers, body }, handler);
  });
}

class ExchangeHandler implements Dispatcher.DispatchHandler {
  readonly #request: ExchangeRequest;
  readonly #clock: Clock;
  readonly #resolve: (
    result: Either<ExchangeFailure, ExchangeResponse>,
  ) => void;
  readonly #timers: Cancel[] = [];
  readonly #chunks: Buffer[] = [];
  #controller: Dispatcher.DispatchController | undefined;
  #head: Omit<ExchangeResponse, "body"> | undefined;
  #size = 0;
  #settled = false;
  #lastActivityAt: Millis;

  constructor(
    request: ExchangeRequest,
    clock: Clock,
    resolve: (result: Either<ExchangeFailure, ExchangeResponse>) => void,
  ) {
    this.#request = request;
    this.#clock = clock;
    this.#resolve = resolve;
    this.#lastActivityAt = clock.now();
    const expire = () =>
      this.#abort("timeout", `No answer within ${request.timeout} ms`);
    this.#timers.push(clock.schedule(request.timeout, expire));
    if (request.inactivityTimeout !== undefined) {
      this.#scheduleInactivityCheck(
        request.inactivityTimeout,
        request.inactivityTimeout,
      );
    }
  }

  /** Called by undici synchronously before it writes the request. */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    const { validUntil } = this.#request;
    if (validUntil !== undefined && this.#clock.now() >= validUntil) {
      this.#settle(failure("not-sent", "Request expired before it was sent"));
    }
    if (this.#settled)
      controller.abort(new Error("Call ended before the request was sent"));
    else this.#controller = controller;
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: ExchangeResponse["headers"],
  ): void {
    this.#lastActivityAt = this.#clock.now();
    if (status < 200) return;
    const { isAnswer = () => true, onHead } = this.#request;
    if (!isAnswer(headers))
      return this.#abort("broken", "The answer belongs to another request");
    this.#head = { status, headers };
    onHead?.(status, headers);
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer) {
    this.#lastActivityAt = this.#clock.now();
    const { maxBytes = defaultMaxBytes } = this.#request;
    this.#size += chunk.length + pieceOverhead;
    if (this.#size > maxBytes) {
      this.#abort("broken", `The answer exceeds ${maxBytes} bytes`);
    } else {
      this.#chunks.push(chunk);
    }
  }

  onResponseEnd(): void {
    if (this.#head === undefined) {
      this.#settle(failure("broken", "The answer has no status"));
    } else {
      const body = Buffer.concat(this.#chunks);
      this.#settle(Right({ ...this.#head, body }));
    }
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error) {
    const kind = this.#controller === undefined ? "not-sent" : "broken";
    this.#settle(failure(kind, error.message));
  }

  #scheduleInactivityCheck(limit: Millis, delay: Millis): void {
    const check = () => {
      const idle = this.#clock.now() - this.#lastActivityAt;
      if (idle >= limit)
        this.#abort("timeout", `No data received for ${limit} ms`);
      else this.#scheduleInactivityCheck(limit, (limit - idle) as Millis);
    };
    this.#timers[1] = this.#clock.schedule(delay, check);
  }

  #abort(kind: "timeout" | "broken", detail: string): void {
    const sent = this.#controller !== undefined;
    this.#settle(failure(sent ? kind : "not-sent", detail));
    this.#controller?.abort(new Error(detail));
  }

  #settle(result: Either<ExchangeFailure, ExchangeResponse>): void {
    if (this.#settled) return;
    this.#settled = true;
    for (const cancel of this.#timers) cancel();
    this.#resolve(result);
  }
}

function failure(
  kind: ExchangeFailure["kind"],
  detail: string,
): Either<ExchangeFailure, ExchangeResponse> {
  return Left({ kind, detail });
}
