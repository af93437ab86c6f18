import { type Millis, millis } from "../clock.ts";
import type { AdapterKey, RequestId } from "../ids.ts";
import type { WorkItem } from "./work_item.ts";

/** Queued work with the rank that the policies assigned on arrival. */
export type QueueEntry = {
  readonly work: WorkItem;
  /** Lower ranks run first. The rank is fixed on arrival, so that newer work cannot overtake indefinitely. */
  readonly rank: number;
  readonly long: boolean;
  readonly queuedAt: Millis;
  /** Number of times that the work was requeued because the engine did not run it. */
  readonly requeued: number;
  /** Number of times that the work was preempted. */
  readonly preemptions: number;
  /** Stream events delivered before the last preemption. */
  readonly delivered: number;
};

/** Waiting work of one adapter version, lowest rank first. */
export type AdapterQueue = {
  readonly short: QueueEntry[];
  readonly long: QueueEntry[];
};

/** Queue of one engine, indexed by request and by adapter version. */
export type WorkQueue = {
  readonly byId: Map<RequestId, QueueEntry>;
  readonly byAdapter: Map<AdapterKey, AdapterQueue>;
  /** Lower bound of the deadlines in the queue. */
  earliestDeadline: Millis;
  shortCount: number;
  /** Queued requests that must run alone. */
  readonly isolated: Set<RequestId>;
};

const NEVER = millis(Number.POSITIVE_INFINITY);

/** Creates an empty queue. */
export function createQueue(): WorkQueue {
  return {
    byId: new Map(),
    byAdapter: new Map(),
    earliestDeadline: NEVER,
    shortCount: 0,
    isolated: new Set(),
  };
}

/** Returns the index of the first entry with a higher rank. */
function findPosition(entries: readonly QueueEntry[], rank: number): number {
  let low = 0;
  let high = entries.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((entries[middle] as QueueEntry).rank <= rank) low = middle + 1;
    else high = middle;
  }
  return low;
}

/** Adds an entry after all entries of the same rank. */
export function enqueue(queue: WorkQueue, entry: QueueEntry): void {
  const { adapter, requestId, deadlineAt } = entry.work;
  let adapterQueue = queue.byAdapter.get(adapter);
  if (adapterQueue === undefined) {
    adapterQueue = { short: [], long: [] };
    queue.byAdapter.set(adapter, adapterQueue);
  }
  const entries = entry.long ? adapterQueue.long : adapterQueue.short;
  entries.splice(findPosition(entries, entry.rank), 0, entry);
  queue.byId.set(requestId, entry);
  if (!entry.long) queue.shortCount++;
  if (entry.work.isolated) queue.isolated.add(requestId);
  if (deadlineAt < queue.earliestDeadline) queue.earliestDeadline = deadlineAt;
}

/** Removes an entry; returns undefined when it is not queued. */
export function dequeue(
  queue: WorkQueue,
  requestId: RequestId,
): QueueEntry | undefined {
  const entry = queue.byId.get(requestId);
  if (entry === undefined) return undefined;
  queue.byId.delete(requestId);
  queue.isolated.delete(requestId);
  const adapterQueue = queue.byAdapter.get(entry.work.adapter) as AdapterQueue;
  const entries = entry.long ? adapterQueue.long : adapterQueue.short;
  const from = Math.min(findPosition(entries, entry.rank), entries.length) - 1;
  entries.splice(entries.lastIndexOf(entry, from), 1);
  if (!entry.long) queue.shortCount--;
  if (adapterQueue.short.length + adapterQueue.long.length === 0) {
    queue.byAdapter.delete(entry.work.adapter);
  }
  return entry;
}

/** Returns the entry of an adapter version with the lowest rank. */
export function firstEntry(
  queue: WorkQueue,
  adapter: AdapterKey,
): QueueEntry | undefined {
  const adapterQueue = queue.byAdapter.get(adapter);
  if (adapterQueue === undefined) return undefined;
  const [short] = adapterQueue.short;
  const [long] = adapterQueue.long;
  if (short === undefined || long === undefined) return short ?? long;
  return short.rank <= long.rank ? short : long;
}

/** Lists the queued entries of an adapter version, short ones first. */
export function listEntries(
  queue: WorkQueue,
  adapter: AdapterKey,
): readonly QueueEntry[] {
  const adapterQueue = queue.byAdapter.get(adapter);
  return adapterQueue === undefined
    ? []
    : [...adapterQueue.short, ...adapterQueue.long];
}

/** Removes all entries whose deadline has passed. */
export function dequeueExpired(queue: WorkQueue, now: Millis): QueueEntry[] {
  if (now < queue.earliestDeadline) return [];
  const expired: QueueEntry[] = [];
  let earliest: Millis = NEVER;
  for (const entry of queue.byId.values()) {
    if (entry.work.deadlineAt <= now) expired.push(entry);
    else if (entry.work.deadlineAt < earliest) earliest = entry.work.deadlineAt;
  }
  for (const entry of expired) dequeue(queue, entry.work.requestId);
  queue.earliestDeadline = earliest;
  return expired;
}
