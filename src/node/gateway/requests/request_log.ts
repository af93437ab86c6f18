import type { GatewayRoute } from "../../../core/gateway/configuration.ts";
import type { BackendServer } from "../../../core/gateway/servers.ts";
import type { ServerId } from "../../../core/ids.ts";
import type { EventName } from "../../../core/observe/events.ts";
import type { ProxiedRequest } from "../../../ports/gateway.ts";
import type { GatewayContext } from "../context.ts";
import type { ResponseForwarder } from "./response_forwarder.ts";

/** Fields of a log event beyond the request, its route and its age. */
export type RequestLogFields = {
  readonly server?: { readonly id: ServerId } | undefined;
  readonly detail?: string | undefined;
  readonly code?: string | undefined;
  /** Software version that began a stream, and where that was found. */
  readonly version?: string | undefined;
  readonly source?: string;
  /** Request that brought the first event of a stream. */
  readonly resumes?: string | undefined;
  /** Start of the server's incarnation that was known. */
  readonly born?: number | undefined;
  readonly runs?: number;
  readonly rejections?: number;
  readonly organisation?: string;
  /** Units of the quota. */
  readonly units?: number;
};

/** Log events and metrics of one request. */
export class RequestLog {
  readonly #context: GatewayContext;
  readonly #request: ProxiedRequest;
  readonly #route: GatewayRoute;

  private constructor(
    context: GatewayContext,
    call: { request: ProxiedRequest; route: GatewayRoute },
  ) {
    this.#context = context;
    this.#request = call.request;
    this.#route = call.route;
  }

  static create(
    context: GatewayContext,
    call: { request: ProxiedRequest; route: GatewayRoute },
  ): RequestLog {
    return new RequestLog(context, call);
  }

  /** Records a decision about the request and the facts it was based on. */
  record(event: EventName, details: RequestLogFields = {}): void {
    const { server, ...rest } = details;
    this.#context.dependencies.journal.record(event, {
      requestId: this.#request.requestId,
      route: this.#route.name,
      revision: this.#context.configuration?.revision,
      server: server?.id,
      age: this.#age(),
      ...rest,
    });
  }

  /** Records that the whole response was forwarded, with the timing that the caller saw. */
  recordResponse(server: BackendServer, forwarder: ResponseForwarder): void {
    const { firstByteAt, longestPause } = forwarder;
    const firstByte = Math.round(
      (firstByteAt ?? this.#context.now()) - this.#request.arrivedAt,
    );
    this.#context.dependencies.meter.observe(
      "gateway_first_byte_ms",
      firstByte,
    );
    this.#context.dependencies.journal.record("requestAnswered", {
      requestId: this.#request.requestId,
      route: this.#route.name,
      server: server.id,
      firstByte,
      longestPause: Math.round(longestPause),
      taken: this.#age(),
      target: this.#route.targetLatency,
    });
  }

  /** Counts the request under its outcome. */
  countOutcome(outcome: string): void {
    const { meter } = this.#context.dependencies;
    const rule = this.#route.retryRule;
    meter.count("gateway_requests_total", { rule, outcome });
    meter.observe("gateway_answer_ms", this.#age());
  }

  /** Time since the request arrived, in whole ms. */
  #age(): number {
    return Math.round(this.#context.now() - this.#request.arrivedAt);
  }
}
