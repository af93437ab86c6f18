import type { LeaseId } from "../ids.ts";
import type { LoadBudgetEvent } from "./messages.ts";
import type { LoadBudgetState } from "./state.ts";

/** Leases that wait to be marked as returning at one node. */
const removedLimit = 64;

/**
 * A new lease takes over the permits of the earlier one of the same process,
 * which knows what it started under it; the wait for a dead node's loads is
 * not needed.
 */
export function applyLease(
  state: LoadBudgetState,
  event: Extract<LoadBudgetEvent, { type: "lease" }>,
): LoadBudgetState {
  const { lease, usableUntil } = event;
  const earlier = state.lease;
  if (earlier === undefined || earlier === lease || !isInRow(state, earlier))
    return { ...state, lease, usableUntil };
  const previousLeases = state.previousLeases.includes(earlier)
    ? state.previousLeases
    : [...state.previousLeases, earlier];
  return { ...state, lease, usableUntil, previousLeases, proposal: undefined };
}

/** Whether the row names the lease or may do so after a write without a known result. */
function isInRow(state: LoadBudgetState, lease: LeaseId): boolean {
  return (
    state.permits.length > 0 ||
    state.previousLeases.length > 0 ||
    state.proposal !== undefined ||
    state.returning.count > 0 ||
    state.row?.waiting.includes(lease) === true
  );
}

/** Notes that the permits of a removed lease are to be marked as returning. */
export function addRemovedLease(
  state: LoadBudgetState,
  lease: LeaseId,
): LoadBudgetState {
  const full = state.removed.length >= removedLimit;
  if (full || state.removed.includes(lease)) return state;
  return { ...state, removed: [...state.removed, lease] };
}
