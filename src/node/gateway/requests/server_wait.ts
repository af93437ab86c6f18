import { type Millis, millis, sleep } from "../../../core/clock.ts";
import {
  type BeginDecision,
  decideBegin,
} from "../../../core/gateway/begin_in_time.ts";
import type { Resumption } from "../../../core/gateway/server_pauses.ts";
import type { BackendServer } from "../../../core/gateway/servers.ts";
import type { ServerId, ServiceName } from "../../../core/ids.ts";
import type { ModelDemand } from "../../../ports/gateway.ts";
import type { GatewayContext } from "../context.ts";
import type { ModelAvailability } from "../engines/model_requester.ts";
import type {
  RefusalListener,
  ServerSelection,
} from "../servers/adapter_selector.ts";
import type { ServerSelector } from "../servers/server_selector.ts";
import { findLoadUrgency } from "./request_urgency.ts";
import { describeNeed } from "./server_need.ts";
import type { Need, QueuePlace } from "./wait_queue.ts";

/** Maximum delay between two attempts to select a server, in ms. */
const pollInterval = millis(60);

/** Criteria and callbacks of a wait for a server. */
export type ServerWaitOptions = {
  readonly context: GatewayContext;
  readonly selector: ServerSelector;
  readonly service: ServiceName;
  readonly demand: ModelDemand | undefined;
  /** Place of the request among those that wait for the service. */
  readonly place: QueuePlace;
  /** Whether the request goes on with a stream, which not all servers may. */
  readonly isResumption: boolean;
  /** Whether a server may serve the request. */
  readonly isEligible: (server: BackendServer) => boolean;
  /**
   * Servers that are not selected; cleared when no other can take the request,
   * since they may have recovered.
   */
  readonly tried: Set<ServerId>;
  readonly deniedBy: ServerId | undefined;
  /** Time by which the server must be able to take the request. */
  readonly until: Millis;
  /** End of the time that the route and the caller allow, and that time from the arrival on. */
  readonly deadline: Millis;
  readonly fullTime: Millis;
  /** Whether the request has ended in the meantime. */
  readonly hasEnded: () => boolean;
  /** Called when the request starts to wait for an adapter. */
  readonly onAdapterWait: (server: BackendServer) => void;
  readonly onRefused: RefusalListener;
  /** Called if no engine holds the model. */
  readonly onModelMissing: (availability: ModelAvailability) => void;
  /** Called with the end of the first pause while all servers are paused, and with undefined once one is not. */
  readonly onPaused: (resumption: Resumption | undefined) => void;
  /** Called if more urgent requests fill the queue. */
  readonly onOutranked: () => void;
  /** Called if no server can begin the request before its deadline. */
  readonly onTooLate: (
    decision: Extract<BeginDecision, { kind: "too-late" }>,
  ) => void;
};

/** Waits until a server can take the request; undefined if none can by `until`. */
export async function waitForServer(
  options: ServerWaitOptions,
): Promise<ServerSelection | undefined> {
  const { context, until } = options;
  const { clock, meter } = context.dependencies;
  const startedAt = context.now();
  const selection = await withDeadline(
    options,
    ServerSearch.create(options).run(),
  );
  if (selection === undefined || options.hasEnded()) return undefined;
  const wait = millis(selection.readyAt - context.now());
  if (wait > 0) {
    options.onAdapterWait(selection.server);
    await sleep(clock, millis(Math.min(wait, until - context.now())));
  }
  if (options.demand?.adapter !== undefined) {
    meter.observe("gateway_adapter_wait_ms", context.now() - startedAt);
  }
  return selection;
}

/** Search of one request for a server, in the queue of those that wait. */
class ServerSearch {
  readonly #options: ServerWaitOptions;
  readonly #need: Need;
  /** Whether an engine will hold the model in time, as far as is known. */
  #isModelInTime = true;
  #isFirst = true;

  private constructor(options: ServerWaitOptions) {
    this.#options = options;
    this.#need = describeNeed(options);
  }

  static create(options: ServerWaitOptions): ServerSearch {
    return new ServerSearch(options);
  }

  /** Resolves to undefined if no server can take the request in time. */
  async run(): Promise<ServerSelection | undefined> {
    const { context, selector, service, place } = this.#options;
    const { isEligible, hasEnded, tried, until } = this.#options;
    if (place.isBehindOthers(this.#need.key)) {
      if (!(await this.#waitForTurn(context.now()))) return undefined;
    }
    while (!hasEnded() && this.#isModelInTime) {
      // Only servers at which the stream cannot go on: the caller can start anew sooner.
      if (selector.hasOnlyServersBut(service, isEligible)) return undefined;
      const selection = await this.#select();
      if (selection !== undefined && selection.readyAt <= until)
        return this.#canBegin(selection) ? selection : undefined;
      const pauseEnd = this.#findPauseEnd();
      const nextPoll = context.now() + pollInterval;
      // A caller that cannot be served in time returns after the pause instead of waiting.
      if (Math.max(pauseEnd, nextPoll) >= until) return undefined;
      if (selection === undefined) tried.clear();
      const wakeAt = pauseEnd > context.now() ? pauseEnd : nextPoll;
      if (!(await this.#waitForTurn(millis(wakeAt)))) return undefined;
    }
    return undefined;
  }

  /** Waits for the next turn; whether the request may go on. */
  async #waitForTurn(wakeAt: Millis): Promise<boolean> {
    const end = await this.#options.place.wait(this.#need, wakeAt);
    if (end === "outranked") this.#options.onOutranked();
    return end === "turn";
  }

  #select(): Promise<ServerSelection | undefined> {
    const { context, selector, service, demand, place } = this.#options;
    const { isEligible, tried, deniedBy, onRefused } = this.#options;
    // The owners of engines order the loads of adapters, so the next request need not wait.
    if (demand?.adapter !== undefined) place.passTurn();
    const isFirst = this.#isFirst;
    this.#isFirst = false;
    return selector.select(service, {
      demand,
      isEligible,
      tried,
      deniedBy,
      isFirst,
      onRefused,
      onModelMissing: (availability) => this.#onModelMissing(availability),
      rankLoad: () => findLoadUrgency(context, place.urgency),
    });
  }

  #onModelMissing(availability: ModelAvailability): void {
    const { until, onModelMissing } = this.#options;
    // A model that takes longer is not waited for, so that the caller can return later.
    if (availability.kind !== "unknown") {
      this.#isModelInTime =
        availability.kind === "coming" && availability.readyAt <= until;
    }
    onModelMissing(availability);
  }

  /** Whether some server is expected to begin the request before its deadline. */
  #canBegin({ server }: ServerSelection): boolean {
    const { context, selector, service, demand } = this.#options;
    const { isEligible, deadline, fullTime, onTooLate } = this.#options;
    const candidates = { demand, isEligible };
    const begin = decideBegin(selector.listWaits(service, candidates, server), {
      timeLeft: millis(deadline - context.now()),
      fullTime,
    });
    if (begin.kind === "too-late") onTooLate(begin);
    return begin.kind === "in-time";
  }

  #findPauseEnd(): Millis {
    const { context, selector, service, demand } = this.#options;
    const { isEligible, onPaused } = this.#options;
    const candidates = { demand, isEligible };
    const resumption = selector.findResumption(service, candidates);
    onPaused(resumption);
    return resumption?.at ?? context.now();
  }
}

/** Resolves to undefined at `until`, since the owners of engines may answer too late. */
function withDeadline(
  { context, until }: ServerWaitOptions,
  selection: Promise<ServerSelection | undefined>,
): Promise<ServerSelection | undefined> {
  return new Promise((resolve, reject) => {
    const timeLeft = millis(until - context.now());
    const cancel = context.dependencies.clock.schedule(timeLeft, () =>
      resolve(undefined),
    );
    selection.then(resolve, reject).finally(cancel);
  });
}
