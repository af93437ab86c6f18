import { type Millis, millis } from "../clock.ts";
import type { ServerId } from "../ids.ts";
import type { Incarnation } from "./servers.ts";

/** How it was learnt that an incarnation of a server ran at a time. */
export type SightingSource = "report" | "registration" | "answer";

/** When the incarnation that was heard of last is known to have run. */
export type Sighting = {
  readonly born: number;
  /** Time at which it was first heard of. */
  readonly seenAt: Millis;
  /** Latest time at which it is known to have run. */
  readonly aliveAt: Millis;
  readonly source: SightingSource;
};

/** What a node knows of when servers ran; an incarnation without a stated start is not known. */
export type Sightings = Map<ServerId, Sighting>;

/**
 * Time that the store may take to apply a registration, in ms: its server may
 * have ended and started again meanwhile.
 */
export const registrationDelay = 1_000;

/** Records that an incarnation ran at a time; older news of it changes nothing. */
export function recordSighting(
  sightings: Sightings,
  { id, ...news }: Sighting & { readonly id: ServerId },
): void {
  const known = sightings.get(id);
  if (known?.born !== news.born) sightings.set(id, news);
  else if (known.aliveAt < news.aliveAt)
    sightings.set(id, { ...news, seenAt: known.seenAt });
}

/** Lower bound of the time at which a server wrote a registration that is read now. */
export function findRegistrationTime(now: Millis, maxAge: number): Millis {
  return millis(now - maxAge - registrationDelay);
}

/**
 * How it is known that a connection which was opened at a time leads to an
 * incarnation; undefined if a later one may have answered on it. An incarnation
 * that was known when the request was written is not older than the process
 * that answers; one that ran after the connection was opened is not newer.
 */
export function findProof(
  sightings: Sightings,
  { id, born }: Incarnation,
  openedAt: Millis,
): SightingSource | undefined {
  const known = sightings.get(id);
  if (known === undefined || known.born !== born) return undefined;
  return known.aliveAt >= openedAt ? known.source : undefined;
}
