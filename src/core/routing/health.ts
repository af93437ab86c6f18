import { type Millis, millis } from "../clock.ts";
import type { EngineId } from "../ids.ts";

/** Health of one engine as observed by this node. */
type EngineHealth = {
  /** Requests sent that have no token yet, with their expected wait. */
  readonly open: Map<string, { sentAt: Millis; expected: Millis }>;
  /** Ratio of observed to expected waits, smoothed. */
  waitRatio: number;
  /** Classified as slow by the waits for first tokens. */
  slow: boolean;
  /** Time of the last request sent to the engine. */
  sentAt: Millis;
};

/** Observations of engines by this node, which complement their delayed reports; updated in place. */
export type EngineHealthState = Map<EngineId, EngineHealth>;

/** Ratio of observed to expected waits above which an engine is slow, and below which it has recovered. */
const slowFactor = 3;
const recoveredFactor = 1.5;
/** Lower bound applied to observed and expected waits, in ms: short expected waits are exceeded by chance. */
const minObservedWait = 300;
/** Expected wait above which a request is not observed, in ms: it waits for a load or a queue, which does not show the engine's speed. */
const maxExpectedWait = 200;
/** Number of overdue requests that make an engine slow; a single one may be late because of the queue. */
const minOverdueRequests = 2;
/** Weight of the latest wait in the smoothed ratio. */
const smoothingFactor = 0.4;
/** Minimum time between probes of a slow engine by one node, in ms. */
const probePeriod = 1000;
/** Maximum number of requests without a token that are tracked for one engine. */
const maxOpenRequests = 256;

/** Records that a request was sent; at a slow engine it counts as a probe. */
export function recordStart(
  state: EngineHealthState,
  options: {
    engine: EngineId;
    request: string;
    expected: Millis;
    now: Millis;
  },
): void {
  const { engine, request, expected, now } = options;
  const health = state.get(engine) ?? createHealth();
  state.set(engine, health);
  health.sentAt = now;
  if (expected <= maxExpectedWait && health.open.size < maxOpenRequests)
    health.open.set(request, { sentAt: now, expected });
}

/** Records a first token, which shows the actual wait. */
export function recordFirstToken(
  state: EngineHealthState,
  options: { engine: EngineId; request: string; now: Millis },
): void {
  const health = state.get(options.engine);
  const start = health?.open.get(options.request);
  if (health === undefined || start === undefined) return;
  health.open.delete(options.request);
  const wait = Math.max(options.now - start.sentAt, minObservedWait);
  const ratio = wait / Math.max(start.expected, minObservedWait);
  health.waitRatio =
    (1 - smoothingFactor) * health.waitRatio + smoothingFactor * ratio;
  health.slow =
    health.waitRatio >= (health.slow ? recoveredFactor : slowFactor);
}

/** Records that a request ended without a first token, which does not show the engine's speed. */
export function recordEnd(
  state: EngineHealthState,
  options: { engine: EngineId; request: string },
): void {
  state.get(options.engine)?.open.delete(options.request);
}

/** Whether an engine is slow, by its first tokens or by overdue requests without one. */
export function isSlow(
  state: EngineHealthState,
  options: { engine: EngineId; now: Millis },
): boolean {
  const health = state.get(options.engine);
  if (health === undefined) return false;
  return health.slow || isOverdue(health, options.now);
}

/** Whether a slow engine is due for a request that probes its recovery. */
export function mayProbe(
  state: EngineHealthState,
  options: { engine: EngineId; now: Millis },
): boolean {
  const health = state.get(options.engine);
  if (health === undefined) return true;
  return options.now - health.sentAt >= probePeriod;
}

function createHealth(): EngineHealth {
  return {
    open: new Map(),
    waitRatio: 1,
    slow: false,
    sentAt: millis(Number.NEGATIVE_INFINITY),
  };
}

function isOverdue(health: EngineHealth, now: Millis): boolean {
  let overdue = 0;
  for (const { sentAt } of health.open.values())
    if (now - sentAt > slowFactor * minObservedWait) overdue++;
  return overdue >= minOverdueRequests;
}
