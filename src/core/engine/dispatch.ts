import { dequeue, type QueueEntry } from "./queue.ts";
import { useSlot } from "./slots.ts";
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
function countFreePlaces({ state }: Turn): number {
  return (
    state.identity.limits.batch - state.running.size - state.foreignRunning
  );
}

function chooseEntry(turn: Turn): QueueEntry | undefined {
  const { state } = turn;
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
  const longAllowed = state.runningLong < countLongPlaces(turn);
  let first: QueueEntry | undefined;
  for (const slot of state.slots.values()) {
    if (slot.phase !== "loaded") continue;
    const lanes = state.queue.byAdapter.get(slot.adapter);
    if (lanes === undefined) continue;
    for (const lane of [lanes.short, longAllowed ? lanes.long : []]) {
      const entry = lane.find(({ work }) => !work.isolated);
      if (entry === undefined) continue;
      if (first === undefined || entry.rank < first.rank) first = entry;
    }
  }
  return first;
}

function countLongPlaces({ state, policies }: Turn): number {
  let shortWaiting = 0;
  for (const { adapter, phase } of state.slots.values()) {
    if (phase !== "loaded") continue;
    shortWaiting += state.queue.byAdapter.get(adapter)?.short.length ?? 0;
  }
  return policies.longPlaces({
    batch: state.identity.limits.batch,
    shortWaiting,
    shortRunning: state.running.size - state.runningLong,
  });
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
    tokens: 0,
    broken: false,
  });
  if (entry.long) state.runningLong++;
  const slot = state.slots.get(work.adapter);
  if (slot !== undefined) useSlot(slot, now);
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
