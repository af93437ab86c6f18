import { type Millis, millis } from "../clock.ts";
import type { AdapterKey } from "../ids.ts";
import { refuse } from "../results/refusal.ts";
import { type EventContext, refuseQueued, updateAverage } from "./context.ts";
import { type AdapterQueue, firstEntry, listEntries } from "./queue.ts";
import { countLongSlots } from "./slots.ts";
import type { EngineState } from "./state.ts";

/** Time between checks for loads that would finish after the deadline of their requests, in ms. */
const LOAD_CHECK_PERIOD = 250;

/** Adapter version to load. */
export type LoadCandidate = {
  readonly adapter: AdapterKey;
  /** Short work needs it, or long work that has waited for `maxLongDelay`. */
  readonly urgent: boolean;
  /** Requests wait for it; false for a prefetch. */
  readonly onDemand: boolean;
  readonly rank: number;
};

/** Lists the adapter versions that requests wait for or, when there are none, one that placement wants. */
export function listLoadCandidates(context: EventContext): LoadCandidate[] {
  const { state } = context;
  const onDemand = listOnDemandLoads(context);
  if (onDemand.length > 0) return onDemand;
  const prefetch = state.placement.find(
    (adapter) => !state.slots.has(adapter) && !isBackingOff(context, adapter),
  );
  return prefetch === undefined
    ? []
    : [{ adapter: prefetch, urgent: false, onDemand: false, rank: 0 }];
}

/** Lists the adapter versions that requests wait for, in loading order. */
function listOnDemandLoads(context: EventContext): LoadCandidate[] {
  const { state, policies } = context;
  const candidates: LoadCandidate[] = [];
  const longAllowed =
    countLongSlots(state) < policies.maxLongSlots(state.identity.limits.slots);
  for (const [adapter, adapterQueue] of state.queue.byAdapter) {
    if (state.slots.has(adapter) || isBackingOff(context, adapter)) continue;
    const urgent = isUrgent(context, adapterQueue);
    if (!longAllowed && !urgent) continue;
    const rank = policies.rankLoad({
      firstRank: firstEntry(state.queue, adapter)?.rank ?? 0,
      waiting: countEntries(adapterQueue),
    });
    candidates.push({ adapter, urgent, onDemand: true, rank });
  }
  return candidates.sort(compareCandidates);
}

/** Sorts urgent loads first, then by rank. */
function compareCandidates(a: LoadCandidate, b: LoadCandidate): number {
  return Number(b.urgent) - Number(a.urgent) || a.rank - b.rank;
}

/** Whether short work waits, or long work that has waited for `maxLongDelay`. */
function isUrgent(
  { now, policies }: EventContext,
  adapterQueue: AdapterQueue,
): boolean {
  const [long] = adapterQueue.long;
  if (adapterQueue.short.length > 0 || long === undefined) return true;
  return now - long.queuedAt >= policies.maxLongDelay;
}

function countEntries({ short, long }: AdapterQueue): number {
  return short.length + long.length;
}

function isBackingOff(
  { state, now }: EventContext,
  adapter: AdapterKey,
): boolean {
  const backoff = state.backoffs.get(adapter);
  return backoff !== undefined && backoff.retryAt > now;
}

/** Tracks the time since which requests have been waiting for a load to start. */
export function trackLoadWait(
  { state, now }: EventContext,
  candidates: readonly LoadCandidate[],
): void {
  if (candidates[0]?.onDemand !== true) state.loadWaitingSince = undefined;
  else state.loadWaitingSince ??= now;
}

/** Updates the estimated time between loads when a load starts. */
export function recordLoadStart({ state, now }: EventContext): void {
  const { estimates, loadWaitingSince } = state;
  const interval = now - (loadWaitingSince ?? now);
  estimates.loadInterval = updateAverage(estimates.loadInterval, interval);
  state.loadWaitingSince = now;
}

/** Estimates the time until another load can start, in ms. */
export function estimateLoadStart(state: EngineState, now: Millis): number {
  const { estimates, loadWaitingSince, permits } = state;
  const slotWait = estimateSlotWait(state, now);
  if (loadWaitingSince === undefined && permits.granted > 0) return slotWait;
  const waited = now - (loadWaitingSince ?? now);
  return Math.max(slotWait, estimates.loadInterval - waited);
}

/** Returns the time until a new owner of an engine without free slots may evict, in ms. */
function estimateSlotWait(state: EngineState, now: Millis): number {
  if (state.slots.size < state.identity.limits.slots) return 0;
  return Math.max(0, (state.ownership?.settledAt ?? 0) - now);
}

/** Estimates the time until the adapter of work with this rank is loaded, in ms. */
export function estimateLoadWait(
  context: EventContext,
  { adapter, rank }: { adapter: AdapterKey; rank: number },
): number {
  const { state, now } = context;
  const slot = state.slots.get(adapter);
  if (slot?.phase === "loaded") return 0;
  if (slot?.phase === "loading") {
    return Math.max(0, slot.since + state.estimates.load - now);
  }
  const ahead = listOnDemandLoads(context).filter(
    (candidate) => candidate.rank < rank && candidate.adapter !== adapter,
  );
  const retryAt = state.backoffs.get(adapter)?.retryAt ?? now;
  const startWait = estimateNthLoadStart(context, ahead.length);
  return Math.max(retryAt - now, startWait) + state.estimates.load;
}

/** Estimates the time until a load starts that has `ahead` others before it, in ms. */
function estimateNthLoadStart(
  { state, now }: EventContext,
  ahead: number,
): number {
  const waited = now - (state.loadWaitingSince ?? now);
  const interval = Math.max(state.estimates.loadInterval, waited);
  return estimateLoadStart(state, now) + ahead * interval;
}

/** Refuses queued work whose adapter will not be loaded before its deadline. */
export function refuseLateLoads(context: EventContext): void {
  const { state, now } = context;
  if (state.loadWaitingSince === undefined) {
    state.loadCheckAt = undefined;
    return;
  }
  state.loadCheckAt ??= millis(now + LOAD_CHECK_PERIOD);
  if (now < state.loadCheckAt) return;
  state.loadCheckAt = millis(now + LOAD_CHECK_PERIOD);
  listOnDemandLoads(context).forEach(({ adapter }, ahead) => {
    const wait = estimateNthLoadStart(context, ahead) + state.estimates.load;
    refuseLateEntries(context, { adapter, wait });
  });
}

function refuseLateEntries(
  context: EventContext,
  { adapter, wait }: { adapter: AdapterKey; wait: number },
): void {
  const { state, now } = context;
  const late = listEntries(state.queue, adapter).filter(
    ({ work }) => work.deadlineAt <= now + wait,
  );
  if (late.length === 0) return;
  state.counters.loadGivenUp += late.length;
  const detail = "The load would finish after the deadline";
  const retryAfter = millis(Math.ceil(wait));
  refuseQueued(context, late, refuse("loadFailed", detail, { retryAfter }));
}
