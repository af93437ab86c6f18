import { type Millis, millis } from "../clock.ts";
import type { AdapterKey } from "../ids.ts";
import { refuse } from "../results/refusal.ts";
import { acceptAnnouncement } from "./fence.ts";
import {
  listWanted,
  noteLoadStart,
  noteWaiting,
  type Wanted,
} from "./load_demand.ts";
import { releasePermits, requestPermits } from "./permits.ts";
import { entriesOf } from "./queue.ts";
import { askForReport } from "./reporting.ts";
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

/** Orders loads and evictions as permits, slots and demand allow. */
export function startLoads(turn: Turn): void {
  const { state } = turn;
  if (!mayLoad(turn)) {
    releasePermits(turn, state.permits.granted);
    state.loadWaitingSince = undefined;
    return;
  }
  const wanted = listWanted(turn);
  noteWaiting(turn, wanted);
  let unloading = countUnloading(turn);
  while (state.permits.granted > unloading) {
    const next = wanted.shift();
    if (next === undefined) break;
    if (countFreeSlots(turn) > 0) {
      state.permits.granted--;
      orderLoad(turn, next);
    } else if (evictFor(turn, next)) {
      unloading++;
    }
  }
  const surplus = state.permits.granted - unloading;
  if (surplus > 0) releasePermits(turn, surplus);
  requestPermits(turn, { wanted, room: countRoom(turn, wanted, unloading) });
}

/** Number of slots that are free now or after an eviction. */
function countRoom(
  turn: Turn,
  wanted: readonly Wanted[],
  unloading: number,
): number {
  const free = countFreeSlots(turn) + unloading - turn.state.permits.granted;
  const [first] = wanted;
  if (first === undefined || free >= wanted.length) return free;
  return free + listVictims(turn, first).length;
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

/** Starts an eviction that makes room; returns whether there was a victim. */
function evictFor(turn: Turn, { awaited }: Wanted): boolean {
  const { state } = turn;
  const victim = chooseSlotToEvict(turn, { awaited });
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

function orderLoad(turn: Turn, { adapter, awaited }: Wanted): void {
  const { state, now } = turn;
  if (state.ownership === undefined) return;
  if (awaited) noteLoadStart(turn);
  state.slots.set(adapter, {
    adapter,
    phase: "loading",
    inherited: false,
    since: now,
    evictableAt: now,
    uses: { count: 0, at: now },
    running: 0,
    runningLong: 0,
  });
  turn.commands.push({
    type: "load",
    adapter,
    fence: state.ownership.fence,
    validUntil: state.ownership.orderUntil,
  });
  record(turn, "adapterLoadStarted", { adapter });
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
