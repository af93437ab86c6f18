import { type Millis, millis } from "../../../core/clock.ts";
import type {
  KnownNode,
  LeaseRow,
} from "../../../core/gateway/engine_lease.ts";
import type {
  RowPosition,
  VersionedRow,
} from "../../../core/gateway/row_replica.ts";
import {
  brandNumber,
  brandString,
  type DataCentre,
  type MachineName,
  type RowKey,
  type ServerId,
  type StoreEpoch,
} from "../../../core/ids.ts";
import { isSocketAddress } from "../../../core/socket_address.ts";
import type { RowFollower } from "../../../ports/rows.ts";
import type { Json, Row } from "../../../ports/table.ts";

const leasePrefix = "engine/";
const nodePrefix = "node/";
/** Highest fencing number of a lease; each claim raises it by one. */
const maxFence = 2 ** 52;
/** Most processor cores of a node. */
const maxCapacity = 1_024;
/** Longest time without orders that a lease states, in ms. */
const maxWait = 60_000;

/** The lease and node rows as of one moment. */
export type LeaseRead = RowPosition & {
  readonly rows: readonly Row[];
  /** Local time at which the table service still held these rows. */
  readonly confirmedAt: Millis;
};

/** Reads the lease and node rows; undefined if they are not known. */
export type ReadLeaseRows = (options: {
  /** Read the table service instead of the node's copy. */
  readonly isFresh: boolean;
}) => Promise<LeaseRead | undefined>;

/** Decodes a row of the nodes' table; undefined if it is malformed. */
export type DecodeTableRow = (row: VersionedRow) => Row | undefined;

type DecodedRows = {
  readonly epoch: StoreEpoch;
  readonly count: number;
  readonly latest: number;
  readonly rows: readonly Row[];
};

/**
 * Creates a reader of the lease rows that a follower keeps. While the rows stay
 * as they are, it returns the same array, although the version of the table
 * service rises with every write to other rows.
 */
export function createLeaseReader(
  follower: RowFollower,
  decode: DecodeTableRow,
): ReadLeaseRows {
  let decoded: DecodedRows | undefined;
  return async ({ isFresh }) => {
    const snapshot = isFresh
      ? await follower.refresh("nodes")
      : follower.snapshot("nodes");
    if (snapshot === undefined) return undefined;
    const { epoch, newest, confirmedAt } = snapshot;
    // Within an epoch a written row has the highest version, and a removed one is missing.
    const count = snapshot.rows.length;
    const latest = snapshot.rows.reduce(
      (version, row) => Math.max(version, row.rowVersion),
      0,
    );
    const isUnchanged =
      decoded?.epoch === epoch &&
      decoded.count === count &&
      decoded.latest === latest;
    if (decoded === undefined || !isUnchanged) {
      const rows = snapshot.rows.flatMap((row) => decode(row) ?? []);
      decoded = { epoch, count, latest, rows };
    }
    return { rows: decoded.rows, epoch, newest, confirmedAt };
  };
}

/** Key of the lease row of an engine. */
export function createLeaseKey(engine: ServerId): RowKey {
  return brandString(`${leasePrefix}${engine}`);
}

/** Key of the row of a node. */
export function createNodeKey(machine: MachineName): RowKey {
  return brandString(`${nodePrefix}${machine}`);
}

/** Encodes a lease for its row. */
export function encodeLease(row: LeaseRow): Json {
  return { ...row };
}

type Fields = { readonly [key: string]: Json };

/** Holder of a lease whose row cannot be read; no node has this name. */
const unknownMachine: MachineName = brandString("");

/** Decodes the lease rows; one that cannot be read has an unknown holder, so that it can be claimed. */
export function decodeLeases(
  rows: readonly Row[],
): Map<ServerId, LeaseRow & { rowVersion: number }> {
  const leases = new Map<ServerId, LeaseRow & { rowVersion: number }>();
  for (const row of rows) {
    if (!row.key.startsWith(leasePrefix)) continue;
    const engine: ServerId = brandString(row.key.slice(leasePrefix.length));
    const lease = decodeLease(row.value) ?? unknownLease;
    leases.set(engine, { ...lease, rowVersion: row.version });
  }
  return leases;
}

/** Field of a lease or node row that is missing or of another form; undefined if the row can be read. */
export function findOddField({ key, value }: Row): string | undefined {
  const fields = (value ?? {}) as Fields;
  if (key.startsWith(leasePrefix)) {
    if (typeof fields.machine !== "string") return "machine";
    if (typeof fields.process !== "string") return "process";
    return isFence(fields.fence) ? undefined : "fence";
  }
  if (!key.startsWith(nodePrefix)) return undefined;
  if (typeof fields.dataCentre !== "string") return "dataCentre";
  return isAddress(fields.address) ? undefined : "address";
}

function isAddress(value: Json | undefined): value is string {
  return typeof value === "string" && isSocketAddress(value);
}

function decodeLease(value: Json): LeaseRow | undefined {
  const fields = (value ?? {}) as Fields;
  const { machine, process, fence, released, wait = 0 } = fields;
  if (typeof machine !== "string" || typeof process !== "string")
    return undefined;
  if (!isFence(fence) || !isWait(wait)) return undefined;
  return {
    machine: brandString(machine),
    process,
    fence: brandNumber(fence),
    released: released === true,
    epoch: readRowEpoch(value),
    wait: millis(wait),
  };
}

/** Lease of an unknown holder; the fence of a claim follows from the version of the row that it replaces. */
const unknownLease: LeaseRow = {
  machine: unknownMachine,
  process: "",
  fence: brandNumber(0),
  released: false,
  epoch: brandNumber(0),
  wait: millis(0),
};

/** Whether any row was written in an earlier epoch than the given one. */
export function hasEarlierRows(
  rows: readonly Row[],
  epoch: StoreEpoch,
): boolean {
  return rows.some(
    ({ key, value }) =>
      (key.startsWith(leasePrefix) || key.startsWith(nodePrefix)) &&
      readRowEpoch(value) < epoch,
  );
}

/** Epoch in which a row was written; 0 if a program wrote it that knew no epochs. */
function readRowEpoch(value: Json): StoreEpoch {
  const { epoch } = (value ?? {}) as Fields;
  const isKnown = Number.isSafeInteger(epoch) && (epoch as number) >= 0;
  return brandNumber(isKnown ? (epoch as number) : 0);
}

/** Encodes the address of a node, and its capacity if it knows it, for its row. */
export function encodeNode(
  { dataCentre, address, capacity }: KnownNode,
  epoch: StoreEpoch,
): Json {
  const fields = { dataCentre, address, epoch };
  return capacity === undefined ? fields : { ...fields, capacity };
}

function isCapacity(value: Json | undefined): value is number {
  return typeof value === "number" && value > 0 && value <= maxCapacity;
}

/** Whether a fencing number can be raised by one for a very long time. */
function isFence(value: Json | undefined): value is number {
  return (
    Number.isInteger(value) &&
    (value as number) >= 0 &&
    (value as number) <= maxFence
  );
}

/** Whether a lease may state this time without orders, in ms. */
function isWait(value: Json): value is number {
  return typeof value === "number" && value >= 0 && value <= maxWait;
}

/** Decodes the rows of the nodes; skips rows of another form. */
export function decodeNodes(rows: readonly Row[]): KnownNode[] {
  const nodes: KnownNode[] = [];
  for (const { key, value } of rows) {
    if (!key.startsWith(nodePrefix)) continue;
    const { dataCentre, address, capacity } = (value ?? {}) as Fields;
    if (typeof dataCentre !== "string" || !isAddress(address)) continue;
    const machine: MachineName = brandString(key.slice(nodePrefix.length));
    const node = { machine, dataCentre: brandString<DataCentre>(dataCentre) };
    nodes.push({
      ...node,
      address,
      capacity: isCapacity(capacity) ? capacity : undefined,
    });
  }
  return nodes;
}
