import type { AdapterKey, FencingNumber } from "../ids.ts";
import { type DecisionContext, mayOrder } from "./context.ts";

/**
 * Makes sure that the engine refuses orders of earlier owners before anything
 * is evicted: an engine that checks fencing numbers is sent a load of an
 * adapter that it holds already; one that ignores them is given time.
 */
export function establishFence(context: DecisionContext): void {
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

/** Adapter that the engine holds, to be named in the announcing order. */
function findLoadedAdapter(context: DecisionContext): AdapterKey | undefined {
  const { state, now } = context;
  if (state.reachability !== "up" || !mayOrder(context)) return undefined;
  for (const { adapter, phase } of state.slots.values()) {
    const delayed = (state.backoffs.get(adapter)?.retryAt ?? now) > now;
    if (phase === "loaded" && !delayed) return adapter;
  }
  return undefined;
}

/** Notes that the engine has accepted an order under a fencing number. */
export function markFenceAccepted(
  { state, now }: DecisionContext,
  fence: FencingNumber | undefined,
): void {
  const { kind } = state.fenceConfirmation;
  if (fence === undefined || fence !== state.ownership?.fence) return;
  if (state.identity.limits.fencing === "ignored") return;
  if (kind === "accepted" || kind === "confirmed") return;
  state.fenceConfirmation = { kind: "accepted", at: now };
}
