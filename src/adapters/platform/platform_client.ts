import { type Either, Left, Right } from "purify-ts";
import { type Clock, type Millis, millis } from "../../core/clock.ts";
import type { Meter } from "../../ports/journal.ts";
import { Endpoint } from "../http/endpoint.ts";

/** Default timeout of a call, in ms; lease renewals depend on it. */
const defaultTimeout = millis(1000);
/** Maximum number of concurrent calls to one platform service. */
const maxConnections = 32;

/** Options of the clients of platform services. */
export type PlatformClientOptions = {
  /** `http://HOST:PORT`. */
  readonly origin: string;
  readonly clock: Clock;
  readonly meter?: Meter;
  /** Timeout of one call, in ms. */
  readonly timeout?: Millis;
};

/** Why a call failed; only `unavailable` guarantees that nothing was applied. */
export type PlatformFailure = {
  readonly kind: "unavailable" | "unknown" | "missing";
  readonly detail: string;
};

/** HTTP client of one platform service; each call has a timeout. */
export class PlatformClient {
  readonly #endpoint: Endpoint;
  readonly #timeout: Millis;

  constructor(name: string, options: PlatformClientOptions) {
    const { origin, clock, meter, timeout = defaultTimeout } = options;
    this.#timeout = timeout;
    const connections = maxConnections;
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

  /** Runs one call and decodes its response; if the decoder throws, the effect is unknown. */
  async call<Value>(
    request: {
      readonly method: "GET" | "POST" | "PUT";
      readonly path: string;
      readonly body?: Uint8Array | string;
    },
    decode: (body: Buffer) => Value,
  ): Promise<Either<PlatformFailure, Value>> {
    const response = await this.#endpoint.exchange({
      ...request,
      timeout: this.#timeout,
    });
    return response
      .mapLeft(({ kind, detail }) =>
        fail(kind === "not-sent" ? "unavailable" : "unknown", detail),
      )
      .chain(({ status, body }) => {
        if (status === 200) return decodeResponse(body, decode);
        return Left(
          fail(
            classifyStatus(status),
            `Platform service answered status ${status}: ${body}`,
          ),
        );
      });
  }

  /** Closes all connections, including those in use. */
  close(): Promise<void> {
    return this.#endpoint.close();
  }
}

function fail(kind: PlatformFailure["kind"], detail: string): PlatformFailure {
  return { kind, detail };
}

/** With 429 and 503 the service itself states that it applied nothing. */
function classifyStatus(status: number): PlatformFailure["kind"] {
  if (status === 429 || status === 503) return "unavailable";
  return status === 404 ? "missing" : "unknown";
}

function decodeResponse<Value>(
  body: Buffer,
  decode: (body: Buffer) => Value,
): Either<PlatformFailure, Value> {
  try {
    return Right(decode(body));
  } catch (error) {
    return Left(fail("unknown", `Cannot decode the answer: ${error}`));
  }
}
