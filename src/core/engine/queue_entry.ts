import type { QueueEntry } from "./queue.ts";
import type { RunningStream } from "./state.ts";

/** Creates the queue entry of a stream that is requeued. */
export function toQueueEntry(running: RunningStream): QueueEntry {
  const { work, rank, long, queuedAt, requeued, preemptions, delivered } =
    running;
  return { work, rank, long, queuedAt, requeued, preemptions, delivered };
}
