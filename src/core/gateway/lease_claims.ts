import { type Millis, millis } from "../clock.ts";
import {
  brandNumber,
  type DataCentre,
  type FencingNumber,
  type MachineName,
  type ServerId,
  type StoreEpoch,
} from "../ids.ts";
import { rankByWeight } from "../lease/rendezvous.ts";
import type { KnownLease, LeaseSettings, LeaseState } from "./engine_lease.ts";

/** Claim of a lease by this node. */
export type LeaseClaim = {
  readonly engine: ServerId;
  readonly fence: FencingNumber;
  /** Epoch and version of the row that the claim replaces. */
  readonly epoch: StoreEpoch;
  readonly basis: number | "absent";
  /** Minimum time between the claim and the first order. */
  readonly wait: Millis;
  /** Time by which the claim must be committed for `wait` to suffice. */
  readonly commitBy?: Millis;
};

/** Number of versions for which an epoch has fencing numbers. */
const fencesPerEpoch = 2 ** 40;

/**
 * Fencing number of a claim: versions rise within an epoch, so that no two
 * claims of an engine that replace a row of one epoch get the same number, and
 * those of a later epoch are greater.
 */
function createFence(
  epoch: StoreEpoch,
  replaced: KnownLease | undefined,
): FencingNumber {
  const lowest = epoch * fencesPerEpoch + (replaced?.rowVersion ?? 0);
  return brandNumber(Math.max(lowest, (replaced?.fence ?? 0) + 1));
}

/** An engine that may be claimed. */
export type LeasableEngine = {
  readonly engine: ServerId;
  readonly dataCentre: DataCentre;
};

/** Returns the leases that this node should claim now. */
export function planLeaseClaims(
  state: LeaseState,
  engines: readonly LeasableEngine[],
  now: Millis,
): LeaseClaim[] {
  const claims: LeaseClaim[] = [];
  for (const engine of engines) {
    const claim = planClaim(state, engine, now);
    if (claim !== undefined) claims.push(claim);
  }
  return claims;
}

function planClaim(
  state: LeaseState,
  { engine, dataCentre }: LeasableEngine,
  now: Millis,
): LeaseClaim | undefined {
  const held = state.held.get(engine);
  const { settings, epoch, epochSince } = state;
  if (held?.epoch === epoch) return undefined;
  const row = state.rows.get(engine);
  const basis: LeaseClaim["basis"] = row?.rowVersion ?? "absent";
  const fence = createFence(epoch, row);
  const claim = { engine, fence, epoch, basis };
  if (held?.endsAt !== undefined && now < held.endsAt)
    return { ...claim, wait: millis(0), commitBy: held.endsAt };
  const takeover = computeTakeoverTime(settings);
  // The rank is determined only if the lease is about to be claimed.
  const isDue = (time: number) =>
    now >= time &&
    now >=
      time + settings.rankDelay * getOwnRank(state, { engine, dataCentre });
  if (row === undefined) {
    const since = state.vacantSince.get(engine) ?? now;
    state.vacantSince.set(engine, since);
    if (!isDue(Math.max(since, epochSince + settings.holderTimeout)))
      return undefined;
    // A lease that the table service has forgotten may still be in use.
    return { ...claim, wait: millis(Math.max(0, epochSince + takeover - now)) };
  }
  if (row.epoch !== epoch) {
    if (!isDue(Math.max(row.since, epochSince) + settings.holderTimeout))
      return undefined;
    return { ...claim, wait: takeover };
  }
  // The holder before the one that is replaced may still send orders.
  const restOfWait = millis(Math.max(0, row.since + row.wait - now));
  if (row.machine === state.machine) return { ...claim, wait: restOfWait };
  if (row.released) {
    if (!isDue(row.since + settings.restartGrace)) return undefined;
    const wait = millis(Math.max(settings.quietPeriod, restOfWait));
    return { ...claim, wait };
  }
  const lastContact = Math.max(
    row.since,
    state.lastContactAt.get(row.machine) ?? Number.NEGATIVE_INFINITY,
  );
  if (!isDue(lastContact + settings.holderTimeout)) return undefined;
  return { ...claim, wait: takeover };
}

/** Time after which a holder that was lost sends no further order, and the quiet period is over. */
function computeTakeoverTime(settings: LeaseSettings): Millis {
  const { validity, clockMargin, quietPeriod } = settings;
  return millis(validity + clockMargin + quietPeriod);
}

/** Processor cores of a node that does not say how many it may use. */
const usualCapacity = 1;

/**
 * Weight of a node in the choice of an engine's owner. It grows faster than the
 * capacity, since an owner answers calls of all nodes beside its own requests.
 */
function weighOwner(capacity = usualCapacity): number {
  return capacity ** 2;
}

/** Rank of this node among the candidates for an engine; nodes of its data centre come first. */
export function getOwnRank(
  state: LeaseState,
  { engine, dataCentre }: LeasableEngine,
): number {
  let rank = state.ranks.get(engine);
  if (rank === undefined) {
    rank = computeOwnRank(state, engine, dataCentre);
    state.ranks.set(engine, rank);
  }
  return rank;
}

function computeOwnRank(
  state: LeaseState,
  engine: ServerId,
  dataCentre: DataCentre,
): number {
  const weights = new Map<MachineName, number>();
  for (const node of state.nodes.values()) {
    if (node.dataCentre === dataCentre)
      weights.set(node.machine, weighOwner(node.capacity));
  }
  if (state.dataCentre === dataCentre)
    weights.set(state.machine, weighOwner(state.capacity));
  const ranked = rankByWeight(engine, weights);
  const rank = ranked.indexOf(state.machine);
  if (rank >= 0) return rank;
  return (
    ranked.length + 1 + [...state.nodes.keys()].sort().indexOf(state.machine)
  );
}

/** Records a claim that was committed in its epoch; one of an earlier epoch confers no right. */
export function recordClaim(
  state: LeaseState,
  claim: LeaseClaim,
  commit: { readonly rowVersion: number; readonly now: Millis },
): void {
  if (claim.epoch !== state.epoch) return;
  const { engine, fence, commitBy } = claim;
  const { rowVersion, now } = commit;
  const { epoch, settings } = state;
  const isLate = commitBy !== undefined && now >= commitBy;
  const wait = isLate ? computeTakeoverTime(settings) : claim.wait;
  state.rows.set(engine, {
    machine: state.machine,
    process: state.process,
    fence,
    released: false,
    epoch,
    wait,
    rowVersion,
    since: now,
  });
  // The next claim states the longer wait.
  if (isLate) {
    state.held.delete(engine);
    return;
  }
  const ordersFrom = millis(now + wait);
  // The holder before may have claimed again after a restore that this node has not seen.
  const confirmedFrom = millis(
    wait > 0 ? ordersFrom - settings.quietPeriod : Number.NEGATIVE_INFINITY,
  );
  const lease = { fence, epoch, rowVersion, ordersFrom, confirmedFrom };
  state.held.set(engine, lease);
}
