import type { Millis } from "../clock.ts";
import type { EngineId } from "../ids.ts";

/** Starts and ends of the requests that this node sent, by engine; updated in place. */
export type SentRequestLog = Map<EngineId, SentEntry[]>;

type SentEntry = { readonly at: Millis; readonly change: 1 | -1 };

/** Time for which entries are kept, in ms; older views are stale anyway. */
const retention = 2000;

/** Records that a request was sent to an engine (`1`) or ended there (`-1`). */
export function recordSent(
  log: SentRequestLog,
  options: { engine: EngineId; now: Millis; change: 1 | -1 },
): void {
  const { engine, now, change } = options;
  const kept = (log.get(engine) ?? []).filter(
    (entry) => entry.at > now - retention,
  );
  kept.push({ at: now, change });
  log.set(engine, kept);
}

/** Requests sent to an engine minus those that ended there, since a view was received. */
export function countSentSince(
  log: SentRequestLog,
  options: { engine: EngineId; since: Millis },
): number {
  return (log.get(options.engine) ?? [])
    .filter((entry) => entry.at >= options.since)
    .reduce((sum, entry) => sum + entry.change, 0);
}
