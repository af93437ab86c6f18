import type { Millis } from "../clock.ts";
import type { Slot } from "./state.ts";

/** Time after which the recorded number of uses of an adapter halves, in ms. */
const USE_HALF_LIFE = 30_000;

/** Counts a dispatch to the adapter of a slot. */
export function useSlot(slot: Slot, now: Millis): void {
  slot.uses = decayUses(slot, now) + 1;
  slot.lastUsedAt = now;
  slot.running++;
}

/** Number of recent uses of a slot, halved every `USE_HALF_LIFE`. */
export function decayUses(slot: Slot, now: Millis): number {
  return slot.uses * 0.5 ** ((now - slot.lastUsedAt) / USE_HALF_LIFE);
}
