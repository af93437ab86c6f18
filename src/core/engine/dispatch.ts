import { type EventContext, mayDispatch, recordEvent } from "./context.ts";
import { dequeue, type QueueEntry } from "./queue.ts";
import { countLongSlots, getBatchUsage, recordSlotUse } from "./slots.ts";
import type { Slot } from "./state.ts";

/** Time in ms after which a waiting request that must run alone stops further dispatches, so that the batch empties. */
const ISOLATION_MAX_WAIT = 1_000;

/** Dispatches queued work while the batch has free capacity and the adapters are loaded. */
export function dispatchWork(context: EventContext): void {
  if (!mayDispatch(context)) return;
  while (countFreeBatchCapacity(context) > 0) {
    const entry = chooseEntry(context);
    if (entry === undefined) return;
    dispatchEntry(context, entry);
  }
}

/** Returns the batch capacity that requests of neither this owner nor earlier ones use. */
export function countFreeBatchCapacity({ state }: EventContext): number {
  return (
    state.identity.limits.batch - state.running.size - state.inheritedRunning
  );
}

function chooseEntry(context: EventContext): QueueEntry | undefined {
  const { state } = context;
  if (state.queue.byId.size === 0) return undefined;
  if ([...state.running.values()].some(({ work }) => work.isolated)) {
    return undefined;
  }
  const isolated = findIsolated(context);
  if (isolated !== undefined) {
    if (state.running.size + state.inheritedRunning === 0) return isolated;
    if (context.now - isolated.work.arrivedAt >= ISOLATION_MAX_WAIT) {
      return undefined;
    }
  }
  return findShared(context);
}

/** Finds the first entry that must run alone and whose adapter is loaded. */
function findIsolated({ state }: EventContext): QueueEntry | undefined {
  let first: QueueEntry | undefined;
  for (const requestId of state.queue.isolated) {
    const entry = state.queue.byId.get(requestId) as QueueEntry;
    const slot = state.slots.get(entry.work.adapter);
    if (slot?.phase !== "loaded") continue;
    if (first === undefined || entry.rank < first.rank) first = entry;
  }
  return first;
}

/** Finds the first entry with a loaded adapter that may share the batch. */
function findShared(context: EventContext): QueueEntry | undefined {
  const { state } = context;
  const mayRunLong = createLongLimit(context);
  let first: QueueEntry | undefined;
  for (const slot of state.slots.values()) {
    if (slot.phase !== "loaded") continue;
    const adapterQueue = state.queue.byAdapter.get(slot.adapter);
    if (adapterQueue === undefined) continue;
    const short = adapterQueue.short.find(isShared);
    if (isEarlier(short, first)) first = short;
    const long = adapterQueue.long.find(isShared);
    if (isEarlier(long, first) && mayRunLong(slot, long)) first = long;
  }
  return first;
}

function isShared({ work }: QueueEntry): boolean {
  return !work.isolated;
}

function isEarlier(
  entry: QueueEntry | undefined,
  other: QueueEntry | undefined,
): entry is QueueEntry {
  return (
    entry !== undefined && (other === undefined || entry.rank < other.rank)
  );
}

/** Limits long work to a share of the batch and of the slots, until it has waited for `maxLongDelay`. */
function createLongLimit(
  context: EventContext,
): (slot: Slot, entry: QueueEntry) => boolean {
  const { state, policies, now } = context;
  const batchLeft =
    state.runningLong < policies.maxLongBatch(getBatchUsage(state));
  const slotsLeft =
    countLongSlots(state) < policies.maxLongSlots(state.identity.limits.slots);
  return (slot, { queuedAt }) => {
    if (batchLeft && (slotsLeft || slot.runningLong > 0)) return true;
    return now - queuedAt >= policies.maxLongDelay;
  };
}

function dispatchEntry(context: EventContext, entry: QueueEntry): void {
  const { state, now } = context;
  const { work } = entry;
  const ownership = state.ownership;
  if (ownership === undefined) return;
  dequeue(state.queue, work.requestId);
  state.running.set(work.requestId, {
    ...entry,
    dispatchedAt: now,
    fence: ownership.fence,
    firstTokenAt: undefined,
    lastProgressAt: now,
    tokens: entry.delivered,
    broken: false,
    preempting: false,
  });
  if (entry.long) state.runningLong++;
  const slot = state.slots.get(work.adapter);
  if (slot !== undefined) recordSlotUse(slot, { long: entry.long, now });
  context.commands.push({
    type: "dispatch",
    work,
    fence: ownership.fence,
    validUntil: ownership.dispatchUntil,
  });
  recordEvent(context, "requestDispatched", {
    requestId: work.requestId,
    adapter: work.adapter,
  });
}
