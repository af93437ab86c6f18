import { type Either, Left, Right } from "purify-ts";
import { type Clock, type Millis, millis } from "../../core/clock.ts";
import type { Meter } from "../../ports/journal.ts";
import { Endpoint } from "../http/endpoint.ts";

/** Deadline of one call to the platform; a renewal of the lease depends on it. */
const defaultTimeout = millis(1000);
/** Calls in flight at once to one service of the platform. */
const maximumConnections = 32;

/** Where a service of the platform is. */
export type PlatformClientOptions = {
  /** `http://HOST:PORT`. */
  readonly origin: string;
  readonly clock: Clock;
  readonly meter?: Meter;
  /** Deadline of one call, in ms. */
  readonly timeout?: Millis;
};

/** Why a call has no usable answer; only after `unavailable` is it certain that nothing was applied. */
export type PlatformFailure = {
  readonly kind: "unavailable" | "unknown" | "missing";
  readonly detail: string;
};

/** Calls to one service of the platform, each with a deadline. */
export class PlatformClient {
  readonly #endpoint: Endpoint;
  readonly #timeout: Millis;

  constructor(name: string, options: PlatformClientOptions) {
    const { origin, clock, meter, timeout = defaultTimeout } = options;
    this.#timeout = timeout;
    const connections = maximumConnections;
    this.#endpoint = Endpoint.create({
      origin,
      clock,
      meter,
      name,
      connections,
    });
  }

  static create(name: string, options: PlatformClientOptions): PlatformClient {
    return new PlatformClient(name, options);
  }

  /** Runs one call and decodes its answer; a decoder that throws leaves the effect unknown. */
  async call<Value>(
    request: {
      readonly method: "GET" | "POST" | "PUT";
      readonly path: string;
      readonly body?: Uint8Array | string;
    },
    decode: (body: Buffer) => Value,
  ): Promise<Either<PlatformFailure, Value>> {
    const answer = await this.#endpoint.exchange({
      ...request,
      timeout: this.#timeout,
    });
    return answer
      .mapLeft(({ kind, detail }) =>
        fail(kind === "not-sent" ? "unavailable" : "unknown", detail),
      )
      .chain(({ status, body }) => {
        if (status === 200) return decodeAnswer(body, decode);
        return Left(fail(classifyStatus(status), `Status ${status}: ${body}`));
      });
  }

  /** Breaks all connections. */
  close(): Promise<void> {
    return this.#endpoint.close();
  }
}

function fail(kind: PlatformFailure["kind"], detail: string): PlatformFailure {
  return { kind, detail };
}

/** 429 and 503 are answers of the service itself, which applied nothing. */
function classifyStatus(status: number): PlatformFailure["kind"] {
  if (status === 429 || status === 503) return "unavailable";
  return status === 404 ? "missing" : "unknown";
}

function decodeAnswer<Value>(
  body: Buffer,
  decode: (body: Buffer) => Value,
): Either<PlatformFailure, Value> {
  try {
    return Right(decode(body));
  } catch (error) {
    return Left(fail("unknown", `Cannot read the answer: ${error}`));
  }
}
