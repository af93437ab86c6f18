import { type Millis, millis } from "../clock.ts";
import type { EngineId } from "../ids.ts";

/** What this node itself has seen of one engine. */
type EngineHealth = {
  /** Requests sent that have no token yet, with the wait that was expected. */
  readonly open: Map<string, { sentAt: Millis; expected: Millis }>;
  /** Factor by which waits exceed what was expected, smoothed. */
  excess: number;
  /** Classified as slow by the waits for first tokens. */
  slow: boolean;
  /** Time of the last request sent there. */
  sentAt: Millis;
};

/** Own observations of engines, which complement their late reports; changed in place. */
export type EngineHealthState = Map<EngineId, EngineHealth>;

/** Excess over the expected wait above which an engine is slow, and below which it recovers. */
const slowFactor = 3;
const recoveredFactor = 1.5;
/** Waits below this say nothing, in ms: small expectations are exceeded by chance. */
const noticeableWait = 300;
/** Requests expected to wait longer than this are not observed, in ms: a load or a queue in front of them says nothing of the engine's speed. */
const observableWait = 200;
/** Overdue requests that make an engine slow; one may have met bad luck in the queue. */
const overdueNeeded = 2;
/** Weight of the newest wait in the smoothed excess. */
const smoothing = 0.4;
/** Time between probes of a slow engine by one node, in ms. */
const probePeriod = 1000;
/** Requests without a token that are tracked for one engine. */
const openLimit = 256;

/** Notes that a request was sent; at a slow engine it counts as a probe. */
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
  if (expected <= observableWait && health.open.size < openLimit)
    health.open.set(request, { sentAt: now, expected });
}

/** Notes a first token, which shows how long the engine really takes. */
export function recordFirstToken(
  state: EngineHealthState,
  options: { engine: EngineId; request: string; now: Millis },
): void {
  const health = state.get(options.engine);
  const start = health?.open.get(options.request);
  if (health === undefined || start === undefined) return;
  health.open.delete(options.request);
  const wait = Math.max(options.now - start.sentAt, noticeableWait);
  const ratio = wait / Math.max(start.expected, noticeableWait);
  health.excess = (1 - smoothing) * health.excess + smoothing * ratio;
  health.slow = health.excess >= (health.slow ? recoveredFactor : slowFactor);
}

/** Notes that a request ended without a first token, which says nothing of speed. */
export function recordEnd(
  state: EngineHealthState,
  options: { engine: EngineId; request: string },
): void {
  state.get(options.engine)?.open.delete(options.request);
}

/** Whether an engine is slow: by its first tokens, or by a request that has waited too long for one. */
export function isSlow(
  state: EngineHealthState,
  options: { engine: EngineId; now: Millis },
): boolean {
  const health = state.get(options.engine);
  if (health === undefined) return false;
  return health.slow || isOverdue(health, options.now);
}

/** Whether a slow engine is due for a request that shows if it has recovered. */
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
    excess: 1,
    slow: false,
    sentAt: millis(Number.NEGATIVE_INFINITY),
  };
}

function isOverdue(health: EngineHealth, now: Millis): boolean {
  let overdue = 0;
  for (const { sentAt } of health.open.values())
    if (now - sentAt > slowFactor * noticeableWait) overdue++;
  return overdue >= overdueNeeded;
}
