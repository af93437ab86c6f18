import { type Millis, millis } from "../clock.ts";
import type { EngineId } from "../ids.ts";
import type { LoadLimits } from "./limits.ts";

/** Load permit held by this node. */
export type Permit = {
  /** Time from which the permit may be granted again. */
  readonly refilledAt: Millis;
  /** Engine that the permit is granted to. */
  readonly engine: EngineId | undefined;
  /** Time of the last grant. */
  readonly grantedAt: Millis;
  /** Not granted any more, since its return to the row awaits confirmation by the table. */
  readonly stopped: boolean;
  /** Granted at least once since this node got it. */
  readonly used: boolean;
};

/** Whether a permit can be granted or returned now. */
export function isReady(permit: Permit, now: Millis): boolean {
  return (
    permit.engine === undefined && !permit.stopped && permit.refilledAt <= now
  );
}

/** Counts the permits that can be granted or returned now. */
export function countReady(permits: readonly Permit[], now: Millis): number {
  return permits.filter((permit) => isReady(permit, now)).length;
}

/** Selects, of the permits that may be granted, the one refilled first. */
export function selectPermit(
  permits: readonly Permit[],
  options: { now: Millis; mayGrant: (permit: Permit) => boolean },
): Permit | undefined {
  return permits
    .filter((permit) => isReady(permit, options.now))
    .filter(options.mayGrant)
    .reduce<Permit | undefined>(
      (best, permit) =>
        best === undefined || permit.refilledAt < best.refilledAt
          ? permit
          : best,
      undefined,
    );
}

/** Grants a permit. Its refill time starts at the grant, since the owner sends the load order in the same event-loop turn. */
export function grantPermit(
  permits: readonly Permit[],
  options: {
    permit: Permit;
    engine: EngineId;
    now: Millis;
    limits: LoadLimits;
  },
): Permit[] {
  const { permit, engine, now, limits } = options;
  const granted: Permit = {
    ...permit,
    engine,
    grantedAt: now,
    refilledAt: millis(now + limits.refill),
    used: true,
  };
  return permits.map((entry) => (entry === permit ? granted : entry));
}

/** Releases the oldest grant of an engine; an unused permit counts as refilled. */
export function releasePermit(
  permits: readonly Permit[],
  options: { engine: EngineId; used: boolean },
): Permit[] {
  const held = permits.filter((permit) => permit.engine === options.engine);
  const first = held.reduce<Permit | undefined>(
    (best, permit) =>
      best === undefined || permit.grantedAt < best.grantedAt ? permit : best,
    undefined,
  );
  return permits.map((permit) =>
    permit === first
      ? {
          ...permit,
          engine: undefined,
          refilledAt: options.used ? permit.refilledAt : permit.grantedAt,
        }
      : permit,
  );
}

/** Releases grants whose load must have ended by `loadTimeout`. */
export function expireGrants(
  permits: readonly Permit[],
  options: { now: Millis; limits: LoadLimits },
): { permits: Permit[]; expired: number } {
  const { now, limits } = options;
  let expired = 0;
  const kept = permits.map((permit) => {
    if (permit.engine === undefined) return permit;
    if (now < permit.grantedAt + limits.loadTimeout) return permit;
    expired++;
    return { ...permit, engine: undefined };
  });
  return { permits: kept, expired };
}

/** Stops up to `count` ready permits for a return, so that they are not used before the table confirms it. */
export function stopPermits(
  permits: readonly Permit[],
  options: { count: number; now: Millis },
): Permit[] {
  let left = options.count;
  return permits.map((permit) => {
    if (left === 0 || !isReady(permit, options.now)) return permit;
    left--;
    return { ...permit, stopped: true };
  });
}

/**
 * Aligns the permits with the number that the row assigns to this lease. Only
 * refilled permits are transferred, so that a new one can be granted at once.
 * A stopped permit that the row still counts may be granted again.
 */
export function alignPermits(
  permits: readonly Permit[],
  options: { count: number; now: Millis },
): Permit[] {
  const { count, now } = options;
  const order = [...permits].sort(
    (a, b) => getRetentionRank(a) - getRetentionRank(b),
  );
  const kept = order
    .slice(0, count)
    .map((permit) => (permit.stopped ? { ...permit, stopped: false } : permit));
  while (kept.length < count) kept.push(createPermit(now));
  return kept;
}

/** Creates a refilled permit that this node has not used yet. */
function createPermit(now: Millis): Permit {
  return {
    refilledAt: now,
    engine: undefined,
    grantedAt: now,
    stopped: false,
    used: false,
  };
}

/** Ranks permits by which to keep: those in use first, stopped ones last. */
function getRetentionRank(permit: Permit): number {
  if (permit.stopped) return 2;
  return permit.engine === undefined ? 1 : 0;
}
