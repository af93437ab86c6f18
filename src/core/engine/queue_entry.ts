import type { QueueEntry } from "./queue.ts";
import type { RunningStream } from "./state.ts";

/** Entry of a stream that goes back into the queue. */
export function toQueueEntry(running: RunningStream): QueueEntry {
  const { work, rank, long, queuedAt, requeued, preemptions, delivered } =
    running;
  return { work, rank, long, queuedAt, requeued, preemptions, delivered };
}
