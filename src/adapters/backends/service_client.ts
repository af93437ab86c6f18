import { type Either, Left, Right } from "purify-ts";
import type { Dispatcher } from "undici";
import { type Clock, type Millis, millis } from "../../core/clock.ts";
import { type Meter, silentMeter } from "../../ports/journal.ts";
import type {
  ServiceAnswer,
  ServiceCall,
  ServiceFailure,
  ServiceLink,
} from "../../ports/service.ts";
import { Endpoint } from "../http/endpoint.ts";
import type { ExchangeRequest, ExchangeResponse } from "../http/exchange.ts";

/** Time without a byte after which a call that may be repeated is given up. */
const defaultInactivityTimeout = millis(3000);

/** Where a server of a booking service is. */
export type ServiceClientOptions = {
  /** `http://HOST:PORT`. */
  readonly origin: string;
  readonly clock: Clock;
  /** Calls in flight at once. */
  readonly connections: number;
  readonly meter?: Meter;
  /** Replaces the limit of 3 s, in ms. */
  readonly inactivityTimeout?: Millis;
};

/**
 * Server of a booking service over HTTP. A call that must not repeat gets a
 * connection of its own, since one that went silent while idle would leave
 * the outcome of the call unknown.
 */
export class ServiceClient implements ServiceLink {
  readonly #options: ServiceClientOptions;
  readonly #endpoint: Endpoint;

  constructor(options: ServiceClientOptions) {
    this.#options = options;
    this.#endpoint = Endpoint.create({ ...options, name: "service" });
  }

  static create(options: ServiceClientOptions): ServiceClient {
    return new ServiceClient(options);
  }

  async call(
    call: ServiceCall,
  ): Promise<Either<ServiceFailure, ServiceAnswer>> {
    const request: ExchangeRequest = {
      method: call.method as Dispatcher.HttpMethod,
      path: call.path,
      headers: {
        "x-request-id": call.requestId,
        ...(call.contentType === undefined
          ? {}
          : { "content-type": call.contentType }),
      },
      body: call.body,
      timeout: call.timeout,
    };
    const { inactivityTimeout: limit = defaultInactivityTimeout } =
      this.#options;
    const answer = call.repeatable
      ? await this.#endpoint.exchange({ ...request, inactivityTimeout: limit })
      : await this.#endpoint.exchangeOnNewConnection(request);
    return answer.chain((found) => this.#validateResponse(call, found));
  }

  /** Breaks all connections. */
  close(): Promise<void> {
    return this.#endpoint.close();
  }

  #validateResponse(
    call: ServiceCall,
    answer: ExchangeResponse,
  ): Either<ServiceFailure, ServiceAnswer> {
    const { status, headers, body } = answer;
    if (headers["x-request-id"] !== call.requestId) {
      const { meter = silentMeter } = this.#options;
      meter.count("service_crossed_answers_total");
      const detail = `The answer carries request id ${headers["x-request-id"]}`;
      return Left({ kind: "crossed", detail });
    }
    const contentType = headers["content-type"] as string | undefined;
    const leaving = headers["x-not-run"] === "leaving";
    return Right({
      status,
      contentType,
      body,
      ...(leaving ? { notRun: "leaving" as const } : {}),
    });
  }
}
