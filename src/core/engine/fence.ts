import type { AdapterKey, FencingNumber } from "../ids.ts";
import { mayOrder, type Turn } from "./turn.ts";

/**
 * Makes sure that the engine refuses orders of earlier owners before anything
 * is evicted: an engine that checks fencing numbers is sent a load of an
 * adapter that it holds already; one that ignores them is given time.
 */
export function announceFence(turn: Turn): void {
  const { state, now } = turn;
  const { ownership, identity } = state;
  if (ownership === undefined || state.announcement.kind !== "none") return;
  if (identity.limits.fencing === "ignored") {
    if (now < ownership.settledAt) return;
    state.announcement = { kind: "accepted", at: ownership.settledAt };
    return;
  }
  const adapter = findHeld(turn);
  if (adapter === undefined) return;
  state.announcement = { kind: "sent", adapter };
  turn.commands.push({
    type: "load",
    adapter,
    fence: ownership.fence,
    validUntil: ownership.orderUntil,
  });
}

/** Adapter that the engine holds, to be named in the announcing order. */
function findHeld(turn: Turn): AdapterKey | undefined {
  const { state, now } = turn;
  if (state.contact !== "up" || !mayOrder(turn)) return undefined;
  for (const { adapter, phase } of state.slots.values()) {
    const delayed = (state.backoffs.get(adapter)?.retryAt ?? now) > now;
    if (phase === "loaded" && !delayed) return adapter;
  }
  return undefined;
}

/** Notes that the engine has accepted an order under a fencing number. */
export function acceptAnnouncement(
  { state, now }: Turn,
  fence: FencingNumber | undefined,
): void {
  const { kind } = state.announcement;
  if (fence === undefined || fence !== state.ownership?.fence) return;
  if (state.identity.limits.fencing === "ignored") return;
  if (kind === "accepted" || kind === "confirmed") return;
  state.announcement = { kind: "accepted", at: now };
}
