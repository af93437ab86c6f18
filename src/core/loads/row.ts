import { type Either, Left, Right } from "purify-ts";
import { brandString, type LeaseId, type RowKey } from "../ids.ts";
import { totalPermits, waitingLimit } from "./limits.ts";

/** Key of the row that divides the load budget among leases. */
export const budgetRowKey = brandString<RowKey>("budget/loads");

/** Content of the row; permits of `free`, `shares` and `returning` add up to the total. */
export type BudgetRow = {
  readonly free: number;
  /** Permits that each lease holds. */
  readonly shares: Readonly<Record<string, number>>;
  /** Permits of removed leases, by the lease that will free them. */
  readonly returning: Readonly<Record<string, number>>;
  /** Leases that wait for a permit, longest wait first. */
  readonly waiting: readonly string[];
};

/** Creates the row of an unused budget. */
export function createBudgetRow(): BudgetRow {
  return { free: totalPermits, shares: {}, returning: {}, waiting: [] };
}

/** Validates a stored row, including that its permits add up to the total. */
export function parseBudgetRow(value: unknown): Either<string, BudgetRow> {
  const row = value as Partial<BudgetRow> | null;
  if (
    typeof row !== "object" ||
    row === null ||
    !isCount(row.free) ||
    !isCountRecord(row.shares) ||
    !isCountRecord(row.returning) ||
    !Array.isArray(row.waiting) ||
    !row.waiting.every((lease) => typeof lease === "string")
  )
    return Left(
      "Row budget/loads is malformed; restore it by writing a new one",
    );
  const { free, shares, returning, waiting } = row as BudgetRow;
  if (free + sum(shares) + sum(returning) !== totalPermits)
    return Left(
      `Row budget/loads does not add up to ${totalPermits} permits; restore it by writing a new one`,
    );
  return Right({ free, shares, returning, waiting });
}

/** Returns the number of permits that a lease holds. */
export function countShare(row: BudgetRow, lease: LeaseId): number {
  return row.shares[lease] ?? 0;
}

/** Whether a lease other than this one waits for a permit. */
export function hasOtherWaiting(row: BudgetRow, lease: LeaseId): boolean {
  return row.waiting.some((entry) => entry !== lease);
}

/** Moves up to `wanted` free permits to a lease and ends its wait if it got one. */
export function takePermits(
  row: BudgetRow,
  options: { lease: LeaseId; wanted: number },
): BudgetRow {
  const taken = Math.min(options.wanted, row.free);
  if (taken <= 0) return row;
  return {
    ...row,
    free: row.free - taken,
    shares: adjustCount(row.shares, options.lease, taken),
    waiting: row.waiting.filter((lease) => lease !== options.lease),
  };
}

/** Returns permits of a lease: one to each waiting lease, longest wait first, and the rest to the free pool. */
export function returnPermits(
  row: BudgetRow,
  options: { lease: LeaseId; count: number },
): BudgetRow {
  const count = Math.min(options.count, countShare(row, options.lease));
  const others = row.waiting.filter((lease) => lease !== options.lease);
  const served = distribute(
    { ...row, shares: adjustCount(row.shares, options.lease, -count) },
    { count, waiting: others },
  );
  return row.waiting.includes(options.lease)
    ? { ...served, waiting: [...served.waiting, options.lease] }
    : served;
}

/** Appends a lease to the waiting list unless the list is full. */
export function joinWaiting(row: BudgetRow, lease: LeaseId): BudgetRow {
  if (row.waiting.includes(lease) || row.waiting.length >= waitingLimit)
    return row;
  return { ...row, waiting: [...row.waiting, lease] };
}

/** Removes a lease from the waiting list. */
export function leaveWaiting(row: BudgetRow, lease: LeaseId): BudgetRow {
  if (!row.waiting.includes(lease)) return row;
  return { ...row, waiting: row.waiting.filter((entry) => entry !== lease) };
}

/**
 * Marks the permits of a removed lease as returning under the lease `by`. The
 * result must be written even if the removed lease held nothing: the higher
 * row version makes a late transaction of the removed lease fail.
 */
export function markReturning(
  row: BudgetRow,
  options: { removed: LeaseId; by: LeaseId },
): BudgetRow {
  const { removed, by } = options;
  const count = countShare(row, removed) + (row.returning[removed] ?? 0);
  const cleared = adjustCount(
    row.returning,
    removed,
    -(row.returning[removed] ?? 0),
  );
  return {
    free: row.free,
    shares: adjustCount(row.shares, removed, -countShare(row, removed)),
    returning: adjustCount(cleared, by, count),
    waiting: row.waiting.filter((lease) => lease !== removed),
  };
}

/** Transfers permits and waiting position of a lease to a newer lease of the same process. */
export function transferLease(
  row: BudgetRow,
  { from, to }: { from: LeaseId; to: LeaseId },
): BudgetRow {
  const share = countShare(row, from);
  const returning = row.returning[from] ?? 0;
  return {
    free: row.free,
    shares: adjustCount(adjustCount(row.shares, from, -share), to, share),
    returning: adjustCount(
      adjustCount(row.returning, from, -returning),
      to,
      returning,
    ),
    waiting: row.waiting.map((lease) => (lease === from ? to : lease)),
  };
}

/** Frees the permits marked as returning under a lease: one to each waiting lease, the rest to the free pool. */
export function finishReturning(row: BudgetRow, by: LeaseId): BudgetRow {
  const count = row.returning[by] ?? 0;
  if (count === 0) return row;
  return distribute(
    { ...row, returning: adjustCount(row.returning, by, -count) },
    { count, waiting: row.waiting },
  );
}

/** Distributes `count` permits, one to each waiting lease in order and the rest to the free pool. */
function distribute(
  row: BudgetRow,
  options: { count: number; waiting: readonly string[] },
): BudgetRow {
  const served = options.waiting.slice(0, options.count);
  let { shares } = row;
  for (const lease of served) shares = adjustCount(shares, lease, 1);
  return {
    ...row,
    shares,
    free: row.free + options.count - served.length,
    waiting: options.waiting.slice(served.length),
  };
}

/** Returns a copy of a record with a count changed; entries of zero are omitted. */
function adjustCount(
  record: Readonly<Record<string, number>>,
  key: string,
  change: number,
): Record<string, number> {
  const { [key]: before = 0, ...rest } = record;
  const after = before + change;
  return after === 0 ? rest : { ...rest, [key]: after };
}

function sum(record: Readonly<Record<string, number>>): number {
  return Object.values(record).reduce((total, count) => total + count, 0);
}

function isCount(value: unknown): value is number {
  return Number.isInteger(value) && (value as number) >= 0;
}

function isCountRecord(value: unknown): value is Record<string, number> {
  return (
    typeof value === "object" &&
    value !== null &&
    Object.values(value).every(isCount)
  );
}
