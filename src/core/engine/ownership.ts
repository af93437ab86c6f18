import { refuse } from "../results/refusal.ts";
import type { EngineEvent } from "./messages.ts";
import { askForReport } from "./reporting.ts";
import { handBackAll, record, type Turn } from "./turn.ts";

/** Takes a lease on the engine, or a renewal of it. */
export function takeOwnership(
  turn: Turn,
  event: Extract<EngineEvent, { type: "ownership" }>,
): void {
  const { state } = turn;
  const { fence, orderUntil, dispatchUntil, settledAt } = event;
  const previous = state.ownership?.fence ?? state.refusedFence;
  if (previous !== undefined && fence < previous) return;
  if (state.refusedFence !== undefined && fence <= state.refusedFence) return;
  const renewed = state.ownership?.fence === fence;
  state.ownership = { fence, orderUntil, dispatchUntil, settledAt };
  if (renewed) return;
  record(turn, "engineOwned");
  state.contact = "unknown";
  state.announcement = { kind: "none" };
  state.permits.urgent = 0;
  state.permits.deferred = 0;
  for (const slot of [...state.slots.values()]) {
    if (slot.phase === "loaded") slot.inherited = true;
  }
  askForReport(turn, { decisive: true });
}

/** Stops giving orders; running streams go on. */
export function loseOwnership(turn: Turn): void {
  const { state } = turn;
  if (state.ownership === undefined) return;
  state.refusedFence = state.ownership.fence;
  state.ownership = undefined;
  state.contact = "unknown";
  record(turn, "engineReleased");
  handBackAll(
    turn,
    refuse("notOwner", `This node no longer owns ${state.identity.engine}`),
  );
}
