import { type Millis, millis } from "../clock.ts";
import type { EngineId, LeaseId } from "../ids.ts";
import { type LoadLimits, totalPermits } from "./limits.ts";
import { type BudgetRow, hasOtherWaiting } from "./row.ts";
import { isReady, type Permit } from "./share.ts";

/** Waiting permit request of an engine owner. */
export type PermitRequest = {
  readonly engine: EngineId;
  readonly urgent: boolean;
};

/** Write whose result is not known yet. */
export type Proposal = {
  readonly base: number | "absent";
  readonly row: BudgetRow;
  /** Removed leases that the write marks as returning. */
  readonly removed: readonly LeaseId[];
  /** Earlier leases of this process whose permits the write takes over. */
  readonly previousLeases: readonly LeaseId[];
};

/** One node's share of the load budget and the state of its calls to the table. */
export type LoadBudgetState = {
  readonly lease: LeaseId | undefined;
  readonly usableUntil: Millis;
  readonly localOwners: number;
  readonly totalOwners: number;
  readonly permits: readonly Permit[];
  /** In order of arrival. */
  readonly requests: readonly PermitRequest[];
  /** Removed leases whose permits are to be marked as returning. */
  readonly removed: readonly LeaseId[];
  /** Earlier leases of this process that the row may still contain; no permit is granted before theirs are taken over. */
  readonly previousLeases: readonly LeaseId[];
  /** Last known content of the row. */
  readonly row: BudgetRow | undefined;
  readonly rowReadAt: Millis;
  readonly call: "none" | "reading" | "writing";
  readonly proposal: Proposal | undefined;
  readonly attempts: number;
  /** Time of the latest request; a row read before it counts as out of date. */
  readonly requestedAt: Millis;
  /** Consecutive failed calls and conflicts. */
  readonly failures: number;
  readonly tableDown: boolean;
  /** No call to the table starts before this time. */
  readonly backoffUntil: Millis;
  /** Random factor of the poll periods, redrawn after each call. */
  readonly pollScale: number;
  /** Permits marked as returning under this lease, and when they may be freed. */
  readonly returning: { readonly count: number; readonly at: Millis };
};

/** Creates the state of a node that has just started. */
export function createLoadBudgetState(): LoadBudgetState {
  const never = millis(Number.NEGATIVE_INFINITY);
  return {
    lease: undefined,
    usableUntil: never,
    localOwners: 0,
    totalOwners: 0,
    permits: [],
    requests: [],
    removed: [],
    previousLeases: [],
    row: undefined,
    rowReadAt: never,
    call: "none",
    proposal: undefined,
    attempts: 0,
    requestedAt: never,
    failures: 0,
    tableDown: false,
    backoffUntil: never,
    pollScale: 1,
    returning: { count: 0, at: never },
  };
}

/** Whether there are more engine owners than permits. */
export function isOversubscribed(state: LoadBudgetState): boolean {
  return state.totalOwners > totalPermits;
}

/** Returns the number of permits that the node keeps even when it does not use them. */
export function countReservedPermits(state: LoadBudgetState): number {
  return isOversubscribed(state) ? 0 : state.localOwners;
}

/** Counts the requests for loads on demand. */
export function countUrgent(state: LoadBudgetState): number {
  return state.requests.filter((request) => request.urgent).length;
}

/** Whether another node waits for a permit, as far as this node knows. */
export function isOtherWaiting(state: LoadBudgetState): boolean {
  return (
    state.row !== undefined &&
    state.lease !== undefined &&
    hasOtherWaiting(state.row, state.lease)
  );
}

/** Whether a used permit must go to a waiting node before it is granted here again. */
export function mustYield(state: LoadBudgetState, permit: Permit): boolean {
  return (
    permit.used &&
    !state.tableDown &&
    state.permits.length > countReservedPermits(state) &&
    isOtherWaiting(state)
  );
}

/** Returns the number of further permits that the node needs and would wait for. */
export function countNeeded(state: LoadBudgetState): number {
  const missing = countReservedPermits(state) - state.permits.length;
  return Math.max(missing, countUrgent(state));
}

/** Returns the number of further permits that the node would take, given the free ones of the row. */
export function countWanted(state: LoadBudgetState): number {
  const prefetch =
    state.requests.length > 0 && hasSpareFreePermits(state) ? 1 : 0;
  return Math.max(countNeeded(state), prefetch);
}

/** Lists the times at which permits become returnable; past ones are returnable now. */
export function listReturnTimes(
  state: LoadBudgetState,
  limits: LoadLimits,
): Millis[] {
  const beyond = state.permits.length - countReservedPermits(state);
  if (beyond <= 0) return [];
  const waited = isOtherWaiting(state);
  if (!waited && isOversubscribed(state)) return [];
  const delay = waited ? 0 : limits.idleReturn;
  return state.permits
    .filter((permit) => permit.engine === undefined && !permit.stopped)
    .map((permit) => millis(permit.refilledAt + delay))
    .sort((a, b) => a - b)
    .slice(0, beyond);
}

/**
 * Estimates the time in ms until the node can start one more load on demand;
 * other nodes use it to route cold requests to where a permit is ready.
 */
export function estimatePermitWait(
  state: LoadBudgetState,
  options: { now: Millis; limits: LoadLimits },
): Millis {
  const { now, limits } = options;
  if (state.lease === undefined || now >= state.usableUntil)
    return limits.maxBackoff;
  const ahead = countUrgent(state);
  const ready = state.permits.filter((permit) => isReady(permit, now)).length;
  if (ready > ahead) return millis(0);
  if (!state.tableDown && (state.row?.free ?? 0) > ahead - ready)
    return limits.minBackoff;
  const times = state.permits
    .filter((permit) => !permit.stopped)
    .map((permit) => Math.max(0, permit.refilledAt - now))
    .sort((a, b) => a - b);
  const rounds = Math.floor(ahead / Math.max(1, times.length));
  const next = times[ahead % Math.max(1, times.length)] ?? limits.refill;
  return millis(next + rounds * limits.refill);
}

/** Whether the row has free permits beyond those reserved for loads on demand. */
function hasSpareFreePermits(state: LoadBudgetState): boolean {
  return (state.row?.free ?? 0) > freeReserve;
}

/** Free permits reserved for loads on demand. */
const freeReserve = 2;
