import { type Millis, millis } from "../clock.ts";
import type { ServerId } from "../ids.ts";
import type { Incarnation } from "./servers.ts";

/** What one node knows of the limit of a server. */
type KnownLimit = {
  readonly born: number | undefined;
  /** Requests per second from all nodes together; undefined once the server has ended its limit. */
  rate: number | undefined;
  /** Time at which a node heard this from the server. */
  heardAt: Millis;
  /** Time before which this node gets no permit. */
  deniedUntil: Millis;
};

/** Limits that servers named; each holds for one incarnation. */
export type ServerLimits = Map<ServerId, KnownLimit>;

/** A limit as a node heard it. */
export type HeardLimit = {
  /** Requests per second; undefined if the server names none. */
  readonly rate: number | undefined;
  readonly heardAt: Millis;
};

/** Creates the state of a node that has heard of no limit. */
export function createServerLimits(): ServerLimits {
  return new Map();
}

/**
 * Records the limit of a server, or its end; older news than the known one is
 * ignored. Returns whether this changed what the node keeps to.
 */
export function recordLimit(
  limits: ServerLimits,
  { id, born }: Incarnation,
  { rate, heardAt }: HeardLimit,
): boolean {
  const known = limits.get(id);
  const isSame = known?.born === born;
  if (known !== undefined && !isSame && (known.born ?? 0) > (born ?? 0))
    return false;
  const current = isSame ? known : undefined;
  if (current !== undefined && heardAt < current.heardAt) return false;
  if (current === undefined && rate === undefined) return false;
  const deniedUntil = current?.deniedUntil ?? millis(Number.NEGATIVE_INFINITY);
  limits.set(id, { born, rate, heardAt, deniedUntil });
  return current?.rate !== rate;
}

/** The limit that a server keeps now; undefined without one. */
export function findLimit(
  limits: ServerLimits,
  server: Incarnation,
): { readonly rate: number; readonly heardAt: Millis } | undefined {
  const known = findKnown(limits, server);
  if (known?.rate === undefined) return undefined;
  return { rate: known.rate, heardAt: known.heardAt };
}

/** What was last heard of the limit of a server, its end included. */
export function findHeardLimit(
  limits: ServerLimits,
  server: Incarnation,
): HeardLimit | undefined {
  return findKnown(limits, server);
}

/** Records that the node gets no permit for the server before `until`. */
export function recordDenial(
  limits: ServerLimits,
  server: Incarnation,
  until: Millis,
): void {
  const known = findKnown(limits, server);
  if (known !== undefined) known.deniedUntil = until;
}

/** Time before which the node gets no permit for the server; undefined if it may ask for one now. */
export function findDenialEnd(
  limits: ServerLimits,
  server: Incarnation,
  now: Millis,
): Millis | undefined {
  const known = findKnown(limits, server);
  if (known?.rate === undefined || now >= known.deniedUntil) return undefined;
  return known.deniedUntil;
}

/** Removes the limits of servers that are gone. */
export function removeLimitsOfGone(
  limits: ServerLimits,
  isKnown: (id: ServerId) => boolean,
): void {
  for (const id of limits.keys()) if (!isKnown(id)) limits.delete(id);
}

function findKnown(
  limits: ServerLimits,
  { id, born }: Incarnation,
): KnownLimit | undefined {
  const known = limits.get(id);
  return known?.born === born ? known : undefined;
}
