import { type Millis, millis } from "../clock.ts";
import type { AdapterKey, FencingNumber, RequestId } from "../ids.ts";
import { createHealth, type Health } from "./health.ts";
import type { EngineIdentity } from "./messages.ts";
import { createQueue, type QueueEntry, type WorkQueue } from "./queue.ts";

/** Number of dispatches to an adapter version, which decays with time. */
export type UsageCount = { readonly count: number; readonly at: Millis };

/** Place of an engine that holds, loads or unloads one adapter version. */
export type Slot = {
  readonly adapter: AdapterKey;
  phase: "loading" | "loaded" | "unloading";
  /** Fencing number of the load; undefined when another owner loaded it. */
  readonly fence: FencingNumber | undefined;
  /** Held by the engine before this owner took over or lost contact. */
  inherited: boolean;
  /** Start of the present phase. */
  since: Millis;
  /** Not evicted before this time, after an eviction failed. */
  evictableAt: Millis;
  uses: UsageCount;
  /** Streams of this owner that run on the adapter. */
  running: number;
  /** Those of them that are long. */
  runningLong: number;
};

/** A stream that was dispatched and has not ended. */
export type RunningStream = QueueEntry & {
  readonly dispatchedAt: Millis;
  /** Fencing number of the dispatch. */
  readonly fence: FencingNumber;
  firstTokenAt: Millis | undefined;
  lastProgressAt: Millis;
  tokens: number;
  /** The connection broke or went silent; a report decides what to say. */
  broken: boolean;
  /** It was ordered to make room. */
  preempting: boolean;
};

/** The lease under which orders may be written. */
export type Ownership = {
  readonly fence: FencingNumber;
  readonly orderUntil: Millis;
  readonly dispatchUntil: Millis;
  readonly settledAt: Millis;
};

/** Request that may still run on the engine although no stream of it is read. */
export type UnconfirmedRequest = {
  /** Undefined for requests of an earlier owner, whose adapter is not known. */
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
  /** A report asked for after the acceptance lists every older request. */
  | { readonly kind: "confirmed" };

/** State of one engine at its owner; updated in place by the decision. */
export type EngineState = {
  readonly identity: EngineIdentity;
  ownership: Ownership | undefined;
  /** Fencing number under which orders were refused or given up. */
  refusedFence: FencingNumber | undefined;
  /** `unknown` until the first report under the present fencing number. */
  reachability: "unknown" | "up" | "down";
  boot: string | undefined;
  leaving: boolean;
  draining: boolean;
  queue: WorkQueue;
  running: Map<RequestId, RunningStream>;
  /** Running entries that count as long work. */
  runningLong: number;
  unconfirmed: Map<RequestId, UnconfirmedRequest>;
  /** Unconfirmed requests of earlier owners. */
  inheritedRunning: number;
  slots: Map<AdapterKey, Slot>;
  fenceConfirmation: FenceConfirmation;
  backoffs: Map<AdapterKey, LoadBackoff>;
  permits: {
    granted: number;
    /** Permits asked for, urgent and not. */
    urgent: number;
    deferred: number;
  };
  /** Moving averages, in ms; `loadInterval` is the time between loads while some wait. */
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
  /** Next check of the oldest request. */
  ageCheckAt: Millis | undefined;
  /** Time since which a load has been waiting to start. */
  loadWaitingSince: Millis | undefined;
  /** Next check of work that waits for loads. */
  loadCheckAt: Millis | undefined;
  /** Preemptions that may be ordered, as of a time. */
  preemptions: { left: number; at: Millis };
  timerAt: Millis | undefined;
  /** What bounds turned away, by name. */
  counters: EngineCounters;
};

/** Counts of what the bounds of an engine owner turned away. */
export type EngineCounters = {
  queueFull: number;
  deadlinePassed: number;
  loadGivenUp: number;
  backoffsDropped: number;
  duplicates: number;
  preemptions: number;
};

/** Load time assumed until one was observed, in ms. */
const INITIAL_LOAD_ESTIMATE = 250;

/** Time in a batch place assumed until one was observed, in ms. */
const INITIAL_SERVICE_ESTIMATE = 1_000;

/** State of an engine that this node does not own yet. */
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
