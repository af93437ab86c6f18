import type { EventContext } from "./context.ts";
import type { Victim } from "./policies.ts";
import { decayUses } from "./slots.ts";
import type { Slot } from "./state.ts";

/** Time without use after which an adapter may be evicted for a prefetch, in ms. */
const IDLE_BEFORE_PREFETCH = 10_000;

/** Chooses the slot to evict among those that no request needs. */
export function chooseSlotToEvict(
  context: EventContext,
  { onDemand }: { onDemand: boolean },
): Slot | undefined {
  const candidates = listVictims(context, { onDemand });
  if (candidates.length === 0) return undefined;
  return context.state.slots.get(context.policies.chooseVictim(candidates));
}

/** Lists the adapters that may be evicted; for a prefetch, only idle ones that are not placed here. */
export function listVictims(
  context: EventContext,
  { onDemand }: { onDemand: boolean },
): Victim[] {
  const { state, now } = context;
  if (state.fenceConfirmation.kind !== "confirmed") return [];
  const victims: Victim[] = [];
  for (const slot of state.slots.values()) {
    if (!isUnused(context, slot)) continue;
    const placed = state.placement.includes(slot.adapter);
    const idle = now - slot.uses.at >= IDLE_BEFORE_PREFETCH;
    if (!onDemand && (placed || !idle)) continue;
    victims.push({
      adapter: slot.adapter,
      lastUsedAt: slot.uses.at,
      uses: decayUses(slot.uses, now),
      placed,
    });
  }
  return victims;
}

/** Whether no request is queued for the adapter or runs, or may still run, on it. */
function isUnused({ state, now }: EventContext, slot: Slot): boolean {
  if (slot.phase !== "loaded" || slot.running > 0) return false;
  if (now < slot.evictableAt) return false;
  if (state.queue.byAdapter.has(slot.adapter)) return false;
  if (state.inheritedRunning > 0) {
    const fenced = state.identity.limits.fencing === "checked";
    if (slot.inherited || !fenced) return false;
  }
  for (const { adapter } of state.unconfirmed.values()) {
    if (adapter === slot.adapter) return false;
  }
  return true;
}
