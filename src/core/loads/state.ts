import { type Millis, millis } from "../clock.ts";
import type { EngineId, LeaseId } from "../ids.ts";
import { type LoadLimits, totalPermits } from "./limits.ts";
import { type BudgetRow, hasOtherWaiting } from "./row.ts";
import { isReady, type Permit } from "./share.ts";

/** A permit request of an engine owner that waits. */
export type PermitRequest = {
  readonly engine: EngineId;
  readonly urgent: boolean;
};

/** A write whose result is not known yet. */
export type Proposal = {
  readonly base: number | "absent";
  readonly row: BudgetRow;
  /** Removed leases that the write marks as returning. */
  readonly removed: readonly LeaseId[];
  /** Earlier leases of this process whose permits the write takes over. */
  readonly previousLeases: readonly LeaseId[];
};

/** One node's share of the load budget and its dealings with the row. */
export type LoadBudgetState = {
  readonly lease: LeaseId | undefined;
  readonly usableUntil: Millis;
  readonly localOwners: number;
  readonly totalOwners: number;
  readonly permits: readonly Permit[];
  /** In order of arrival. */
  readonly requests: readonly PermitRequest[];
  /** Leases whose permits are to be marked as returning. */
  readonly removed: readonly LeaseId[];
  /** Earlier leases of this process that the row may still name; no permit is granted before their permits are taken over. */
  readonly previousLeases: readonly LeaseId[];
  /** Content of the row as last known. */
  readonly row: BudgetRow | undefined;
  readonly rowReadAt: Millis;
  readonly call: "none" | "reading" | "writing";
  readonly proposal: Proposal | undefined;
  readonly attempts: number;
  /** Time of the latest request, which justifies a read of the row. */
  readonly requestedAt: Millis;
  /** Failed calls and conflicts in succession. */
  readonly failures: number;
  readonly tableDown: boolean;
  /** No call to the table starts before this time. */
  readonly backoffUntil: Millis;
  /** Random factor of the poll periods, drawn anew after each call. */
  readonly pollScale: number;
  /** Permits marked as returning under this lease, and when they may be freed. */
  readonly returning: { readonly count: number; readonly at: Millis };
};

/** State of a node that has just started. */
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

/** Permits that the node keeps even when it does not use them. */
export function countReservedPermits(state: LoadBudgetState): number {
  return isOversubscribed(state) ? 0 : state.localOwners;
}

/** Requests for loads that someone waits for. */
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

/** Whether a used permit goes to a waiting node before it is used here again. */
export function mustYield(state: LoadBudgetState, permit: Permit): boolean {
  return (
    permit.used &&
    !state.tableDown &&
    state.permits.length > countReservedPermits(state) &&
    isOtherWaiting(state)
  );
}

/** Permits that the node needs and would wait for. */
export function countNeeded(state: LoadBudgetState): number {
  const missing = countReservedPermits(state) - state.permits.length;
  return Math.max(missing, countUrgent(state));
}

/** Permits that the node wants beyond those it holds, given the free ones of the row. */
export function countWanted(state: LoadBudgetState): number {
  const prefetch =
    state.requests.length > 0 && hasSpareFreePermits(state) ? 1 : 0;
  return Math.max(countNeeded(state), prefetch);
}

/** Times at which permits become returnable; those in the past are returnable now. */
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
 * Expected wait in ms until the node can start one more load on demand;
 * other nodes use it to send cold requests where a permit is ready.
 */
export function estimatePermitWait(
  state: LoadBudgetState,
  options: { now: Millis; limits: LoadLimits },
): Millis {
  const { now, limits } = options;
  if (state.lease === undefined || now >= state.usableUntil)
    return limits.longestBackoff;
  const ahead = countUrgent(state);
  const ready = state.permits.filter((permit) => isReady(permit, now)).length;
  if (ready > ahead) return millis(0);
  if (!state.tableDown && (state.row?.free ?? 0) > ahead - ready)
    return limits.firstBackoff;
  const times = state.permits
    .filter((permit) => !permit.stopped)
    .map((permit) => Math.max(0, permit.refilledAt - now))
    .sort((a, b) => a - b);
  const rounds = Math.floor(ahead / Math.max(1, times.length));
  const next = times[ahead % Math.max(1, times.length)] ?? limits.refill;
  return millis(next + rounds * limits.refill);
}

/** Free permits beyond those left for loads on demand. */
function hasSpareFreePermits(state: LoadBudgetState): boolean {
  return (state.row?.free ?? 0) > freeReserve;
}

/** Free permits that prefetches leave for loads on demand. */
const freeReserve = 2;
