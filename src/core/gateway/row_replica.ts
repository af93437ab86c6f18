import { type Millis, millis } from "../clock.ts";
import { brandNumber, type StoreEpoch } from "../ids.ts";

/** A row of the table service. */
export type VersionedRow = {
  readonly key: string;
  /** Version of the table service at the write; one counter orders all writes of an epoch. */
  readonly rowVersion: number;
  /** Undefined for a removed row. */
  readonly value: Uint8Array | undefined;
};

/** A point in the history of the table service. */
export type RowPosition = {
  readonly epoch: StoreEpoch;
  /** Newest version. */
  readonly newest: number;
};

/** Order of two points in the history; versions of different epochs cannot be compared. */
export function comparePositions(
  first: RowPosition,
  second: RowPosition,
): number {
  return first.epoch - second.epoch || first.newest - second.newest;
}

/** Rows, and the point in the history that they reflect. */
export type RowBatch = RowPosition & {
  readonly rows: readonly VersionedRow[];
};

/** Rows of one topic that changed. */
export type RowUpdate = RowBatch & {
  /** The update lists all rows, so that any other row is gone. */
  readonly isComplete: boolean;
  /** Rows with a greater version were written in the epoch, others may come from the copy. */
  readonly base: number;
};

/** Whether followers need a change at once; other changes are passed on at a limited rate. */
export type UrgencyPolicy = (
  previous: VersionedRow | undefined,
  next: VersionedRow,
) => boolean;

/** Time on the monotonic clock and on the wall clock; only the latter runs on while a process is paused. */
export type Instant = { readonly now: Millis; readonly wall: Millis };

type ReplicaRow = {
  row: VersionedRow;
  /** Version under which the row was last made available to followers. */
  forwardedVersion: number;
  forwardedAt: Millis;
};

/** Copy of one topic, from which other nodes can be served; updated in place. */
export type RowReplica = {
  readonly rows: Map<string, ReplicaRow>;
  epoch: StoreEpoch;
  /** 0 before the first complete read. */
  newest: number;
  /** Rows with a greater version were written in the epoch, others may come from the copy. */
  base: number;
  /** Followers that know only an older version get all rows. */
  completeUpTo: number;
  /** Start of the latest call to the table service that confirmed `newest`. */
  confirmedAt: Instant;
  /** Time of the latest answer of the table service. */
  answeredAt: Millis;
};

/** Time for which a removed row is kept for followers, in ms. */
const removalLifetime = 30_000;
/** Interval of the other changes to one row, in ms for each row of the topic. */
const deferredIntervalPerRow = 100;

const never = millis(Number.NEGATIVE_INFINITY);

/** Creates a replica without rows. */
export function createRowReplica(): RowReplica {
  return {
    rows: new Map(),
    epoch: brandNumber(0),
    newest: 0,
    base: 0,
    completeUpTo: 0,
    confirmedAt: { now: never, wall: never },
    answeredAt: never,
  };
}

/** Options of `applyRows`. */
export type RowApplication = {
  /** The batch lists all rows. */
  readonly isComplete: boolean;
  /** Base of the epoch as another node knows it. */
  readonly base?: number | undefined;
  /** Time from which the batch is known to be up to date. */
  readonly confirmedAt: Instant;
  readonly now: Millis;
  readonly isUrgent: UrgencyPolicy;
};

/**
 * Applies rows that were read; returns whether any of them is for followers at
 * once, or undefined if the batch was ignored: it is older than the replica, or
 * lists only changes of a history of which the replica has no rows.
 */
export function applyRows(
  replica: RowReplica,
  batch: RowBatch,
  application: RowApplication,
): { readonly hasUrgent: boolean } | undefined {
  if (comparePositions(batch, replica) < 0) return undefined;
  const { isComplete, base, confirmedAt } = application;
  if (replica.newest === 0 || batch.epoch > replica.epoch) {
    if (!isComplete) return undefined;
    startEpoch(replica, batch);
  }
  replica.base = Math.min(replica.base, base ?? replica.base);
  replica.newest = batch.newest;
  if (confirmedAt.now > replica.confirmedAt.now)
    replica.confirmedAt = confirmedAt;
  let hasUrgent = false;
  for (const row of batch.rows) {
    if (applyRow(replica, row, application)) hasUrgent = true;
  }
  if (isComplete) {
    for (const row of listUnlisted(replica, batch)) {
      if (applyRow(replica, row, application)) hasUrgent = true;
    }
  }
  removeOldRemovals(replica, application.now);
  return { hasUrgent };
}

/** Discards the rows of the epoch before, since their versions mean nothing in this one; removals from before are not known. */
function startEpoch(replica: RowReplica, { epoch, newest }: RowPosition): void {
  replica.rows.clear();
  replica.epoch = epoch;
  replica.base = epoch === 0 ? 0 : newest;
  replica.completeUpTo = newest;
}

function applyRow(
  replica: RowReplica,
  row: VersionedRow,
  { now, isUrgent }: RowApplication,
): boolean {
  const known = replica.rows.get(row.key);
  if (known === undefined) {
    const forwardedVersion = row.rowVersion;
    replica.rows.set(row.key, { row, forwardedVersion, forwardedAt: now });
    return true;
  }
  if (row.rowVersion <= known.row.rowVersion) return false;
  const urgent =
    row.value === undefined ||
    known.row.value === undefined ||
    isUrgent(known.row, row);
  const interval = deferredIntervalPerRow * replica.rows.size;
  known.row = row;
  if (urgent || now >= known.forwardedAt + interval) {
    known.forwardedVersion = row.rowVersion;
    known.forwardedAt = now;
  }
  return urgent;
}

/** Rows of the replica that a complete batch does not list, as removed rows. */
function listUnlisted(replica: RowReplica, batch: RowBatch): VersionedRow[] {
  const listed = new Set(batch.rows.map(({ key }) => key));
  const removed: VersionedRow[] = [];
  for (const { row } of replica.rows.values()) {
    if (row.value === undefined || listed.has(row.key)) continue;
    removed.push({
      key: row.key,
      rowVersion: batch.newest,
      value: undefined,
    });
  }
  return removed;
}

function removeOldRemovals(replica: RowReplica, now: Millis): void {
  for (const [key, { row, forwardedAt }] of replica.rows) {
    if (row.value !== undefined || now < forwardedAt + removalLifetime)
      continue;
    replica.rows.delete(key);
    replica.completeUpTo = Math.max(replica.completeUpTo, row.rowVersion);
  }
}

/** All rows that exist. */
export function listRows(replica: RowReplica): VersionedRow[] {
  const rows: VersionedRow[] = [];
  for (const { row } of replica.rows.values()) {
    if (row.value !== undefined) rows.push(row);
  }
  return rows;
}

/** Rows for a follower that has the rows up to `after`, or none if it is undefined; none for one of a later epoch. */
export function selectRowsAfter(
  replica: RowReplica,
  after: RowPosition | undefined,
): RowUpdate {
  const { epoch, newest, base } = replica;
  const position = { epoch, newest, base };
  if (
    after === undefined ||
    after.epoch < epoch ||
    (after.epoch === epoch && after.newest < replica.completeUpTo)
  ) {
    return { rows: listRows(replica), ...position, isComplete: true };
  }
  const rows: VersionedRow[] = [];
  if (after.epoch > epoch) return { rows, ...position, isComplete: false };
  for (const { row, forwardedVersion } of replica.rows.values()) {
    if (forwardedVersion > after.newest) rows.push(row);
  }
  return { rows, ...position, isComplete: false };
}

/**
 * Upper bound of the age of a replica. After a pause of the process only the
 * wall clock shows how much time has passed.
 */
export function computeAge(
  replica: RowReplica,
  { now, wall }: Instant,
): number {
  const { confirmedAt } = replica;
  return Math.max(now - confirmedAt.now, wall - confirmedAt.wall);
}
