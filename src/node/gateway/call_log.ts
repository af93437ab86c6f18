import type { GatewayRoute } from "../../core/gateway/configuration.ts";
import type { BackendServer } from "../../core/gateway/servers.ts";
import type { EventName } from "../../core/observe/events.ts";
import type { PassedRequest } from "../../ports/gateway.ts";
import type { GatewayContext } from "./context.ts";
import type { PassedAnswer } from "./passed_answer.ts";

/** What a line of the log tells beside the request and its age. */
export type CallDetails = {
  readonly server?: BackendServer | undefined;
  readonly detail?: string | undefined;
  readonly code?: string | undefined;
  readonly runs?: number;
  readonly rejections?: number;
};

/** Log and metrics of one request. */
export class CallLog {
  readonly #context: GatewayContext;
  readonly #request: PassedRequest;
  readonly #route: GatewayRoute;

  private constructor(
    context: GatewayContext,
    call: { request: PassedRequest; route: GatewayRoute },
  ) {
    this.#context = context;
    this.#request = call.request;
    this.#route = call.route;
  }

  static create(
    context: GatewayContext,
    call: { request: PassedRequest; route: GatewayRoute },
  ): CallLog {
    return new CallLog(context, call);
  }

  /** Records a decision about the request with what it was based on. */
  record(event: EventName, details: CallDetails = {}): void {
    const { server, ...rest } = details;
    this.#context.setup.journal.record(event, {
      requestId: this.#request.requestId,
      route: this.#route.name,
      revision: this.#context.configuration?.revision,
      server: server?.id,
      age: this.#age(),
      ...rest,
    });
  }

  /** Records that the whole answer was passed on, and how its caller saw it. */
  recordAnswer(server: BackendServer, passed: PassedAnswer): void {
    const { firstByteAt, longestPause } = passed;
    const firstByte = Math.round(
      (firstByteAt ?? this.#context.now()) - this.#request.arrivedAt,
    );
    this.#context.setup.meter.observe("gateway_first_byte_ms", firstByte);
    this.#context.setup.journal.record("requestAnswered", {
      requestId: this.#request.requestId,
      route: this.#route.name,
      server: server.id,
      firstByte,
      longestPause: Math.round(longestPause),
      taken: this.#age(),
      target: this.#route.targetLatency,
    });
  }

  /** Counts the end of the request. */
  countEnd(outcome: string): void {
    const { meter } = this.#context.setup;
    const rule = this.#route.repeat;
    meter.count("gateway_requests_total", { rule, outcome });
    meter.observe("gateway_answer_ms", this.#age());
  }

  /** Time since the request arrived, in whole ms. */
  #age(): number {
    return Math.round(this.#context.now() - this.#request.arrivedAt);
  }
}
