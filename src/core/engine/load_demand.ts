import { type Millis, millis } from "../clock.ts";
import type { AdapterKey } from "../ids.ts";
import { refuse } from "../results/refusal.ts";
import { type AdapterQueue, entriesOf, firstEntry } from "./queue.ts";
import { countLongSlots } from "./slots.ts";
import type { EngineState } from "./state.ts";
import { average, handBack, type Turn } from "./turn.ts";

/** Time between checks whether waiting loads will end in time, in ms. */
const LOAD_CHECK_PERIOD = 250;

/** An adapter version that should be loaded. */
export type Wanted = {
  readonly adapter: AdapterKey;
  /** Short work or long work that has waited long enough needs it. */
  readonly urgent: boolean;
  readonly awaited: boolean;
  readonly rank: number;
};

/** Adapter versions to load: those with waiting requests first, then placement. */
export function listWanted(turn: Turn): Wanted[] {
  const { state } = turn;
  const waiting = listWaiting(turn);
  if (waiting.length > 0) return waiting;
  const prefetch = state.placement.find(
    (adapter) => !state.slots.has(adapter) && !isBackingOff(turn, adapter),
  );
  return prefetch === undefined
    ? []
    : [{ adapter: prefetch, urgent: false, awaited: false, rank: 0 }];
}

/** Adapter versions that requests wait for, in the order of loading. */
function listWaiting(turn: Turn): Wanted[] {
  const { state, policies } = turn;
  const waiting: Wanted[] = [];
  const longAllowed =
    countLongSlots(state) < policies.longSlots(state.identity.limits.slots);
  for (const [adapter, lanes] of state.queue.byAdapter) {
    if (state.slots.has(adapter) || isBackingOff(turn, adapter)) continue;
    const urgent = isPressing(turn, lanes);
    if (!longAllowed && !urgent) continue;
    const rank = policies.rankLoad({
      firstRank: firstEntry(state.queue, adapter)?.rank ?? 0,
      waiting: countEntries(lanes),
    });
    waiting.push({ adapter, urgent, awaited: true, rank });
  }
  return waiting.sort(compareWanted);
}

/** Urgent loads first, then by rank. */
function compareWanted(a: Wanted, b: Wanted): number {
  return Number(b.urgent) - Number(a.urgent) || a.rank - b.rank;
}

/** Whether short work waits, or long work that has waited long enough. */
function isPressing({ now, policies }: Turn, lanes: AdapterQueue): boolean {
  const [long] = lanes.long;
  if (lanes.short.length > 0 || long === undefined) return true;
  return now - long.queuedAt >= policies.longPatience;
}

function countEntries({ short, long }: AdapterQueue): number {
  return short.length + long.length;
}

function isBackingOff({ state, now }: Turn, adapter: AdapterKey): boolean {
  const backoff = state.backoffs.get(adapter);
  return backoff !== undefined && backoff.retryAt > now;
}

/** Follows since when requests have been waiting for a load to start. */
export function noteWaiting(
  { state, now }: Turn,
  wanted: readonly Wanted[],
): void {
  if (wanted[0]?.awaited !== true) state.loadWaitingSince = undefined;
  else state.loadWaitingSince ??= now;
}

/** Learns the time between loads from a load that starts. */
export function noteLoadStart({ state, now }: Turn): void {
  const { estimates, loadWaitingSince } = state;
  const interval = now - (loadWaitingSince ?? now);
  estimates.loadInterval = average(estimates.loadInterval, interval);
  state.loadWaitingSince = now;
}

/** Expected time until another load can start, in ms. */
export function estimateLoadStart(state: EngineState, now: Millis): number {
  const { estimates, loadWaitingSince, permits } = state;
  const slotWait = estimateSlotWait(state, now);
  if (loadWaitingSince === undefined && permits.granted > 0) return slotWait;
  const waited = now - (loadWaitingSince ?? now);
  return Math.max(slotWait, estimates.loadInterval - waited);
}

/** Time until a slot can be emptied after a change of owner, in ms. */
function estimateSlotWait(state: EngineState, now: Millis): number {
  if (state.slots.size < state.identity.limits.slots) return 0;
  return Math.max(0, (state.ownership?.settledAt ?? 0) - now);
}

/** Expected time until work of this rank has its adapter loaded, in ms. */
export function estimateLoadWait(
  turn: Turn,
  { adapter, rank }: { adapter: AdapterKey; rank: number },
): number {
  const { state, now } = turn;
  const slot = state.slots.get(adapter);
  if (slot?.phase === "loaded") return 0;
  if (slot?.phase === "loading") {
    return Math.max(0, slot.since + state.estimates.load - now);
  }
  const ahead = listWaiting(turn).filter(
    (wanted) => wanted.rank < rank && wanted.adapter !== adapter,
  );
  const retryAt = state.backoffs.get(adapter)?.retryAt ?? now;
  const turnWait = estimateTurn(turn, ahead.length);
  return Math.max(retryAt - now, turnWait) + state.estimates.load;
}

/** Expected time until the load starts that has `ahead` others before it, in ms. */
function estimateTurn({ state, now }: Turn, ahead: number): number {
  const waited = now - (state.loadWaitingSince ?? now);
  const interval = Math.max(state.estimates.loadInterval, waited);
  return estimateLoadStart(state, now) + ahead * interval;
}

/** Hands back work whose adapter will not be loaded before its deadline. */
export function giveUpLoads(turn: Turn): void {
  const { state, now } = turn;
  if (state.loadWaitingSince === undefined) {
    state.loadCheckAt = undefined;
    return;
  }
  state.loadCheckAt ??= millis(now + LOAD_CHECK_PERIOD);
  if (now < state.loadCheckAt) return;
  state.loadCheckAt = millis(now + LOAD_CHECK_PERIOD);
  listWaiting(turn).forEach(({ adapter }, ahead) => {
    const wait = estimateTurn(turn, ahead) + state.estimates.load;
    giveUpLate(turn, { adapter, wait });
  });
}

function giveUpLate(
  turn: Turn,
  { adapter, wait }: { adapter: AdapterKey; wait: number },
): void {
  const { state, now } = turn;
  const late = entriesOf(state.queue, adapter).filter(
    ({ work }) => work.deadlineAt <= now + wait,
  );
  if (late.length === 0) return;
  state.counters.loadGivenUp += late.length;
  const detail = "The load would end after the deadline";
  const retryAfter = millis(Math.ceil(wait));
  handBack(turn, late, refuse("loadFailed", detail, { retryAfter }));
}
