import { type Millis, millis } from "../clock.ts";
import type { AdapterKey, FencingNumber, RequestId } from "../ids.ts";
import { createHealth, type Health } from "./health.ts";
import type { EngineIdentity } from "./messages.ts";
import { createQueue, type QueueEntry, type WorkQueue } from "./queue.ts";

/** Exponentially decayed number of dispatches to an adapter version. */
export type UsageCount = { readonly count: number; readonly at: Millis };

/** Adapter slot of an engine that holds, loads or unloads one version. */
export type Slot = {
  readonly adapter: AdapterKey;
  phase: "loading" | "loaded" | "unloading";
  /** Fencing number of the load; undefined when another owner loaded it. */
  readonly fence: FencingNumber | undefined;
  /** The engine held the adapter before this owner took over or reached the engine again. */
  inherited: boolean;
  /** Start of the present phase. */
  since: Millis;
  /** Earliest time of an eviction, later after a failed one. */
  evictableAt: Millis;
  uses: UsageCount;
  /** Streams of this owner that run on the adapter. */
  running: number;
  /** Long streams among `running`. */
  runningLong: number;
};

/** Request that was dispatched and whose stream has not ended. */
export type RunningStream = QueueEntry & {
  readonly dispatchedAt: Millis;
  /** Fencing number of the dispatch. */
  readonly fence: FencingNumber;
  firstTokenAt: Millis | undefined;
  lastProgressAt: Millis;
  tokens: number;
  /** The connection broke or is silent; the next report determines the outcome. */
  broken: boolean;
  /** A preemption was ordered. */
  preempting: boolean;
};

/** The lease under which orders may be sent. */
export type Ownership = {
  readonly fence: FencingNumber;
  readonly orderUntil: Millis;
  readonly dispatchUntil: Millis;
  readonly settledAt: Millis;
};

/** Request without a stream that may still run on the engine. */
export type UnconfirmedRequest = {
  /** Undefined for requests of earlier owners, whose adapters are unknown. */
  readonly adapter: AdapterKey | undefined;
  readonly since: Millis;
};

/** Adapter version whose load failed. */
export type LoadBackoff = { failures: number; retryAt: Millis };

/** Whether the engine has accepted an order under the present fencing number. */
export type FenceConfirmation =
  | { readonly kind: "none" }
  | { readonly kind: "sent"; readonly adapter: AdapterKey }
  | { readonly kind: "accepted"; readonly at: Millis }
  /** A report requested after the acceptance lists all requests of earlier owners. */
  | { readonly kind: "confirmed" };

/** State of one engine at its owner; updated in place by the decision. */
export type EngineState = {
  readonly identity: EngineIdentity;
  ownership: Ownership | undefined;
  /** Fencing number that the engine refused or whose lease was lost. */
  refusedFence: FencingNumber | undefined;
  /** `unknown` until the first report under the present fencing number. */
  reachability: "unknown" | "up" | "down";
  boot: string | undefined;
  leaving: boolean;
  draining: boolean;
  queue: WorkQueue;
  running: Map<RequestId, RunningStream>;
  /** Number of running streams that count as long. */
  runningLong: number;
  unconfirmed: Map<RequestId, UnconfirmedRequest>;
  /** Number of unconfirmed requests of earlier owners. */
  inheritedRunning: number;
  slots: Map<AdapterKey, Slot>;
  fenceConfirmation: FenceConfirmation;
  backoffs: Map<AdapterKey, LoadBackoff>;
  permits: {
    granted: number;
    /** Requested permits by urgency. */
    urgent: number;
    deferred: number;
  };
  /** Moving averages in ms; `loadInterval` is the time between load starts while requests wait for loads. */
  estimates: { load: number; loadInterval: number; service: number };
  placement: readonly AdapterKey[];
  report: {
    requestedAt: Millis | undefined;
    nextAt: Millis | undefined;
    /** The engine counts as down if the pending report fails. */
    decisive: boolean;
    failures: number;
  };
  health: Health;
  /** Time of the next check for stalled requests. */
  ageCheckAt: Millis | undefined;
  /** Time since which requests have been waiting for a load to start. */
  loadWaitingSince: Millis | undefined;
  /** Time of the next check for loads that would finish too late. */
  loadCheckAt: Millis | undefined;
  /** Token bucket: preemptions left at a time. */
  preemptions: { left: number; at: Millis };
  timerAt: Millis | undefined;
  counters: EngineCounters;
};

/** Counts of refusals, preemptions and dropped records of one engine owner. */
export type EngineCounters = {
  queueFull: number;
  deadlinePassed: number;
  loadGivenUp: number;
  backoffsDropped: number;
  duplicates: number;
  preemptions: number;
};

/** Load time assumed before the first observation, in ms. */
const INITIAL_LOAD_ESTIMATE = 250;

/** Time from dispatch to completion assumed before the first observation, in ms. */
const INITIAL_SERVICE_ESTIMATE = 1_000;

/** Creates the state of an engine that this node does not own yet. */
export function createEngineState(identity: EngineIdentity): EngineState {
  return {
    identity,
    ownership: undefined,
    refusedFence: undefined,
    reachability: "unknown",
    boot: undefined,
    leaving: false,
    draining: false,
    queue: createQueue(),
    running: new Map(),
    runningLong: 0,
    unconfirmed: new Map(),
    inheritedRunning: 0,
    slots: new Map(),
    fenceConfirmation: { kind: "none" },
    backoffs: new Map(),
    permits: {
      granted: 0,
      urgent: 0,
      deferred: 0,
    },
    estimates: {
      load: INITIAL_LOAD_ESTIMATE,
      loadInterval: 0,
      service: INITIAL_SERVICE_ESTIMATE,
    },
    placement: [],
    report: {
      requestedAt: undefined,
      nextAt: undefined,
      decisive: false,
      failures: 0,
    },
    health: createHealth(),
    ageCheckAt: undefined,
    loadWaitingSince: undefined,
    loadCheckAt: undefined,
    preemptions: { left: 0, at: millis(0) },
    timerAt: undefined,
    counters: {
      queueFull: 0,
      deadlinePassed: 0,
      loadGivenUp: 0,
      backoffsDropped: 0,
      duplicates: 0,
      preemptions: 0,
    },
  };
}
