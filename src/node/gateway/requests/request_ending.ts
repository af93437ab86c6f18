import type { Refusal } from "../../../core/results/refusal.ts";
import type { CallerSink, ProxiedRequest } from "../../../ports/gateway.ts";
import type { GatewayContext } from "../context.ts";
import type { ServerSelector } from "../servers/server_selector.ts";
import type { StreamContinuation } from "../streams/stream_continuation.ts";
import type { AttemptHistory } from "./attempt_history.ts";
import type { RequestPlan } from "./request_intake.ts";
import type { RequestLog } from "./request_log.ts";
import {
  refuseAfterAttempt,
  refuseAtExit,
  refuseAtTimeLimit,
  refuseWhileStopping,
  refuseWithoutServer,
  refuseWithoutVersion,
} from "./request_refusals.ts";
import type { RequestRelay } from "./request_relay.ts";
import type { RequestSends } from "./request_sends.ts";
import type { RequestWait } from "./request_wait.ts";
import type { ResponseForwarder } from "./response_forwarder.ts";
import type { AttemptResult } from "./server_attempt.ts";

/** A request with less time left than this is refused instead of sent, in ms. */
const minTimeLeft = 20;

type RequestEndingOptions = {
  readonly context: GatewayContext;
  readonly selector: ServerSelector;
  readonly request: ProxiedRequest;
  readonly plan: RequestPlan;
  readonly sink: CallerSink;
  readonly history: AttemptHistory;
  readonly continuation: StreamContinuation;
  readonly forwarder: ResponseForwarder;
  readonly log: RequestLog;
  readonly sends: RequestSends;
  readonly relay: RequestRelay;
  readonly wait: RequestWait;
  /** Called once, when the request has ended. */
  readonly onEnd: () => void;
};

/** Ends one request, and tells its caller the truth on whether it may have run. */
export class RequestEnding {
  readonly #options: RequestEndingOptions;
  #hasEnded = false;

  private constructor(options: RequestEndingOptions) {
    this.#options = options;
  }

  static create(options: RequestEndingOptions): RequestEnding {
    return new RequestEnding(options);
  }

  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  /** Whether a server or another node has the request, or may have run it. */
  get mayHaveRun(): boolean {
    const { sends, relay, history } = this.#options;
    return sends.isOpen || relay.isSent || history.runs > 0;
  }

  /** Refuses the request, or breaks its response off if the caller has a part of it. */
  refuse(refusal: Refusal): void {
    const { sink, forwarder, log, sends, history } = this.#options;
    log.record("requestRefused", {
      server: sends.server ?? history.refusingServer,
      detail: refusal.detail,
      code: refusal.code,
      ...history.counts,
    });
    this.#countRefusal(refusal);
    if (forwarder.hasStarted) sink.abort();
    else sink.refuse(refusal);
    this.finish(refusal.code);
  }

  #countRefusal({ code }: Refusal): void {
    const { context, plan } = this.#options;
    const priority = String(plan.priority);
    const { meter } = context.dependencies;
    meter.count("gateway_refusals_total", { code, priority });
  }

  /** Ends the request without a word to its caller. */
  finish(outcome: string): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#options.log.countOutcome(outcome);
    this.#options.onEnd();
  }

  /** Refuses the request without a further attempt, since the process exits. */
  refuseBeforeExit(): void {
    this.refuse(this.mayHaveRun ? refuseAtExit() : refuseWhileStopping());
  }

  /** Refuses the request if no server can have started it, since the node stops. */
  refuseIfWaiting(): void {
    if (this.#hasEnded || this.mayHaveRun) return;
    this.refuse(refuseWhileStopping());
  }

  /** Refuses the request, which no server can take in time. */
  refuseWithoutServer(): void {
    const { context, request, history, continuation, wait } = this.#options;
    const { demand } = request;
    if (this.mayHaveRun)
      return this.refuse(refuseWithoutServer(history, demand, context));
    // Another node may have a server for the request.
    if (context.stop !== undefined) return this.refuse(refuseWhileStopping());
    const { isResumption, version } = continuation;
    if (isResumption && wait.hasOnlyOtherServers())
      return this.refuse(refuseWithoutVersion(version));
    this.refuse(refuseWithoutServer(history, demand, context));
  }

  /** Refuses the request if too little time is left to send it. */
  refuseAtLimit(): boolean {
    const { context, plan } = this.#options;
    const timeLeft = plan.limits.end - context.now();
    if (timeLeft < minTimeLeft) this.refuseAtTimeLimit();
    return timeLeft < minTimeLeft;
  }

  /** Refuses the request, whose time is over. */
  refuseAtTimeLimit(): void {
    if (this.#hasEnded) return;
    this.refuse(refuseAtTimeLimit(this.mayHaveRun));
  }

  /** Refuses the request after an attempt that may not be retried. */
  giveUp(result: AttemptResult): void {
    const { context, selector, request, plan, history, continuation } =
      this.#options;
    history.resumption = selector.findResumption(plan.service, {
      demand: request.demand,
      isEligible: continuation.allows,
    });
    this.refuse(refuseAfterAttempt(history, result.detail, context));
  }

  /** Passes the error of a server on, or gives up if the caller has a part of another response. */
  forwardServerError(result: AttemptResult): void {
    const { sink, forwarder } = this.#options;
    if (forwarder.hasStarted || result.head === undefined)
      return this.giveUp(result);
    sink.start(result.head);
    for (const bytes of result.body) sink.write(bytes);
    sink.end();
    this.finish("server-error");
  }
}
