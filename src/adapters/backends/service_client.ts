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

/** Time without a byte after which a repeatable call fails, in ms. */
const defaultInactivityTimeout = millis(3000);

/** Address and connection limit of a client of a booking service. */
export type ServiceClientOptions = {
  /** `http://HOST:PORT`. */
  readonly origin: string;
  readonly clock: Clock;
  /** Maximum number of calls in flight. */
  readonly connections: number;
  readonly meter?: Meter;
  /** Time without a byte after which a repeatable call fails, in ms; 3 s by default. */
  readonly inactivityTimeout?: Millis;
};

/**
 * Client of a booking service over HTTP. A call that is not repeatable gets a
 * new connection, since a pooled connection that became unresponsive while
 * idle would leave the outcome of the call unknown.
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
    const result = call.repeatable
      ? await this.#endpoint.exchange({
          ...request,
          inactivityTimeout: limit,
        })
      : await this.#endpoint.exchangeOnNewConnection(request);
    return result.chain((response) => this.#validateResponse(call, response));
  }

  /** Closes all connections; calls in flight fail. */
  close(): Promise<void> {
    return this.#endpoint.close();
  }

  #validateResponse(
    call: ServiceCall,
    response: ExchangeResponse,
  ): Either<ServiceFailure, ServiceAnswer> {
    const { status, headers, body } = response;
    if (headers["x-request-id"] !== call.requestId) {
      const { meter = silentMeter } = this.#options;
      meter.count("service_crossed_answers_total");
      const detail = `The answer carries request id ${headers["x-request-id"]}`;
      return Left({ kind: "crossed", detail });
    }
    const contentType = headers["content-type"] as string | undefined;
    return Right({ status, contentType, body, ...readNotices(response) });
  }
}

/** Reads what a server says about itself; other values of the headers are ignored. */
function readNotices({
  status,
  headers,
}: ExchangeResponse): Partial<ServiceAnswer> {
  const reason = headers["x-not-run"];
  const retryAfter = headers["retry-after"];
  const isNotRun = reason === "leaving" || reason === "paused";
  const isPause = status === 503 && typeof retryAfter === "string";
  return {
    ...(isNotRun ? { notRun: reason } : {}),
    ...(headers["x-leaving"] === "1" ? { isLeaving: true } : {}),
    ...(isPause ? { retryAfter } : {}),
  };
}
