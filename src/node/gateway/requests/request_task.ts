import { type Cancel, millis } from "../../../core/clock.ts";
import {
  type AttemptFailure,
  decideRetry,
  type RetryDecision,
} from "../../../core/gateway/retry_decision.ts";
import type { BackendServer } from "../../../core/gateway/servers.ts";
import { StreamCursor } from "../../../core/gateway/stream_cursor.ts";
import { refuse } from "../../../core/results/refusal.ts";
import type { CallerSink, ProxiedRequest } from "../../../ports/gateway.ts";
import type { ServiceQuotas } from "../../../ports/quotas.ts";
import type { GatewayContext } from "../context.ts";
import type { EngineUsageCounter } from "../engines/engine_usage.ts";
import type { ServerSelection } from "../servers/adapter_selector.ts";
import type { IncarnationWatch } from "../servers/incarnation_watch.ts";
import type { PaceTracker } from "../servers/pace_tracker.ts";
import type { Permit, TakePermit } from "../servers/server_permits.ts";
import type { ServerSelector } from "../servers/server_selector.ts";
import { StreamContinuation } from "../streams/stream_continuation.ts";
import type { StreamKeeper } from "../streams/stream_keeper.ts";
import { AttemptHistory } from "./attempt_history.ts";
import { recordFailedAttempt } from "./failed_attempt.ts";
import { PoisonAdmission } from "./poison_admission.ts";
import type { PoisonGuard } from "./poison_guard.ts";
import { describeContent } from "./request_content.ts";
import { RequestEnding } from "./request_ending.ts";
import type { RequestPlan } from "./request_intake.ts";
import { RequestLog } from "./request_log.ts";
import { RequestQuota } from "./request_quota.ts";
import {
  refuseAfterAttempt,
  refuseOpenOrigin,
  refuseUnknownOrigin,
  refuseWithdrawn,
  refuseWithheld,
} from "./request_refusals.ts";
import { type RelayWay, RequestRelay } from "./request_relay.ts";
import { RequestRun } from "./request_run.ts";
import { RequestSends } from "./request_sends.ts";
import { RequestUsage } from "./request_usage.ts";
import { RequestWait } from "./request_wait.ts";
import { ResponseForwarder } from "./response_forwarder.ts";
import type { AttemptResult } from "./server_attempt.ts";

/** Request to serve and the collaborators of its task. */
export type RequestTaskOptions = {
  readonly context: GatewayContext;
  readonly selector: ServerSelector;
  readonly takePermit: TakePermit;
  readonly streams: StreamKeeper;
  readonly incarnations: IncarnationWatch;
  readonly usage: EngineUsageCounter;
  readonly paces: PaceTracker;
  readonly relays: RelayWay;
  readonly guard: PoisonGuard;
  readonly quotas: ServiceQuotas;
  readonly request: ProxiedRequest;
  readonly plan: RequestPlan;
  readonly sink: CallerSink;
};

/** Task of one request; owns its attempts and its timer until the caller has the final response. */
export class RequestTask {
  readonly #options: RequestTaskOptions;
  readonly #history = AttemptHistory.create();
  readonly #cursor: StreamCursor | undefined;
  readonly #continuation: StreamContinuation;
  readonly #forwarder: ResponseForwarder;
  readonly #log: RequestLog;
  readonly #prompt: PoisonAdmission;
  readonly #usage: RequestUsage;
  readonly #quota: RequestQuota;
  readonly #wait: RequestWait;
  readonly #run: RequestRun;
  readonly #relay: RequestRelay;
  #cancelTimeLimit: Cancel = () => {};
  readonly #sends: RequestSends;
  readonly #ending: RequestEnding;
  #onEnd: () => void = () => {};

  private constructor(options: RequestTaskOptions) {
    this.#options = options;
    const { request, plan } = options;
    const { route } = plan;
    this.#log = RequestLog.create(options.context, { request, route });
    this.#usage = RequestUsage.create(options.usage, request.demand);
    this.#quota = RequestQuota.create({
      ...options,
      now: () => options.context.now(),
      log: this.#log,
    });
    this.#run = RequestRun.create(options.context, plan.kind);
    this.#prompt = PoisonAdmission.create(
      options.guard,
      describeContent(request),
    );
    this.#continuation = StreamContinuation.create(options.streams, options);
    this.#forwarder = ResponseForwarder.create(options.sink, {
      clock: options.context.dependencies.clock,
      onFirstBytes: () => {
        const { server, openedAt } = this.#sends;
        if (server !== undefined)
          this.#continuation.recordEvents(server, openedAt);
      },
      onStart: () => this.#usage.trackRun(),
    });
    this.#relay = RequestRelay.create({ ...options, sink: this.#forwarder });
    this.#wait = RequestWait.create({
      ...options,
      history: this.#history,
      log: this.#log,
      isEligible: this.#continuation.allows,
      isResumption: this.#continuation.isResumption,
      hasEnded: () => this.#hasEnded || this.#goesToOtherNode,
    });
    if (route.retryRule === "stream" && route.resumable) {
      this.#cursor = StreamCursor.create(request.resumeAfter);
    }
    this.#sends = RequestSends.create({
      ...options,
      history: this.#history,
      cursor: this.#cursor,
      continuation: this.#continuation,
      forwarder: this.#forwarder,
      usage: this.#usage,
      run: this.#run,
      log: this.#log,
      mayStart: () => !this.#hasEnded && !this.#wait.isTooLateToStart(),
      onRun: (runTime) => this.#prompt.recordRun(runTime),
      onWhole: (server) => this.#recordWhole(server),
    });
    this.#ending = RequestEnding.create({
      ...options,
      history: this.#history,
      continuation: this.#continuation,
      forwarder: this.#forwarder,
      log: this.#log,
      sends: this.#sends,
      relay: this.#relay,
      wait: this.#wait,
      onEnd: () => this.#release(),
    });
  }

  get #plan(): RequestPlan {
    return this.#options.plan;
  }

  /** Starts the task; `onEnd` is called once, however the request ends. */
  static start(options: RequestTaskOptions, onEnd: () => void): RequestTask {
    const task = new RequestTask(options);
    task.#onEnd = onEnd;
    const { clock } = options.context.dependencies;
    const timeLeft = millis(task.#plan.limits.end - clock.now());
    task.#cancelTimeLimit = clock.schedule(timeLeft, () =>
      task.#ending.refuseAtTimeLimit(),
    );
    task.#serve().catch((error) => task.#fail(error));
    return task;
  }

  /** Stops the work at the server at once, since the caller has disconnected. */
  cancel(): void {
    if (this.#hasEnded) return;
    this.#log.record("requestCancelled");
    this.#ending.finish("cancelled");
  }

  /** Reads the answer on, since the caller's connection takes bytes again. */
  resume(): void {
    this.#sends.resume();
    this.#relay.resume();
  }

  /** Ends the request, since its caller does not take the answer. */
  stall(detail: string): void {
    const { meter } = this.#options.context.dependencies;
    meter.count("gateway_answers_stalled_total");
    this.#log.record("requestStalled", { server: this.#sends.server, detail });
    this.#ending.finish("stalled");
  }

  /** Ends the request with a truthful answer; called shortly before the process exits. */
  endBeforeExit(): void {
    if (this.#hasEnded) return;
    this.#log.record("requestCutOff", {
      server: this.#sends.server,
      ...this.#history.counts,
    });
    this.#ending.refuseBeforeExit();
  }

  /** Refuses the request if no server can have started it; called when the node stops. */
  refuseIfWaiting(): void {
    this.#ending.refuseIfWaiting();
  }

  /** Ends the request if its content was convicted after it was sent, unless its server has begun to answer. */
  withdrawIfConvicted(): void {
    if (this.#hasEnded || !this.#sends.isUnanswered) return;
    if (!this.#prompt.isConvicted) return;
    this.#ending.refuse(refuseWithdrawn());
  }

  /** Ends an attempt without an answer whose request may run again, since the node reaches no server. */
  leaveUnreached(): void {
    if (!this.#sends.isUnanswered) return;
    if (this.#plan.route.retryRule === "repeatable") this.#sends.giveUp();
  }

  /** Whether another node should serve the request, of which the caller has nothing yet. */
  get #goesToOtherNode(): boolean {
    return this.#relay.isNeeded && !this.#forwarder.hasStarted;
  }

  async #serve(): Promise<void> {
    const { context, request } = this.#options;
    const { service } = this.#plan;
    // The node that has passed a request on has counted it.
    if (request.relayed === undefined) context.countRequest(service);
    if (this.#quota.isNeeded && !(await this.#takeQuota())) return;
    if (this.#continuation.isResumption) {
      const end = this.#wait.findEnd();
      const { version, source } = await this.#continuation.findOrigin(end);
      if (this.#hasEnded) return;
      const { resumes } = this.#options.request;
      this.#log.record("streamTakenUp", { resumes, version, source });
      if (version === undefined)
        return this.#ending.refuse(refuseUnknownOrigin(source === "open"));
    }
    while (!this.#hasEnded) {
      if (this.#goesToOtherNode) {
        if (await this.#passOn()) continue;
        return;
      }
      const reason = await this.#prompt.wait(
        this.#wait.findEnd(),
        () => this.#hasEnded,
      );
      if (this.#hasEnded) return;
      if (reason !== undefined)
        return this.#ending.refuse(refuseWithheld(this.#history, reason));
      const selection = await this.#wait.findServer();
      if (this.#hasEnded) return;
      if (this.#goesToOtherNode) continue;
      if (this.#wait.isTooLateToStart()) return this.#ending.refuseBeforeExit();
      if (selection === undefined) return this.#ending.refuseWithoutServer();
      const permit = await this.#wait.takePermit(selection.server);
      if (this.#hasEnded) return;
      if (permit.kind === "denied" || !this.#prompt.maySend()) continue;
      if (!(await this.#isWaitedFor())) return;
      if (!(await this.#renewQuota())) return;
      // The selection may have waited for an adapter, the owners of engines, a permit or credit.
      if (!context.availability.canTakeNext(selection.server, permit)) continue;
      const result = await this.#sendTo(selection, permit);
      if (this.#hasEnded || result === undefined) return;
      const step = this.#handleFailure(result, selection.server);
      if (step.kind === "pass-on")
        return this.#ending.forwardServerError(result);
      if (step.kind === "give-up") return this.#ending.giveUp(result);
      if (step.usesRetryBudget && !(await this.#wait.awaitRetry())) {
        if (this.#hasEnded) return;
        if (result.end.kind === "server-error")
          return this.#ending.forwardServerError(result);
        return this.#ending.giveUp(result);
      }
      const isSettled = await this.#continuation.settle(this.#wait.findEnd());
      if (this.#hasEnded) return;
      if (!isSettled) return this.#ending.refuse(refuseOpenOrigin());
    }
  }

  /** Takes the credit of the request from the quota of its organisation; false if the request has ended. */
  async #takeQuota(): Promise<boolean> {
    const refusal = await this.#quota.take();
    if (this.#hasEnded) return false;
    if (refusal !== undefined) this.#ending.refuse(refusal);
    return refusal === undefined;
  }

  /** Takes expired credit again; a request that may have run has used its credit up, and a retry needs none. */
  async #renewQuota(): Promise<boolean> {
    if (!this.#quota.isExpired || this.#ending.mayHaveRun) return true;
    return await this.#takeQuota();
  }

  /** Whether the caller still waits; after a standstill of the process its close may not have been handled yet. */
  async #isWaitedFor(): Promise<boolean> {
    const { backlog, meter } = this.#options.context.dependencies;
    if (!backlog.isBehind) return true;
    await backlog.whenHandled();
    const result = this.#hasEnded ? "left" : "waits";
    meter.count("gateway_requests_held_back_total", { result });
    return !this.#hasEnded;
  }

  /** Has another node serve the request; true if it has not run there, or may run again. */
  async #passOn(): Promise<boolean> {
    const { context } = this.#options;
    if (this.#ending.refuseAtLimit()) return false;
    if (!(await this.#isWaitedFor())) return false;
    if (!(await this.#renewQuota())) return false;
    this.#log.record("requestRelayed");
    // The other node remembers which server began a stream.
    this.#sends.forgetServer();
    const result = await this.#relay.run(this.#history.runs);
    if (this.#hasEnded) return false;
    if (result.kind === "whole") {
      this.#ending.finish("relayed");
      return false;
    }
    if (result.kind === "not-run" || result.kind === "unreachable") return true;
    this.#history.runs++;
    const mayRunAgain =
      this.#plan.route.retryRule === "repeatable" &&
      this.#history.runs < this.#plan.route.maxAttempts;
    if (mayRunAgain && !this.#forwarder.hasStarted && this.#wait.takeRetry())
      return true;
    this.#ending.refuse(
      refuseAfterAttempt(this.#history, result.detail, context),
    );
    return false;
  }

  /** Ends the request after an unexpected error; its caller would wait for good otherwise. */
  #fail(error: unknown): void {
    const { dependencies } = this.#options.context;
    dependencies.reportFailure?.("request", error);
    if (this.#hasEnded) return;
    const outcome = this.#ending.mayHaveRun ? "may-have-run" : "not-run";
    const detail = "The node failed to handle the request";
    this.#ending.refuse(refuse("unexpectedError", detail, { outcome }));
  }

  /** Makes one attempt; undefined if the caller got the whole response or a refusal. */
  async #sendTo(
    selection: ServerSelection,
    permit: Permit,
  ): Promise<AttemptResult | undefined> {
    if (this.#ending.refuseAtLimit()) return undefined;
    const attempt = this.#sends.send(selection, permit);
    this.#wait.leaveQueue();
    const result = await attempt;
    return result.end.kind === "whole" ? undefined : result;
  }

  /** Records that the caller has the whole response of a server. */
  #recordWhole(server: BackendServer): void {
    this.#prompt.recordWhole();
    this.#continuation.recordWhole();
    this.#log.recordResponse(server, this.#forwarder);
    this.#ending.finish("answered");
  }

  /** Records a failed attempt and decides whether to retry. */
  #handleFailure(attempt: AttemptResult, server: BackendServer): RetryDecision {
    const { context, request } = this.#options;
    const { route } = this.#plan;
    recordFailedAttempt(attempt, server, {
      context,
      demand: request.demand,
      history: this.#history,
      prompt: this.#prompt,
      log: this.#log,
    });
    const { retryRule } = route;
    const maxAttempts = route.maxAttempts - (request.relayed?.runs ?? 0);
    const resumable = this.#cursor?.isResumable ?? route.resumable;
    const rule = { retryRule, resumable, maxAttempts };
    return decideRetry(
      { ...rule, ...this.#history.counts },
      attempt.end as AttemptFailure,
    );
  }

  get #hasEnded(): boolean {
    return this.#ending.hasEnded;
  }

  /** Lets go of all that the request holds. */
  #release(): void {
    this.#cancelTimeLimit();
    this.#quota.end(this.#ending.mayHaveRun || this.#forwarder.hasStarted);
    this.#wait.leaveQueue();
    this.#usage.release();
    this.#prompt.end();
    this.#run.end(false);
    this.#sends.cancel();
    this.#relay.cancel();
    this.#onEnd();
  }
}
