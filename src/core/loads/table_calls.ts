import { type Millis, millis } from "../clock.ts";
import type { LeaseId } from "../ids.ts";
import { type LoadLimits, waitingLimit } from "./limits.ts";
import {
  type BudgetRow,
  countShare,
  finishReturning,
  joinWaiting,
  leaveWaiting,
  markReturning,
  returnPermits,
  takePermits,
  transferLease,
} from "./row.ts";
import { alignPermits, countReady } from "./share.ts";
import {
  countNeeded,
  countWanted,
  isOversubscribed,
  type LoadBudgetState,
  listReturnTimes,
} from "./state.ts";

/** Planned change of the row, and the number of permits to stop granting before it is written. */
export type RowChange = {
  readonly row: BudgetRow;
  readonly stopped: number;
};

/** Time and limits by which calls to the table are planned. */
type PlanOptions = { now: Millis; limits: LoadLimits };

/** Plans the change to the row as just read, if any. */
export function planChange(
  state: LoadBudgetState,
  { now, limits }: PlanOptions,
): RowChange | undefined {
  const { lease, row } = state;
  if (lease === undefined || row === undefined) return undefined;
  let next = row;
  for (const from of state.previousLeases)
    next = transferLease(next, { from, to: lease });
  for (const removed of state.removed)
    next = markReturning(next, { removed, by: lease });
  if (state.returning.count > 0 && state.returning.at <= now)
    next = finishReturning(next, lease);
  const due = listReturnTimes(state, limits).filter((at) => at <= now);
  const stopped = Math.min(due.length, countReady(state.permits, now));
  if (stopped > 0) next = returnPermits(next, { lease, count: stopped });
  next = planAcquisition(state, { row: next, lease, stopped });
  return next === row ? undefined : { row: next, stopped };
}

/** Plans to take free permits, or to join or leave the waiting list. */
function planAcquisition(
  state: LoadBudgetState,
  options: { row: BudgetRow; lease: LeaseId; stopped: number },
): BudgetRow {
  const { row, lease, stopped } = options;
  // A node that returns permits does not take any back in the same write.
  const wanted = stopped > 0 ? 0 : countWanted(state);
  const taken = takePermits(row, { lease, wanted });
  if (taken !== row) return taken;
  return countNeeded(state) > 0
    ? joinWaiting(row, lease)
    : leaveWaiting(row, lease);
}

/** Plans the time of the next call to the table; undefined while none is needed. */
export function planCall(
  state: LoadBudgetState,
  options: PlanOptions,
): Millis | undefined {
  const { now, limits } = options;
  if (state.lease === undefined || now >= state.usableUntil) return undefined;
  const times = [
    ...listReturnTimes(state, limits),
    ...planRequiredCalls(state, now),
    ...planAcquireCalls(state, options),
    ...planHolderCalls(state, limits),
  ];
  if (times.length === 0) return undefined;
  return millis(Math.max(Math.min(...times), state.backoffUntil));
}

/** Plans the calls for writes that do not depend on the node's own demand. */
function planRequiredCalls(state: LoadBudgetState, now: Millis): number[] {
  const times: number[] = state.returning.count > 0 ? [state.returning.at] : [];
  const isDue =
    state.proposal !== undefined ||
    state.removed.length > 0 ||
    state.previousLeases.length > 0;
  return isDue ? [...times, now] : times;
}

/** Plans the calls to take a permit, or to check whether one was passed to this node. */
function planAcquireCalls(
  state: LoadBudgetState,
  { now, limits }: PlanOptions,
): number[] {
  const { lease, row, rowReadAt, pollScale } = state;
  const waiting = row?.waiting ?? [];
  const isListed = lease !== undefined && waiting.includes(lease);
  if (countWanted(state) === 0) return isListed ? [now] : [];
  const isRowCurrent = row !== undefined && state.requestedAt <= rowReadAt;
  if (isRowCurrent && isListed)
    return [rowReadAt + limits.waitPoll * pollScale];
  if (isRowCurrent && waiting.length >= waitingLimit)
    return [rowReadAt + limits.unlistedPoll * pollScale];
  return [now];
}

/** With more owners than permits, plans the calls to check whether others wait for a refilled permit. */
function planHolderCalls(state: LoadBudgetState, limits: LoadLimits): number[] {
  const fullTimes = state.permits
    .filter((permit) => permit.engine === undefined)
    .map((permit) => permit.refilledAt);
  if (!isOversubscribed(state) || fullTimes.length === 0) return [];
  const poll = state.rowReadAt + limits.holderPoll * state.pollScale;
  return [Math.max(Math.min(...fullTimes), poll)];
}

/** Applies the row: the permits of this lease and those marked as returning under it. */
export function adoptRow(
  state: LoadBudgetState,
  { row, now, limits }: PlanOptions & { row: BudgetRow },
): LoadBudgetState {
  const { lease } = state;
  if (lease === undefined) return { ...state, row, rowReadAt: now };
  const own = [lease, ...state.previousLeases];
  const count = sum(own.map((entry) => countShare(row, entry)));
  const returning = sum(own.map((entry) => row.returning[entry] ?? 0));
  // More permits were marked since then, so the wait starts again.
  const marked = returning > state.returning.count;
  return {
    ...state,
    row,
    rowReadAt: now,
    permits: alignPermits(state.permits, { count, now }),
    returning: {
      count: returning,
      at: marked ? millis(now + limits.loadTimeout) : state.returning.at,
    },
  };
}

function sum(counts: readonly number[]): number {
  return counts.reduce((total, count) => total + count, 0);
}
