import { type Millis, millis } from "../clock.ts";
import {
  brandNumber,
  type DataCentre,
  type FencingNumber,
  type MachineName,
  type ServerId,
  type StoreEpoch,
} from "../ids.ts";

/** Lease row of one engine: the machine that may send it orders. */
export type LeaseRow = {
  readonly machine: MachineName;
  /** Start token of the process that holds the lease. */
  readonly process: string;
  readonly fence: FencingNumber;
  /** The holder has shut down and sends no further order. */
  readonly released: boolean;
  /** Epoch of the table service in which the holder claimed; the row confers no right in another one. */
  readonly epoch: StoreEpoch;
  /** Time from the claim on in which the holder sends no order. */
  readonly wait: Millis;
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
  /** Processor cores that the node may use; undefined if it does not say. */
  readonly capacity?: number | undefined;
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
  readonly epoch: StoreEpoch;
  readonly rowVersion: number;
  /** End of the right if the epoch is over, until the lease is claimed again. */
  readonly endsAt?: Millis;
  /** The first order requires a read from this time on. */
  readonly confirmedFrom: Millis;
  /** Earliest time of an order: at least `quietPeriod` after the last order that a holder on another machine may have sent. */
  readonly ordersFrom: Millis;
};

/** Leases as known to one node; owned by one task and updated in place. */
export type LeaseState = {
  readonly machine: MachineName;
  readonly process: string;
  readonly dataCentre: DataCentre;
  /** Processor cores that this node may use, if it knows. */
  readonly capacity?: number | undefined;
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
  /** Holders as known before the latest restore of the table service. */
  readonly formerHolders: Map<ServerId, MachineName>;
  epoch: StoreEpoch;
  /**
   * Time at which the node learnt of the epoch; leases of the one before may be
   * in use for a time. Negative infinity if the node knows of none before.
   */
  epochSince: Millis;
  hasRead: boolean;
  /** Time at which the last successful read was sent. */
  readAt: Millis;
};

/** Creates the state of a node before its first read. */
export function createLeaseState(
  identity: Pick<
    LeaseState,
    "machine" | "process" | "dataCentre" | "capacity" | "settings"
  >,
): LeaseState {
  return {
    ...identity,
    rows: new Map(),
    nodes: new Map(),
    lastContactAt: new Map(),
    held: new Map(),
    ranks: new Map(),
    vacantSince: new Map(),
    formerHolders: new Map(),
    epoch: brandNumber(0),
    epochSince: millis(Number.NEGATIVE_INFINITY),
    hasRead: false,
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
    readonly epoch: StoreEpoch;
    /** Some rows were written in an earlier epoch. */
    readonly hasEarlierRows: boolean;
    readonly sentAt: Millis;
    readonly now: Millis;
  },
): void {
  if (read.epoch !== state.epoch) startLeaseEpoch(state, read);
  state.hasRead = true;
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
    if (isLeaseLost(state, lease, { row, now: read.now }))
      state.held.delete(engine);
  }
}

/**
 * Ends the epoch of all known rows. A lease under which this node may send
 * orders stays its own until the time for which it was confirmed is over.
 */
function startLeaseEpoch(
  state: LeaseState,
  {
    epoch,
    hasEarlierRows,
    now,
  }: Pick<
    Parameters<typeof applyLeaseRead>[1],
    "epoch" | "hasEarlierRows" | "now"
  >,
): void {
  const { validity } = state.settings;
  for (const engine of state.rows.keys()) {
    const holder = findLeaseHolder(state, engine);
    if (holder !== undefined) state.formerHolders.set(engine, holder);
  }
  for (const [engine, lease] of state.held) {
    const endsAt = millis(
      Math.min(
        lease.endsAt ?? Number.POSITIVE_INFINITY,
        state.readAt + validity,
      ),
    );
    // A claim that still waits may have been made again by the holder before.
    if (now >= endsAt || now < lease.ordersFrom) state.held.delete(engine);
    else state.held.set(engine, { ...lease, endsAt });
  }
  state.rows.clear();
  state.vacantSince.clear();
  state.epoch = epoch;
  if (state.hasRead || hasEarlierRows) state.epochSince = now;
}

function isLeaseLost(
  { epoch, machine }: LeaseState,
  lease: HeldLease,
  { row, now }: { row: KnownLease | undefined; now: Millis },
): boolean {
  if (lease.endsAt !== undefined) {
    const isClaimed = row?.epoch === epoch && row.machine !== machine;
    return isClaimed || now >= lease.endsAt;
  }
  return row === undefined || row.rowVersion > lease.rowVersion;
}

/** Machine that holds the lease of an engine, or held it before a restore of the table service. */
export function findLeaseHolder(
  { rows, formerHolders, epoch }: LeaseState,
  engine: ServerId,
): MachineName | undefined {
  const row = rows.get(engine);
  if (row?.epoch === epoch) return row.released ? undefined : row.machine;
  return formerHolders.get(engine) ?? row?.machine;
}

/** Records that the rows applied last were still current at a time. */
export function confirmLeaseRead(state: LeaseState, at: Millis): void {
  state.readAt = millis(Math.max(state.readAt, at));
}

/** Fencing number under which this node may send orders to an engine now; undefined if it may not. */
export function findOrderFence(
  state: LeaseState,
  engine: ServerId,
  now: Millis,
): FencingNumber | undefined {
  const lease = state.held.get(engine);
  if (lease === undefined || now < lease.ordersFrom) return undefined;
  if (now >= (lease.endsAt ?? Number.POSITIVE_INFINITY)) return undefined;
  if (state.readAt < lease.confirmedFrom) return undefined;
  if (now >= state.readAt + state.settings.validity) return undefined;
  return lease.fence;
}

/** Forbids orders until the rows have been read again; used after a pause of the process. */
export function invalidateLeases(state: LeaseState): void {
  state.readAt = millis(Number.NEGATIVE_INFINITY);
}
