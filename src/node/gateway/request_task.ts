import { type Cancel, type Millis, millis } from "../../core/clock.ts";
import { recordMissing } from "../../core/gateway/adapter_directory.ts";
import type { GatewayRoute } from "../../core/gateway/configuration.ts";
import {
  type AttemptFailure,
  decideRetry,
  type RetryDecision,
} from "../../core/gateway/retry_decision.ts";
import { recordCallResult } from "../../core/gateway/server_health.ts";
import type { BackendServer } from "../../core/gateway/servers.ts";
import { StreamCursor } from "../../core/gateway/stream_cursor.ts";
import { formatPlaceKey, type ServiceName } from "../../core/ids.ts";
import type { Refusal } from "../../core/results/refusal.ts";
import type { CallerSink, PassedRequest } from "../../ports/gateway.ts";
import { AttemptHistory } from "./attempt_history.ts";
import type { GatewayContext } from "./context.ts";
import { RequestLog } from "./request_log.ts";
import {
  refuseAfterAttempt,
  refuseAtTimeLimit,
  refuseWhileStopping,
  refuseWithoutServer,
} from "./request_refusals.ts";
import { ResponseForwarder } from "./response_forwarder.ts";
import { type AttemptResult, ServerAttempt } from "./server_attempt.ts";
import type { ServerSelection, ServerSelector } from "./server_selector.ts";
import { waitForServer } from "./server_wait.ts";
import type { UsageReporter } from "./usage_reporter.ts";

/** Time that a request may wait for a server, as a multiple of its target latency. */
const maxWaitPerTarget = 1.6;
/** Shortest such time, and time left before the limit at which waiting ends, in ms. */
const minWait = 600;
const reserveBeforeLimit = 300;
/** Time for the search of a further server after a failed send, in ms. */
const waitForNext = 1_500;
/** Least time left for which a request is still sent, in ms. */
const minTimeLeft = 20;

/** What one request needs beside its context. */
export type RequestTaskOptions = {
  readonly context: GatewayContext;
  readonly locator: ServerSelector;
  readonly usage: UsageReporter;
  readonly request: PassedRequest;
  readonly route: GatewayRoute;
  readonly service: ServiceName;
  readonly sink: CallerSink;
};

/** Task of one request: owns its sends and its timer until the final answer. */
export class RequestTask {
  readonly #options: RequestTaskOptions;
  readonly #history = AttemptHistory.create();
  readonly #cursor: StreamCursor | undefined;
  readonly #limitAt: Millis;
  readonly #waitUntil: Millis;
  readonly #passed: ResponseForwarder;
  readonly #log: RequestLog;
  #cancelLimit: Cancel = () => {};
  #send: ServerAttempt | undefined;
  /** Server of the latest send. */
  #server: BackendServer | undefined;
  #ended = false;
  #releaseUse: () => void = () => {};
  #onEnd: () => void = () => {};

  private constructor(options: RequestTaskOptions) {
    this.#options = options;
    const { request, route } = options;
    this.#log = RequestLog.create(options.context, options);
    this.#passed = ResponseForwarder.create(options.sink, {
      clock: options.context.dependencies.clock,
      onStart: () => this.#noteUse("begun"),
    });
    const allowed = Math.min(
      route.timeout,
      request.deadline ?? Number.POSITIVE_INFINITY,
    );
    this.#limitAt = millis(request.arrivedAt + allowed);
    const wait = Math.max(minWait, route.targetLatency * maxWaitPerTarget);
    const latest = this.#limitAt - reserveBeforeLimit;
    this.#waitUntil = millis(Math.min(request.arrivedAt + wait, latest));
    if (route.retryRule === "stream" && route.resumable) {
      this.#cursor = StreamCursor.create(request.resumeAfter);
    }
  }

  /** Starts the task; `onEnd` is called once it has ended in any way. */
  static start(options: RequestTaskOptions, onEnd: () => void): RequestTask {
    const call = new RequestTask(options);
    call.#onEnd = onEnd;
    const { clock } = options.context.dependencies;
    const left = millis(call.#limitAt - clock.now());
    call.#cancelLimit = clock.schedule(left, () => call.#onLimit());
    void call.#run();
    return call;
  }

  /** The caller has left: ends the work at the server at once. */
  cancel(): void {
    if (this.#ended) return;
    this.#log.record("requestCancelled");
    this.#finish("cancelled");
  }

  /** The node stops: a request that no server has got is refused. */
  refuseIfWaiting(): void {
    if (this.#ended || this.#maySendHaveRun()) return;
    this.#refuse(refuseWhileStopping());
  }

  async #run(): Promise<void> {
    const { context, service } = this.#options;
    context.countRequest(service);
    while (!this.#ended) {
      const location = await this.#findServer();
      if (this.#ended) return;
      if (location === undefined) {
        const { demand } = this.#options.request;
        return this.#refuse(refuseWithoutServer(this.#history, demand));
      }
      const report = await this.#sendTo(location);
      if (this.#ended || report === undefined) return;
      const step = this.#judge(report, location.server);
      if (step.kind === "pass-on") return this.#passOn(report);
      if (step.kind === "give-up") return this.#giveUp(report);
      if (step.usesRetryBudget && !context.takeRepeat(service)) {
        if (report.end.kind === "server-error") return this.#passOn(report);
        return this.#giveUp(report);
      }
    }
  }

  /** Waits until a server can take the request; undefined if none can in time. */
  #findServer(): Promise<ServerSelection | undefined> {
    const { context, locator, service, request } = this.#options;
    const later = Math.min(
      context.now() + waitForNext,
      this.#limitAt - reserveBeforeLimit,
    );
    const history = this.#history;
    return waitForServer({
      context,
      locator,
      service,
      demand: request.demand,
      tried: history.tried,
      deniedBy: history.deniedBy,
      until: history.isEmpty
        ? this.#waitUntil
        : millis(Math.max(this.#waitUntil, later)),
      hasEnded: () => this.#ended,
      onAdapterWait: (server) =>
        this.#log.record("requestAwaitsAdapter", { server }),
      onRefused: (server, reason) => {
        history.lastRefusal = { server, reason };
      },
    });
  }

  /** Sends once; undefined if the answer went to the caller as a whole. */
  #sendTo(location: ServerSelection): Promise<AttemptResult | undefined> {
    const { context, request, route } = this.#options;
    const timeLeft = millis(this.#limitAt - context.now());
    if (timeLeft < minTimeLeft) {
      this.#onLimit();
      return Promise.resolve(undefined);
    }
    this.#log.record("requestSent", { server: location.server });
    this.#server = location.server;
    this.#noteUse(this.#passed.hasStarted ? "begun" : "sent");
    return new Promise((resolve) => {
      this.#send = ServerAttempt.start({
        context,
        route,
        cursor: this.#cursor,
        hasStarted: this.#passed.hasStarted,
        order: {
          request,
          server: location.server,
          timeLeft,
          adapterVersion: location.version,
          priority: request.demand === undefined ? undefined : route.priority,
          resumeAfter: this.#cursor?.lastId ?? request.resumeAfter,
        },
        sink: this.#passed,
        onResult: (report) => {
          this.#send = undefined;
          this.#releaseUse();
          if (report.end.kind !== "whole") return resolve(report);
          this.#log.recordResponse(location.server, this.#passed);
          this.#finish("answered");
          resolve(undefined);
        },
      });
    });
  }

  /** The engine's owner is told that the adapter is needed there. */
  #noteUse(stage: "sent" | "begun"): void {
    const { usage: uses, request } = this.#options;
    const { demand } = request;
    if (demand?.adapter === undefined || this.#server === undefined) return;
    const key = formatPlaceKey(demand.model, demand.adapter);
    const { id } = this.#server;
    this.#releaseUse();
    this.#releaseUse =
      stage === "sent"
        ? uses.trackSent(id, key, demand.promptTokens)
        : uses.trackRunning(id, key);
  }

  /** Counts the send and decides what follows. */
  #judge(report: AttemptResult, server: BackendServer): RetryDecision {
    const { context, route } = this.#options;
    const { kind } = report.end;
    this.#log.record("requestSendFailed", {
      server,
      detail: `${kind}: ${report.detail}`,
      ...this.#history.counts,
    });
    this.#history.recordAttemptEnd(kind, server.id);
    if (kind === "misdirected") this.#forgetPlace(server);
    const result = rateServer(kind);
    if (result !== undefined) {
      const now = context.now();
      const suspended = recordCallResult(context.health, server.id, {
        result,
        now,
      });
      if (suspended) {
        this.#log.record("serverSuspended", { server, detail: kind });
      }
    }
    const { retryRule, resumable, maxAttempts } = route;
    const rule = { retryRule: retryRule, resumable, maxAttempts };
    return decideRetry(
      { ...rule, ...this.#history.counts },
      report.end as AttemptFailure,
    );
  }

  #forgetPlace(server: BackendServer): void {
    const { context, request } = this.#options;
    const { demand } = request;
    if (demand?.adapter === undefined) return;
    const key = formatPlaceKey(demand.model, demand.adapter);
    recordMissing(context.adapterDirectory, server.id, key);
  }

  #passOn(report: AttemptResult): void {
    const { sink } = this.#options;
    if (this.#passed.hasStarted || report.head === undefined) {
      return this.#giveUp(report);
    }
    sink.start(report.head);
    for (const bytes of report.body) sink.write(bytes);
    sink.end();
    this.#finish("server-error");
  }

  #giveUp(report: AttemptResult): void {
    this.#refuse(refuseAfterAttempt(this.#history, report.detail));
  }

  #onLimit(): void {
    if (this.#ended) return;
    this.#refuse(refuseAtTimeLimit(this.#maySendHaveRun()));
  }

  #maySendHaveRun(): boolean {
    return this.#send !== undefined || this.#history.runs > 0;
  }

  #refuse(refusal: Refusal): void {
    const { sink } = this.#options;
    this.#log.record("requestRefused", {
      server: this.#server ?? this.#history.lastRefusal?.server,
      detail: refusal.detail,
      code: refusal.code,
      ...this.#history.counts,
    });
    if (this.#passed.hasStarted) sink.abort();
    else sink.refuse(refusal);
    this.#finish(refusal.code);
  }

  #finish(outcome: string): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#cancelLimit();
    this.#releaseUse();
    this.#send?.cancel();
    this.#send = undefined;
    this.#log.countOutcome(outcome);
    this.#onEnd();
  }
}

/** What the end of a send tells about the server; undefined if nothing. */
function rateServer(
  kind: AttemptResult["end"]["kind"],
): "bad" | "unreachable" | undefined {
  if (kind === "unreachable") return "unreachable";
  if (kind === "misdirected" || kind === "whole") return undefined;
  return "bad";
}
