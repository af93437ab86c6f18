import { dequeue, type QueueEntry } from "./queue.ts";
import { countLongSlots, describeBatch, useSlot } from "./slots.ts";
import type { Slot } from "./state.ts";
import { mayDispatch, record, type Turn } from "./turn.ts";

/** Waiting time after which a request that must run alone empties the batch, in ms. */
const ISOLATION_PATIENCE = 1_000;

/** Sends queued work to the engine while batch places and loaded adapters allow it. */
export function dispatchWork(turn: Turn): void {
  if (!mayDispatch(turn)) return;
  while (countFreePlaces(turn) > 0) {
    const entry = chooseEntry(turn);
    if (entry === undefined) return;
    dispatchEntry(turn, entry);
  }
}

/** Batch places that neither own nor foreign requests occupy. */
export function countFreePlaces({ state }: Turn): number {
  return (
    state.identity.limits.batch - state.running.size - state.foreignRunning
  );
}

function chooseEntry(turn: Turn): QueueEntry | undefined {
  const { state } = turn;
  if (state.queue.byId.size === 0) return undefined;
  if ([...state.running.values()].some(({ work }) => work.isolated)) {
    return undefined;
  }
  const isolated = findIsolated(turn);
  if (isolated !== undefined) {
    if (state.running.size + state.foreignRunning === 0) return isolated;
    if (turn.now - isolated.work.arrivedAt >= ISOLATION_PATIENCE) {
      return undefined;
    }
  }
  return findShared(turn);
}

/** First entry that must run alone and whose adapter is loaded. */
function findIsolated({ state }: Turn): QueueEntry | undefined {
  let first: QueueEntry | undefined;
  for (const requestId of state.queue.isolated) {
    const entry = state.queue.byId.get(requestId) as QueueEntry;
    const slot = state.slots.get(entry.work.adapter);
    if (slot?.phase !== "loaded") continue;
    if (first === undefined || entry.rank < first.rank) first = entry;
  }
  return first;
}

/** First entry of the loaded adapters that may share the batch. */
function findShared(turn: Turn): QueueEntry | undefined {
  const { state } = turn;
  const mayRunLong = createLongLimit(turn);
  let first: QueueEntry | undefined;
  for (const slot of state.slots.values()) {
    if (slot.phase !== "loaded") continue;
    const lanes = state.queue.byAdapter.get(slot.adapter);
    if (lanes === undefined) continue;
    const short = lanes.short.find(isShared);
    if (isEarlier(short, first)) first = short;
    const long = lanes.long.find(isShared);
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

/** Limits of long work: a share of the places, a share of the slots, and ageing. */
function createLongLimit(
  turn: Turn,
): (slot: Slot, entry: QueueEntry) => boolean {
  const { state, policies, now } = turn;
  const placesLeft =
    state.runningLong < policies.longPlaces(describeBatch(state));
  const slotsLeft =
    countLongSlots(state) < policies.longSlots(state.identity.limits.slots);
  return (slot, { queuedAt }) => {
    if (placesLeft && (slotsLeft || slot.runningLong > 0)) return true;
    return now - queuedAt >= policies.longPatience;
  };
}

function dispatchEntry(turn: Turn, entry: QueueEntry): void {
  const { state, now } = turn;
  const { work } = entry;
  const ownership = state.ownership;
  if (ownership === undefined) return;
  dequeue(state.queue, work.requestId);
  state.running.set(work.requestId, {
    ...entry,
    dispatchedAt: now,
    firstTokenAt: undefined,
    lastProgressAt: now,
    tokens: entry.delivered,
    broken: false,
    preempting: false,
  });
  if (entry.long) state.runningLong++;
  const slot = state.slots.get(work.adapter);
  if (slot !== undefined) useSlot(slot, { long: entry.long, now });
  turn.commands.push({
    type: "dispatch",
    work,
    fence: ownership.fence,
    validUntil: ownership.dispatchUntil,
  });
  record(turn, "requestDispatched", {
    requestId: work.requestId,
    adapter: work.adapter,
  });
}
