import { type Millis, millis } from "../clock.ts";
import {
  brandNumber,
  type DataCentre,
  type FencingNumber,
  type MachineName,
  type ServerId,
} from "../ids.ts";
import { rankByRendezvous } from "../lease/rendezvous.ts";

/** Lease row of one engine: the machine that may send it orders. */
export type LeaseRow = {
  readonly machine: MachineName;
  /** Start token of the process that holds the lease. */
  readonly process: string;
  readonly fence: FencingNumber;
  /** The holder has shut down and sends no further order. */
  readonly released: boolean;
};

/** Lease row as last read. */
export type KnownLease = LeaseRow & {
  readonly rowVersion: number;
  /** Local time at which this version of the row was first read. */
  readonly since: Millis;
};

/** Another node, as listed in the table. */
export type KnownNode = {
  readonly machine: MachineName;
  readonly dataCentre: DataCentre;
  /** `IP:PORT` of its peer listener. */
  readonly address: string;
};

/** Durations of engine leases, in ms. */
export type LeaseSettings = {
  /** How long a holder may send orders after it sent the last read that showed its lease. */
  readonly validity: Millis;
  /** Clock drift allowed between two machines over that time. */
  readonly clockMargin: Millis;
  /** Minimum time between the orders of two holders. */
  readonly quietPeriod: Millis;
  /** Time without contact after which a holder is considered dead. */
  readonly holderTimeout: Millis;
  /** How long a released lease is reserved for a restart on the same machine. */
  readonly restartGrace: Millis;
  /** Delay between the claims of two candidates for one engine. */
  readonly rankDelay: Millis;
};

/** Durations for a table that is read about every 1.5 s. */
export const defaultLeaseSettings: LeaseSettings = {
  validity: millis(6_000),
  clockMargin: millis(500),
  quietPeriod: millis(3_500),
  holderTimeout: millis(3_000),
  restartGrace: millis(2_000),
  rankDelay: millis(400),
};

/** A lease that this node holds. */
export type HeldLease = {
  readonly fence: FencingNumber;
  readonly rowVersion: number;
  /** Earliest time of an order: at least `quietPeriod` after the last order that a holder on another machine may have sent. */
  readonly ordersFrom: Millis;
};

/** Leases as known to one node; owned by one task and updated in place. */
export type LeaseState = {
  readonly machine: MachineName;
  readonly process: string;
  readonly dataCentre: DataCentre;
  readonly settings: LeaseSettings;
  readonly rows: Map<ServerId, KnownLease>;
  readonly nodes: Map<MachineName, KnownNode>;
  /** Time of the last contact with each machine. */
  readonly lastContactAt: Map<MachineName, Millis>;
  readonly held: Map<ServerId, HeldLease>;
  /** Rank of this node for each engine; emptied when the known nodes change. */
  readonly ranks: Map<ServerId, number>;
  /** Time since which each engine is known to have no lease. */
  readonly vacantSince: Map<ServerId, Millis>;
  /** Time at which the last successful read was sent. */
  readAt: Millis;
};

/** Creates the state of a node before its first read. */
export function createLeaseState(
  identity: Pick<LeaseState, "machine" | "process" | "dataCentre" | "settings">,
): LeaseState {
  return {
    ...identity,
    rows: new Map(),
    nodes: new Map(),
    lastContactAt: new Map(),
    held: new Map(),
    ranks: new Map(),
    vacantSince: new Map(),
    readAt: millis(Number.NEGATIVE_INFINITY),
  };
}

/** Applies a read of all rows. */
export function applyLeaseRead(
  state: LeaseState,
  read: {
    readonly leases: ReadonlyMap<
      ServerId,
      LeaseRow & { readonly rowVersion: number }
    >;
    readonly nodes: readonly KnownNode[];
    readonly sentAt: Millis;
    readonly now: Millis;
  },
): void {
  state.readAt = read.sentAt;
  for (const node of read.nodes) {
    const known = state.nodes.get(node.machine);
    if (known?.address !== node.address) {
      state.nodes.set(node.machine, node);
      state.ranks.clear();
      state.lastContactAt.set(node.machine, read.now);
    }
  }
  for (const engine of state.rows.keys()) {
    if (!read.leases.has(engine)) state.rows.delete(engine);
  }
  for (const [engine, row] of read.leases) {
    const known = state.rows.get(engine);
    if (known?.rowVersion === row.rowVersion) continue;
    state.rows.set(engine, { ...row, since: read.now });
  }
  for (const [engine, lease] of state.held) {
    const row = state.rows.get(engine);
    if (row === undefined || row.rowVersion > lease.rowVersion) {
      state.held.delete(engine);
    }
  }
}

/** Records that the rows applied last were still current at a time. */
export function confirmLeaseRead(state: LeaseState, at: Millis): void {
  state.readAt = millis(Math.max(state.readAt, at));
}

/** Claim of a lease by this node. */
export type LeaseClaim = {
  readonly engine: ServerId;
  readonly fence: FencingNumber;
  /** Version of the row that the claim replaces. */
  readonly basis: number | "absent";
  /** Minimum time between the claim and the first order. */
  readonly wait: Millis;
};

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
  if (state.held.has(engine)) return undefined;
  const { settings } = state;
  const row = state.rows.get(engine);
  // The rank is determined only if the lease is about to be claimed.
  const isDue = (time: number) =>
    now >= time &&
    now >=
      time + settings.rankDelay * getOwnRank(state, { engine, dataCentre });
  if (row === undefined) {
    const since = state.vacantSince.get(engine) ?? now;
    state.vacantSince.set(engine, since);
    if (!isDue(since)) return undefined;
    return { engine, fence: brandNumber(1), basis: "absent", wait: millis(0) };
  }
  const claim = {
    engine,
    fence: brandNumber<FencingNumber>(row.fence + 1),
    basis: row.rowVersion,
  };
  if (row.machine === state.machine) return { ...claim, wait: millis(0) };
  if (row.released) {
    if (!isDue(row.since + settings.restartGrace)) return undefined;
    return { ...claim, wait: settings.quietPeriod };
  }
  const lastContact = Math.max(
    row.since,
    state.lastContactAt.get(row.machine) ?? Number.NEGATIVE_INFINITY,
  );
  if (!isDue(lastContact + settings.holderTimeout)) return undefined;
  const { validity, clockMargin, quietPeriod } = settings;
  return { ...claim, wait: millis(validity + clockMargin + quietPeriod) };
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
  const local = [...state.nodes.values()].filter(
    (node) => node.dataCentre === dataCentre,
  );
  const isLocal = state.dataCentre === dataCentre;
  const names = new Set(local.map(({ machine }) => machine));
  if (isLocal) names.add(state.machine);
  const ranked = rankByRendezvous(engine, names);
  const rank = ranked.indexOf(state.machine);
  if (rank >= 0) return rank;
  return (
    ranked.length + 1 + [...state.nodes.keys()].sort().indexOf(state.machine)
  );
}

/** Records a claim that was committed. */
export function recordClaim(
  state: LeaseState,
  claim: LeaseClaim,
  commit: { readonly rowVersion: number; readonly now: Millis },
): void {
  const { engine, fence, wait } = claim;
  const { rowVersion, now } = commit;
  state.rows.set(engine, {
    machine: state.machine,
    process: state.process,
    fence,
    released: false,
    rowVersion,
    since: now,
  });
  state.held.set(engine, { fence, rowVersion, ordersFrom: millis(now + wait) });
}

/** Fencing number under which this node may send orders to an engine now; undefined if it may not. */
export function findOrderFence(
  state: LeaseState,
  engine: ServerId,
  now: Millis,
): FencingNumber | undefined {
  const lease = state.held.get(engine);
  if (lease === undefined || now < lease.ordersFrom) return undefined;
  if (now >= state.readAt + state.settings.validity) return undefined;
  return lease.fence;
}

/** Forbids orders until the rows have been read again; used after a pause of the process. */
export function invalidateLeases(state: LeaseState): void {
  state.readAt = millis(Number.NEGATIVE_INFINITY);
}
