import { type Millis, millis } from "../clock.ts";
import type { ServerId } from "../ids.ts";
import type { Incarnation } from "./servers.ts";

/** What one node knows of the limit of a server. */
type KnownLimit = {
  readonly born: number | undefined;
  /** Requests per second from all nodes together; undefined once the server has ended its limit. */
  readonly rate: number | undefined;
  /** Time at which a node learned this from the server. */
  readonly observedAt: Millis;
  /** Time before which this node gets no permit. */
  deniedUntil: Millis;
  /** Latest time at which a caller that this node refused returns. */
  returnAt: Millis;
};

/** Limits that servers named; each holds for one incarnation. */
export type ServerLimits = Map<ServerId, KnownLimit>;

/** A limit as a node learned it. */
export type ObservedLimit = {
  /** Requests per second; undefined if the server names none. */
  readonly rate: number | undefined;
  readonly observedAt: Millis;
};

/** Longest time until a refused caller returns, in ms. */
const maxReturnDelay = 30_000;

/** Creates the state of a node that knows of no limit. */
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
  { rate, observedAt }: ObservedLimit,
): boolean {
  const known = limits.get(id);
  const isSame = known?.born === born;
  if (known !== undefined && !isSame && (known.born ?? 0) > (born ?? 0))
    return false;
  const current = isSame ? known : undefined;
  if (current !== undefined && observedAt < current.observedAt) return false;
  if (current === undefined && rate === undefined) return false;
  const never = millis(Number.NEGATIVE_INFINITY);
  const { deniedUntil = never, returnAt = never } = current ?? {};
  limits.set(id, { born, rate, observedAt, deniedUntil, returnAt });
  return current?.rate !== rate;
}

/** The limit that a server keeps now; undefined without one. */
export function findLimit(
  limits: ServerLimits,
  server: Incarnation,
): { readonly rate: number; readonly observedAt: Millis } | undefined {
  const known = findKnown(limits, server);
  if (known?.rate === undefined) return undefined;
  return { rate: known.rate, observedAt: known.observedAt };
}

/** What is last known of the limit of a server, its end included. */
export function findLastLimit(
  limits: ServerLimits,
  server: Incarnation,
): ObservedLimit | undefined {
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

/**
 * Time at which the next caller that this node refuses may return: the callers
 * come back at the rate of the node's part of the limit, one after another.
 */
export function planReturn(
  limits: ServerLimits,
  server: Incarnation,
  { now, nodes }: { readonly now: Millis; readonly nodes: number },
): Millis {
  const known = findKnown(limits, server);
  if (known?.rate === undefined) return now;
  const interval = (1_000 * nodes) / known.rate;
  const earliest = Math.max(now, known.deniedUntil, known.returnAt + interval);
  known.returnAt = millis(Math.min(earliest, now + maxReturnDelay));
  return known.returnAt;
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
