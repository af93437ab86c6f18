import type { QueueEntry } from "./queue.ts";
import type { Running } from "./state.ts";

/** Entry of a stream that goes back into the queue. */
export function toEntry(running: Running): QueueEntry {
  const { work, rank, long, queuedAt, requeued, preemptions, delivered } =
    running;
  return { work, rank, long, queuedAt, requeued, preemptions, delivered };
}
