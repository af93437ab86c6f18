import { type Millis, millis } from "../clock.ts";
import type { AdapterKey, FencingNumber } from "../ids.ts";
import { refuse } from "../results/refusal.ts";
import {
  type EventContext,
  mayOrder,
  recordEvent,
  refuseQueued,
  updateAverage,
} from "./context.ts";
import { chooseSlotToEvict, listVictims } from "./eviction.ts";
import { markFenceAccepted } from "./fence.ts";
import {
  type LoadCandidate,
  listLoadCandidates,
  recordLoadStart,
  trackLoadWait,
} from "./load_demand.ts";
import { releasePermits, requestPermits } from "./permits.ts";
import { listEntries } from "./queue.ts";
import { requestReport } from "./reports.ts";
import type { EngineState } from "./state.ts";

/** Time after which a load counts as failed, in ms. */
export const LOAD_TIMEOUT = 10_000;

const LOAD_TIMEOUT_DETAIL = "The load did not finish in time";

/** Minimum and maximum delay before a failed load is retried, in ms. */
const MIN_BACKOFF = 500;
const MAX_BACKOFF = 30_000;

/** Maximum number of adapter versions with a backoff. */
const MAX_BACKOFFS = 256;

/** Delay before a failed eviction may be retried, in ms. */
const UNLOAD_RETRY_DELAY = 1_000;

/** Orders loads and evictions according to permits, slots and demand. */
export function startLoads(context: EventContext): void {
  const { state } = context;
  if (!mayLoad(context)) {
    releasePermits(context, state.permits.granted);
    state.loadWaitingSince = undefined;
    return;
  }
  const candidates = listLoadCandidates(context);
  trackLoadWait(context, candidates);
  let unloading = countUnloading(context);
  while (state.permits.granted > unloading) {
    const next = candidates.shift();
    if (next === undefined) break;
    if (countFreeSlots(context) > 0) {
      state.permits.granted--;
      orderLoad(context, next);
    } else if (evictFor(context, next)) {
      unloading++;
    }
  }
  const surplus = state.permits.granted - unloading;
  if (surplus > 0) releasePermits(context, surplus);
  requestPermits(context, {
    candidates,
    available: countAvailableSlots(context, candidates, unloading),
  });
}

/** Counts the slots that are free, or would be after evictions, beyond those for granted permits. */
function countAvailableSlots(
  context: EventContext,
  candidates: readonly LoadCandidate[],
  unloading: number,
): number {
  const free =
    countFreeSlots(context) + unloading - context.state.permits.granted;
  const [first] = candidates;
  if (first === undefined || free >= candidates.length) return free;
  return free + listVictims(context, first).length;
}

function mayLoad(context: EventContext): boolean {
  const { state } = context;
  return (
    mayOrder(context) &&
    state.reachability === "up" &&
    !state.leaving &&
    !state.draining
  );
}

function countUnloading({ state }: EventContext): number {
  let count = 0;
  for (const { phase } of state.slots.values()) {
    if (phase === "unloading") count++;
  }
  return count;
}

function countFreeSlots({ state }: EventContext): number {
  return state.identity.limits.slots - state.slots.size;
}

/** Evicts an adapter for a load; returns whether there was a victim. */
function evictFor(context: EventContext, { onDemand }: LoadCandidate): boolean {
  const { state } = context;
  const victim = chooseSlotToEvict(context, { onDemand });
  if (victim === undefined || state.ownership === undefined) return false;
  victim.phase = "unloading";
  victim.since = context.now;
  context.commands.push({
    type: "unload",
    adapter: victim.adapter,
    fence: state.ownership.fence,
    validUntil: state.ownership.orderUntil,
  });
  return true;
}

function orderLoad(
  context: EventContext,
  { adapter, onDemand }: LoadCandidate,
): void {
  const { state, now } = context;
  if (state.ownership === undefined) return;
  if (onDemand) recordLoadStart(context);
  state.slots.set(adapter, {
    adapter,
    phase: "loading",
    fence: state.ownership.fence,
    inherited: false,
    since: now,
    evictableAt: now,
    uses: { count: 0, at: now },
    running: 0,
    runningLong: 0,
  });
  context.commands.push({
    type: "load",
    adapter,
    fence: state.ownership.fence,
    validUntil: state.ownership.orderUntil,
  });
  recordEvent(context, "adapterLoadStarted", { adapter });
}

/** Marks an adapter as loaded. */
export function finishLoad(context: EventContext, adapter: AdapterKey): void {
  const { state, now, commands } = context;
  const slot = state.slots.get(adapter);
  state.backoffs.delete(adapter);
  markFenceAccepted(context, findLoadFence(state, adapter));
  if (slot?.phase !== "loading") return;
  commands.push({ type: "release-permit", used: true });
  state.estimates.load = updateAverage(state.estimates.load, now - slot.since);
  slot.phase = "loaded";
  slot.since = now;
  recordEvent(context, "adapterLoaded", { adapter });
}

/** Returns the fencing number of a finished load, which may be the one sent to establish the fence. */
function findLoadFence(
  { slots, fenceConfirmation, ownership }: EngineState,
  adapter: AdapterKey,
): FencingNumber | undefined {
  const slot = slots.get(adapter);
  if (slot?.phase === "loading") return slot.fence;
  const establishesFence =
    fenceConfirmation.kind === "sent" && fenceConfirmation.adapter === adapter;
  return establishesFence ? ownership?.fence : undefined;
}

/** Refuses the requests that waited for a failed load and delays the next attempt. */
export function failLoad(
  context: EventContext,
  { adapter, detail }: { adapter: AdapterKey; detail: string },
): void {
  const { state, commands } = context;
  const retryAt = scheduleLoadRetry(context, adapter);
  const establishesFence =
    state.fenceConfirmation.kind === "sent" &&
    state.fenceConfirmation.adapter === adapter;
  if (establishesFence) state.fenceConfirmation = { kind: "none" };
  if (state.slots.get(adapter)?.phase !== "loading") return;
  state.slots.delete(adapter);
  commands.push({ type: "release-permit", used: true });
  recordEvent(context, "adapterLoadFailed", { adapter, detail });
  const retryAfter = millis(retryAt - context.now);
  refuseQueued(
    context,
    listEntries(state.queue, adapter),
    refuse("loadFailed", detail, { retryAfter }),
  );
}

/** Sets the time of the next attempt after an exponential delay, half of which is jitter. */
function scheduleLoadRetry(
  { state, now, random }: EventContext,
  adapter: AdapterKey,
): Millis {
  const { backoffs, counters } = state;
  const failures = (backoffs.get(adapter)?.failures ?? 0) + 1;
  const delay = Math.min(MAX_BACKOFF, MIN_BACKOFF * 2 ** (failures - 1));
  const retryAt = millis(now + delay * (0.5 + random() / 2));
  backoffs.delete(adapter);
  if (backoffs.size >= MAX_BACKOFFS) {
    const [oldest] = backoffs.keys();
    if (oldest !== undefined) backoffs.delete(oldest);
    counters.backoffsDropped++;
  }
  backoffs.set(adapter, { failures, retryAt });
  return retryAt;
}

/** Frees the slot of an evicted adapter. */
export function finishUnload(context: EventContext, adapter: AdapterKey): void {
  if (context.state.slots.get(adapter)?.phase !== "unloading") return;
  context.state.slots.delete(adapter);
  recordEvent(context, "adapterUnloaded", { adapter });
}

/** Keeps an adapter whose eviction failed and requests a report of what the engine holds. */
export function failUnload(context: EventContext, adapter: AdapterKey): void {
  const slot = context.state.slots.get(adapter);
  if (slot?.phase !== "unloading") return;
  slot.phase = "loaded";
  slot.evictableAt = millis(context.now + UNLOAD_RETRY_DELAY);
  requestReport(context, { decisive: false });
}

/** Fails loads and evictions that were not answered within `LOAD_TIMEOUT`. */
export function expireOrders(context: EventContext): void {
  for (const slot of [...context.state.slots.values()]) {
    if (slot.phase === "loaded") continue;
    if (context.now < slot.since + LOAD_TIMEOUT) continue;
    if (slot.phase === "unloading") failUnload(context, slot.adapter);
    else
      failLoad(context, { adapter: slot.adapter, detail: LOAD_TIMEOUT_DETAIL });
    requestReport(context, { decisive: false });
  }
}
