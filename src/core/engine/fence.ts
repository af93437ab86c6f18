import type { AdapterKey, FencingNumber } from "../ids.ts";
import { type EventContext, mayOrder } from "./context.ts";

/**
 * Ensures that orders of earlier owners have no effect before anything is
 * evicted. An engine that checks fencing numbers receives a load of an adapter
 * that it already holds, under the new number. For an engine that ignores
 * them, the owner waits until `settledAt`.
 */
export function establishFence(context: EventContext): void {
  const { state, now } = context;
  const { ownership, identity } = state;
  if (ownership === undefined || state.fenceConfirmation.kind !== "none")
    return;
  if (identity.limits.fencing === "ignored") {
    if (now < ownership.settledAt) return;
    state.fenceConfirmation = { kind: "accepted", at: ownership.settledAt };
    return;
  }
  const adapter = findLoadedAdapter(context);
  if (adapter === undefined) return;
  state.fenceConfirmation = { kind: "sent", adapter };
  context.commands.push({
    type: "load",
    adapter,
    fence: ownership.fence,
    validUntil: ownership.orderUntil,
  });
}

/** Finds a loaded adapter for the load that establishes the fencing number. */
function findLoadedAdapter(context: EventContext): AdapterKey | undefined {
  const { state, now } = context;
  if (state.reachability !== "up" || !mayOrder(context)) return undefined;
  for (const { adapter, phase } of state.slots.values()) {
    const delayed = (state.backoffs.get(adapter)?.retryAt ?? now) > now;
    if (phase === "loaded" && !delayed) return adapter;
  }
  return undefined;
}

/** Records that the engine has accepted an order under a fencing number. */
export function markFenceAccepted(
  { state, now }: EventContext,
  fence: FencingNumber | undefined,
): void {
  const { kind } = state.fenceConfirmation;
  if (fence === undefined || fence !== state.ownership?.fence) return;
  if (state.identity.limits.fencing === "ignored") return;
  if (kind === "accepted" || kind === "confirmed") return;
  state.fenceConfirmation = { kind: "accepted", at: now };
}
