import { type Millis, millis } from "../clock.ts";
import type { EngineId } from "../ids.ts";
import type { LoadLimits } from "./limits.ts";

/** One permit of this node. */
export type Permit = {
  /** Time from which the permit may be used again. */
  readonly refilledAt: Millis;
  /** Engine that the permit is granted to. */
  readonly engine: EngineId | undefined;
  /** Time of the grant that is in use. */
  readonly grantedAt: Millis;
  /** Stopped by this node for a return that the table has not confirmed. */
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

/** Number of permits that can be granted or returned now. */
export function countReady(permits: readonly Permit[], now: Millis): number {
  return permits.filter((permit) => isReady(permit, now)).length;
}

/** The permit that has been full for the longest time of those that may be granted. */
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

/** Grants a permit; its refill is counted from the grant, since the owner writes the load order in the same event-loop turn. */
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

/** Takes back the permit that was granted to an engine first; an unused one is full again. */
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

/** Takes back permits whose load must have ended by its deadline. */
export function expireGrants(
  permits: readonly Permit[],
  options: { now: Millis; limits: LoadLimits },
): { permits: Permit[]; expired: number } {
  const { now, limits } = options;
  let expired = 0;
  const kept = permits.map((permit) => {
    if (permit.engine === undefined) return permit;
    if (now < permit.grantedAt + limits.loadDeadline) return permit;
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
 * Brings the permits in line with the number that the row gives this lease.
 * Only full permits change hands, so a permit that is new here is usable at
 * once, and a stopped one that the row still counts may be used again.
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

/** A full permit that this node has not used yet. */
function createPermit(now: Millis): Permit {
  return {
    refilledAt: now,
    engine: undefined,
    grantedAt: now,
    stopped: false,
    used: false,
  };
}

/** Permits in use are kept first, stopped ones given up first. */
function getRetentionRank(permit: Permit): number {
  if (permit.stopped) return 2;
  return permit.engine === undefined ? 1 : 0;
}
