import { refuse } from "../results/refusal.ts";
import { type EventContext, recordEvent, refuseAllQueued } from "./context.ts";
import type { EngineEvent } from "./messages.ts";
import { requestReport } from "./reports.ts";

/** Applies a new or renewed lease on the engine. */
export function applyOwnership(
  context: EventContext,
  event: Extract<EngineEvent, { type: "ownership" }>,
): void {
  const { state } = context;
  const { fence, orderUntil, dispatchUntil, settledAt } = event;
  const previous = state.ownership?.fence ?? state.refusedFence;
  if (previous !== undefined && fence < previous) return;
  if (state.refusedFence !== undefined && fence <= state.refusedFence) return;
  const renewed = state.ownership?.fence === fence;
  state.ownership = { fence, orderUntil, dispatchUntil, settledAt };
  if (renewed) return;
  recordEvent(context, "engineOwned");
  state.reachability = "unknown";
  state.fenceConfirmation = { kind: "none" };
  state.permits.urgent = 0;
  state.permits.deferred = 0;
  for (const slot of [...state.slots.values()]) {
    if (slot.phase === "loaded") slot.inherited = true;
  }
  requestReport(context, { decisive: true });
}

/** Ends the ownership: no more orders are sent and queued work is refused; running streams continue. */
export function loseOwnership(context: EventContext): void {
  const { state } = context;
  if (state.ownership === undefined) return;
  state.refusedFence = state.ownership.fence;
  state.ownership = undefined;
  state.reachability = "unknown";
  recordEvent(context, "engineReleased");
  refuseAllQueued(
    context,
    refuse("notOwner", `This node no longer owns ${state.identity.engine}`),
  );
}
