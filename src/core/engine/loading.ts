import { type Millis, millis } from "../clock.ts";
import type { AdapterKey } from "../ids.ts";
import { refuse } from "../results/refusal.ts";
import { acceptAnnouncement } from "./fence.ts";
import { entriesOf, firstEntry, type QueueEntry } from "./queue.ts";
import { askForReport } from "./reporting.ts";
import type { EngineState } from "./state.ts";
import { average, handBack, mayOrder, record, type Turn } from "./turn.ts";
import { chooseSlotToEvict, listVictims } from "./victims.ts";

/** Time after which a load counts as failed, in ms. */
export const LOAD_DEADLINE = 10_000;

const LATE_LOAD = "The load did not end in time";

/** First and longest delay before a failed load is tried again, in ms. */
const BACKOFF_BASE = 500;
const BACKOFF_LIMIT = 30_000;

/** Adapter versions whose failed loads are remembered. */
const BACKOFF_CAPACITY = 256;

/** Time after which an eviction that failed may be tried again, in ms. */
const UNLOAD_RETRY_DELAY = 1_000;

/** An adapter version that should be loaded, and whether requests wait for it. */
type Wanted = { readonly adapter: AdapterKey; readonly urgent: boolean };

/** Orders loads and evictions as permits, slots and demand allow. */
export function startLoads(turn: Turn): void {
  const { state } = turn;
  if (!mayLoad(turn)) {
    releasePermits(turn, state.permits.granted);
    return;
  }
  const wanted = listWanted(turn);
  let unloading = countUnloading(turn);
  while (state.permits.granted > unloading) {
    const next = wanted.shift();
    if (next === undefined) break;
    if (countFreeSlots(turn) > 0) {
      state.permits.granted--;
      orderLoad(turn, next.adapter);
    } else if (evictFor(turn, next)) {
      unloading++;
    }
  }
  const surplus = state.permits.granted - unloading;
  if (surplus > 0) releasePermits(turn, surplus);
  requestPermits(turn, wanted, unloading);
}

function mayLoad(turn: Turn): boolean {
  const { state } = turn;
  return (
    mayOrder(turn) &&
    state.contact === "up" &&
    !state.leaving &&
    !state.draining
  );
}

function countUnloading({ state }: Turn): number {
  let count = 0;
  for (const { phase } of state.slots.values()) {
    if (phase === "unloading") count++;
  }
  return count;
}

function countFreeSlots({ state }: Turn): number {
  return state.identity.limits.slots - state.slots.size;
}

/** Adapter versions to load: those with waiting requests first, then placement. */
function listWanted(turn: Turn): Wanted[] {
  const { state } = turn;
  const waiting: QueueEntry[] = [];
  for (const adapter of state.queue.byAdapter.keys()) {
    if (state.slots.has(adapter) || isBackingOff(turn, adapter)) continue;
    waiting.push(firstEntry(state.queue, adapter) as QueueEntry);
  }
  if (waiting.length > 0) {
    return waiting
      .sort((a, b) => a.rank - b.rank)
      .map(({ work }) => ({ adapter: work.adapter, urgent: true }));
  }
  const prefetch = state.placement.find(
    (adapter) => !state.slots.has(adapter) && !isBackingOff(turn, adapter),
  );
  return prefetch === undefined ? [] : [{ adapter: prefetch, urgent: false }];
}

function isBackingOff({ state, now }: Turn, adapter: AdapterKey): boolean {
  const backoff = state.backoffs.get(adapter);
  return backoff !== undefined && backoff.retryAt > now;
}

/** Starts an eviction that makes room; returns whether there was a victim. */
function evictFor(turn: Turn, { urgent }: Wanted): boolean {
  const { state } = turn;
  const victim = chooseSlotToEvict(turn, { urgent });
  if (victim === undefined || state.ownership === undefined) return false;
  victim.phase = "unloading";
  victim.since = turn.now;
  turn.commands.push({
    type: "unload",
    adapter: victim.adapter,
    fence: state.ownership.fence,
    validUntil: state.ownership.orderUntil,
  });
  return true;
}

function orderLoad(turn: Turn, adapter: AdapterKey): void {
  const { state, now } = turn;
  if (state.ownership === undefined) return;
  state.slots.set(adapter, {
    adapter,
    phase: "loading",
    inherited: false,
    since: now,
    evictableAt: now,
    lastUsedAt: now,
    uses: 0,
    running: 0,
  });
  turn.commands.push({
    type: "load",
    adapter,
    fence: state.ownership.fence,
    validUntil: state.ownership.orderUntil,
  });
  record(turn, "adapterLoadStarted", { adapter });
}

function releasePermits({ state, commands }: Turn, count: number): void {
  for (let released = 0; released < count; released++) {
    state.permits.granted--;
    commands.push({ type: "release-permit", used: false });
  }
}

/** Asks for as many permits as there are loads that a slot could take. */
function requestPermits(
  turn: Turn,
  wanted: readonly Wanted[],
  unloading: number,
): void {
  const { permits } = turn.state;
  const urgent = wanted.length > 0 && (wanted[0] as Wanted).urgent;
  let room = countFreeSlots(turn) + unloading - permits.granted;
  if (room < wanted.length) {
    room += listVictims(turn, { urgent }).length;
  }
  const needed = Math.min(room, wanted.length);
  const pending = urgent ? permits.urgent : permits.urgent + permits.prefetch;
  for (let count = pending; count < needed; count++) {
    if (permits.urgent + permits.prefetch === 0) permits.requestedAt = turn.now;
    if (urgent) permits.urgent++;
    else permits.prefetch++;
    turn.commands.push({ type: "request-permit", urgent });
  }
}

/** Takes a permit; `startLoads` uses or returns it. */
export function grantPermit({ state, now }: Turn): void {
  const { permits, estimates } = state;
  permits.granted++;
  if (permits.urgent > 0) permits.urgent--;
  else if (permits.prefetch > 0) permits.prefetch--;
  const waited = now - permits.requestedAt;
  estimates.permitWait = average(estimates.permitWait, waited);
  permits.requestedAt = now;
}

/** Marks an adapter as loaded. */
export function finishLoad(turn: Turn, adapter: AdapterKey): void {
  const { state, now, commands } = turn;
  const slot = state.slots.get(adapter);
  state.backoffs.delete(adapter);
  acceptAnnouncement(turn);
  if (slot?.phase !== "loading") return;
  commands.push({ type: "release-permit", used: true });
  state.estimates.load = average(state.estimates.load, now - slot.since);
  slot.phase = "loaded";
  slot.since = now;
  record(turn, "adapterLoaded", { adapter });
}

/** Hands back what waited for a failed load and delays the next attempt. */
export function failLoad(
  turn: Turn,
  { adapter, detail }: { adapter: AdapterKey; detail: string },
): void {
  const { state, commands } = turn;
  const retryAt = delayLoad(turn, adapter);
  const announced =
    state.announcement.kind === "sent" &&
    state.announcement.adapter === adapter;
  if (announced) state.announcement = { kind: "none" };
  if (state.slots.get(adapter)?.phase !== "loading") return;
  state.slots.delete(adapter);
  commands.push({ type: "release-permit", used: true });
  record(turn, "adapterLoadFailed", { adapter, detail });
  const retryAfter = millis(retryAt - turn.now);
  handBack(
    turn,
    entriesOf(state.queue, adapter),
    refuse("loadFailed", detail, { retryAfter }),
  );
}

/** Sets the time of the next attempt: exponential, with half of it jitter. */
function delayLoad({ state, now, random }: Turn, adapter: AdapterKey): Millis {
  const { backoffs, counters } = state;
  const failures = (backoffs.get(adapter)?.failures ?? 0) + 1;
  const delay = Math.min(BACKOFF_LIMIT, BACKOFF_BASE * 2 ** (failures - 1));
  const retryAt = millis(now + delay * (0.5 + random() / 2));
  backoffs.delete(adapter);
  if (backoffs.size >= BACKOFF_CAPACITY) {
    const [oldest] = backoffs.keys();
    if (oldest !== undefined) backoffs.delete(oldest);
    counters.backoffsDropped++;
  }
  backoffs.set(adapter, { failures, retryAt });
  return retryAt;
}

/** Frees the slot of an evicted adapter. */
export function finishUnload(turn: Turn, adapter: AdapterKey): void {
  if (turn.state.slots.get(adapter)?.phase !== "unloading") return;
  turn.state.slots.delete(adapter);
  record(turn, "adapterUnloaded", { adapter });
}

/** Keeps an adapter whose eviction failed and checks what the engine holds. */
export function failUnload(turn: Turn, adapter: AdapterKey): void {
  const slot = turn.state.slots.get(adapter);
  if (slot?.phase !== "unloading") return;
  slot.phase = "loaded";
  slot.evictableAt = millis(turn.now + UNLOAD_RETRY_DELAY);
  askForReport(turn, { decisive: false });
}

/** Fails orders whose answer did not come within `LOAD_DEADLINE`. */
export function expireOrders(turn: Turn): void {
  for (const slot of [...turn.state.slots.values()]) {
    if (slot.phase === "loaded") continue;
    if (turn.now < slot.since + LOAD_DEADLINE) continue;
    if (slot.phase === "unloading") failUnload(turn, slot.adapter);
    else failLoad(turn, { adapter: slot.adapter, detail: LATE_LOAD });
    askForReport(turn, { decisive: false });
  }
}

/** Hands back work whose adapter will not be loaded before its deadline. */
export function giveUpLoads(turn: Turn): void {
  const { state, now } = turn;
  for (const adapter of [...state.queue.byAdapter.keys()]) {
    if (state.slots.get(adapter)?.phase === "loaded") continue;
    const wait = estimateLoadWait(turn, adapter);
    const late = entriesOf(state.queue, adapter).filter(
      ({ work }) => work.deadlineAt <= now + wait,
    );
    if (late.length === 0) continue;
    state.counters.loadGivenUp += late.length;
    const detail = "The load would end after the deadline";
    const retryAfter = millis(Math.ceil(wait));
    handBack(turn, late, refuse("loadFailed", detail, { retryAfter }));
  }
}

/** Expected time until an adapter is loaded, in ms. */
export function estimateLoadWait(
  { state, now }: Turn,
  adapter: AdapterKey,
): number {
  const { estimates } = state;
  const slot = state.slots.get(adapter);
  if (slot?.phase === "loaded") return 0;
  if (slot?.phase === "loading") {
    return Math.max(0, slot.since + estimates.load - now);
  }
  const retryAt = state.backoffs.get(adapter)?.retryAt ?? now;
  const backoff = Math.max(0, retryAt - now);
  return Math.max(backoff, estimatePermitWait(state, now)) + estimates.load;
}

/** Expected time until the next permit is granted, in ms. */
export function estimatePermitWait(state: EngineState, now: Millis): number {
  const { granted, urgent, requestedAt } = state.permits;
  if (granted > 0) return 0;
  const waited = urgent > 0 ? now - requestedAt : 0;
  return Math.max(0, state.estimates.permitWait, waited);
}
