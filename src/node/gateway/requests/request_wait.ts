import { type Millis, millis } from "../../../core/clock.ts";
import type { BackendServer } from "../../../core/gateway/servers.ts";
import type { ProxiedRequest } from "../../../ports/gateway.ts";
import type { GatewayContext } from "../context.ts";
import type { ServerSelection } from "../servers/adapter_selector.ts";
import type { Permit, TakePermit } from "../servers/server_permits.ts";
import type { ServerSelector } from "../servers/server_selector.ts";
import type { AttemptHistory } from "./attempt_history.ts";
import type { RequestPlan } from "./request_intake.ts";
import type { RequestLog } from "./request_log.ts";
import { findRequestUrgency } from "./request_urgency.ts";
import { waitForServer } from "./server_wait.ts";
import type { QueuePlace } from "./wait_queue.ts";

/** Maximum wait for a permit while another server may take the request, and while none may, in ms. */
const shortPermitWait = 60;
const longPermitWait = 1_000;
/** Maximum wait for a retry while the budget of the service is spent, and delay between two looks at it, in ms. */
const maxRetryWait = 500;
const retryPollInterval = 60;

/** Need of the requests that wait for a retry of the budget. */
const retryNeed = { key: "retry", mayProceed: () => true };

type RequestWaitOptions = {
  readonly context: GatewayContext;
  readonly selector: ServerSelector;
  readonly takePermit: TakePermit;
  readonly request: ProxiedRequest;
  readonly plan: RequestPlan;
  readonly history: AttemptHistory;
  readonly log: RequestLog;
  /** Whether a server may serve the request. */
  readonly isEligible: (server: BackendServer) => boolean;
  /** Whether the request goes on with a stream. */
  readonly isResumption: boolean;
  /** Whether the request has ended. */
  readonly hasEnded: () => boolean;
};

/** Waits of one request for a server, bounded by its time limits and by the stop of the node. */
export class RequestWait {
  readonly #options: RequestWaitOptions;
  #place: QueuePlace | undefined;

  private constructor(options: RequestWaitOptions) {
    this.#options = options;
  }

  static create(options: RequestWaitOptions): RequestWait {
    return new RequestWait(options);
  }

  /** Time until which the request waits; while the node stops, no longer than it can be started. */
  findEnd(): Millis {
    const { context, plan, history } = this.#options;
    const end = plan.limits.findWaitEnd(context.now(), history.isEmpty);
    return millis(Math.min(end, this.#findLatestStart()));
  }

  /** Whether the exit of the process would cut off the answer, or the rest of a stream, of a server that gets the request now. */
  isTooLateToStart(): boolean {
    return this.#options.context.now() >= this.#findLatestStart();
  }

  /** Whether servers are registered, but none that may serve the request. */
  hasOnlyOtherServers(): boolean {
    const { selector, plan, isEligible } = this.#options;
    return selector.hasOnlyServersBut(plan.service, isEligible);
  }

  /** Waits for a server that can take the request; undefined if none can in time. */
  findServer(): Promise<ServerSelection | undefined> {
    const { context, selector, request, plan, history, log } = this.#options;
    return waitForServer({
      context,
      selector,
      service: plan.service,
      demand: request.demand,
      isEligible: this.#options.isEligible,
      tried: history.tried,
      deniedBy: history.deniedBy,
      place: this.#join(),
      isResumption: this.#options.isResumption,
      until: this.findEnd(),
      // One that has run is not refused for an estimate, since its answer is lost then.
      deadline: millis(
        history.runs > 0 ? Number.POSITIVE_INFINITY : plan.limits.end,
      ),
      fullTime: millis(plan.limits.end - request.arrivedAt),
      hasEnded: this.#options.hasEnded,
      onAdapterWait: (server) => log.record("requestAwaitsAdapter", { server }),
      onRefused: (server, reason) => {
        history.lastRefusal = { server, reason };
      },
      onPaused: (resumption) => {
        history.resumption = resumption;
      },
      onOutranked: () => {
        log.record("requestOutranked");
        history.turnedAway = { kind: "outranked" };
      },
      onTooLate: (decision) => {
        log.record("requestTooLateToBegin");
        history.turnedAway = decision;
      },
      onModelMissing: (availability) => {
        history.modelReadyAt =
          availability.kind === "coming" ? availability.readyAt : undefined;
      },
    });
  }

  /** Takes the right to send the request to a server that limits the requests of all nodes. */
  async takePermit(server: BackendServer): Promise<Permit> {
    const { context, selector, plan, log, isEligible } = this.#options;
    if (!context.availability.isLimited(server)) return { kind: "not-needed" };
    this.#place?.passTurn();
    const isOther = (other: BackendServer) =>
      other.id !== server.id && isEligible(other);
    const longest = selector.hasFreeServer(plan.service, isOther)
      ? shortPermitWait
      : longPermitWait;
    const timeLeft = Math.max(0, this.findEnd() - context.now());
    const patience = millis(Math.min(longest, timeLeft));
    const permit = await this.#options.takePermit(server, patience);
    if (permit.kind === "denied") log.record("requestNotPermitted", { server });
    return permit;
  }

  /** Leaves the queue, since the request is sent or has ended. */
  leaveQueue(): void {
    const place = this.#place;
    if (place === undefined) return;
    this.#place = undefined;
    place.leave();
    const { context, plan } = this.#options;
    const wait = context.now() - place.joinedAt;
    const priority = String(plan.priority);
    const { meter } = context.dependencies;
    meter.observe("gateway_queue_wait_ms", wait, { priority });
  }

  /**
   * Takes a retry from the budget of the service. A request that no server has
   * run waits a short time for one, in the order of the queue.
   */
  async awaitRetry(): Promise<boolean> {
    const { context, plan, history, hasEnded, log } = this.#options;
    const place = this.#join();
    if (!place.isBehindOthers(retryNeed.key) && this.takeRetry()) return true;
    if (history.runs > 0 || this.#arePausedTooLong()) return false;
    if (!context.canEarnRetry(plan.service)) return false;
    log.record("retryAwaitsBudget");
    const until = Math.min(this.findEnd(), context.now() + maxRetryWait);
    while (!hasEnded()) {
      const nextTurn = context.now() + retryPollInterval;
      if (nextTurn >= until) return false;
      const end = await place.wait(retryNeed, millis(nextTurn));
      if (end !== "turn") return false;
      if (context.takeEarnedRetry(plan.service)) return true;
    }
    // The request has ended, or goes on at another node.
    return true;
  }

  /** Takes a retry from the budget of the service, unless all servers are paused for too long. */
  takeRetry(): boolean {
    const { context, plan } = this.#options;
    return !this.#arePausedTooLong() && context.takeRetry(plan.service);
  }

  #arePausedTooLong(): boolean {
    const { selector, request, plan, isEligible } = this.#options;
    const { demand } = request;
    const candidates = { demand, isEligible };
    const resumption = selector.findResumption(plan.service, candidates);
    return resumption !== undefined && resumption.at > this.findEnd();
  }

  #join(): QueuePlace {
    const { context, request, plan } = this.#options;
    const urgency = findRequestUrgency(request, plan, { hasServer: false });
    this.#place ??= context.queues.obtain(plan.service).join(urgency);
    return this.#place;
  }

  #findLatestStart(): number {
    const { context, plan } = this.#options;
    return context.findLatestStart(plan.kind, plan.limits.end);
  }
}
