import { type Millis, millis } from "../clock.ts";
import type { LeaseId } from "../ids.ts";
import type { LoadLimits } from "./limits.ts";
import {
  type BudgetRow,
  countShare,
  finishReturning,
  joinWaiting,
  leaveWaiting,
  markReturning,
  returnPermits,
  takePermits,
} from "./row.ts";
import { alignPermits, countReady } from "./share.ts";
import {
  countNeeded,
  countWanted,
  isCrowded,
  type LoadBudgetState,
  listReturnTimes,
} from "./state.ts";

/** Change of the row that the node wants, and the permits it stops using first. */
export type RowChange = {
  readonly row: BudgetRow;
  readonly stopped: number;
};

/** What a call to the table is decided on. */
type PlanOptions = { now: Millis; limits: LoadLimits };

/** The change that the node wants to make to the row as just read, if any. */
export function planChange(
  state: LoadBudgetState,
  { now, limits }: PlanOptions,
): RowChange | undefined {
  const { lease, row } = state;
  if (lease === undefined || row === undefined) return undefined;
  let next = row;
  for (const removed of state.removed)
    next = markReturning(next, { removed, by: lease });
  if (state.returning.count > 0 && state.returning.at <= now)
    next = finishReturning(next, lease);
  const due = listReturnTimes(state, limits).filter((at) => at <= now);
  const stopped = Math.min(due.length, countReady(state.permits, now));
  if (stopped > 0) next = returnPermits(next, { lease, count: stopped });
  next = planTake(state, { row: next, lease, stopped });
  return next === row ? undefined : { row: next, stopped };
}

/** Takes free permits, or joins or leaves the waiting list. */
function planTake(
  state: LoadBudgetState,
  options: { row: BudgetRow; lease: LeaseId; stopped: number },
): BudgetRow {
  const { row, lease, stopped } = options;
  // A node that returns permits does not take them back in the same step.
  const wanted = stopped > 0 ? 0 : countWanted(state);
  const taken = takePermits(row, { lease, wanted });
  if (taken !== row) return taken;
  return countNeeded(state) > 0
    ? joinWaiting(row, lease)
    : leaveWaiting(row, lease);
}

/** Time of the next call to the table; undefined while none is needed. */
export function planCall(
  state: LoadBudgetState,
  { now, limits }: PlanOptions,
): Millis | undefined {
  const { lease, row } = state;
  if (lease === undefined || now >= state.usableUntil) return undefined;
  const times: number[] = listReturnTimes(state, limits);
  if (state.proposal !== undefined || state.removed.length > 0) times.push(now);
  if (state.returning.count > 0) times.push(state.returning.at);
  const waits = row?.waiting.includes(lease) === true;
  if (countWanted(state) > 0) {
    const asked = row !== undefined && state.requestedAt <= state.rowAt;
    times.push(asked ? state.rowAt + limits.waitPoll * state.pollScale : now);
  } else if (waits) {
    times.push(now);
  }
  const fullAt = Math.min(
    ...state.permits
      .filter((permit) => permit.engine === undefined)
      .map((permit) => permit.fullAt),
  );
  if (isCrowded(state) && fullAt < Number.POSITIVE_INFINITY)
    times.push(
      Math.max(fullAt, state.rowAt + limits.holderPoll * state.pollScale),
    );
  if (times.length === 0) return undefined;
  return millis(Math.max(Math.min(...times), state.quietUntil));
}

/** Takes over the content of the row: permits, and returns in the name of this lease. */
export function adoptRow(
  state: LoadBudgetState,
  { row, now, limits }: PlanOptions & { row: BudgetRow },
): LoadBudgetState {
  const { lease } = state;
  if (lease === undefined) return { ...state, row, rowAt: now };
  const count = countShare(row, lease);
  const returning = row.returning[lease] ?? 0;
  // More permits than before were marked in between, so the wait starts again.
  const marked = returning > state.returning.count;
  return {
    ...state,
    row,
    rowAt: now,
    permits: alignPermits(state.permits, { count, now }),
    returning: {
      count: returning,
      at: marked ? millis(now + limits.loadDeadline) : state.returning.at,
    },
  };
}
