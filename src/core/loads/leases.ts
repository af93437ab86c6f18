import type { LeaseId } from "../ids.ts";
import type { LoadBudgetEvent } from "./messages.ts";
import type { LoadBudgetState } from "./state.ts";

/** Maximum number of removed leases that one node queues to be marked as returning. */
const removedLimit = 64;

/**
 * Applies a new or renewed lease. A new lease takes over the permits of the
 * earlier one of the same process. The process knows which loads it started,
 * so that it need not wait for them as for those of a dead node.
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

/** Whether the row contains the lease, or may after a write whose result is unknown. */
function isInRow(state: LoadBudgetState, lease: LeaseId): boolean {
  return (
    state.permits.length > 0 ||
    state.previousLeases.length > 0 ||
    state.proposal !== undefined ||
    state.returning.count > 0 ||
    state.row?.waiting.includes(lease) === true
  );
}

/** Queues a removed lease so that its permits are marked as returning. */
export function addRemovedLease(
  state: LoadBudgetState,
  lease: LeaseId,
): LoadBudgetState {
  const full = state.removed.length >= removedLimit;
  if (full || state.removed.includes(lease)) return state;
  return { ...state, removed: [...state.removed, lease] };
}
