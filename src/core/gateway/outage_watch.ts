import { type Millis, millis } from "../clock.ts";

/**
 * Outages of the table service as one node sees them; owned by one task and
 * updated in place. A failed call alone is no outage: the other nodes may have
 * had answers meanwhile, and the servers may have renewed their registrations.
 */
export type OutageWatch = {
  /** Shortest time without an answer in which a registration can expire. */
  readonly minOutage: Millis;
  /** Latest known answer to this node or to one that it hears from. */
  answeredAt: Millis | undefined;
  /** End of the latest outage; negative infinity if there was none. */
  endedAt: Millis;
};

/** Creates the state of a node that has had no answer yet. */
export function createOutageWatch(minOutage: Millis): OutageWatch {
  return {
    minOutage,
    answeredAt: undefined,
    endedAt: millis(Number.NEGATIVE_INFINITY),
  };
}

/**
 * Records that the table service came back from a copy: registrations from
 * after the copy are missing until the servers have registered again.
 */
export function recordTableRestore(watch: OutageWatch, at: Millis): void {
  watch.endedAt = millis(Math.max(watch.endedAt, at));
}

/** Records an answer of the table service to any node; an older one than known changes nothing. */
export function recordTableAnswer(watch: OutageWatch, at: Millis): void {
  const { answeredAt, minOutage } = watch;
  if (answeredAt !== undefined) {
    if (at <= answeredAt) return;
    if (at >= answeredAt + minOutage) watch.endedAt = at;
  }
  watch.answeredAt = at;
}
