import type { Millis } from "../clock.ts";
import type { BatchUsage } from "./policies.ts";
import type { EngineState, Slot, UsageCount } from "./state.ts";

/** Half-life of the use counts, in ms. */
const USE_HALF_LIFE = 30_000;

/** Records a dispatch to the adapter of a slot. */
export function recordSlotUse(
  slot: Slot,
  { long, now }: { long: boolean; now: Millis },
): void {
  slot.uses = { count: decayUses(slot.uses, now) + 1, at: now };
  slot.running++;
  if (long) slot.runningLong++;
}

/** Returns the use count decayed to `now`. */
export function decayUses({ count, at }: UsageCount, now: Millis): number {
  return count * 0.5 ** ((now - at) / USE_HALF_LIFE);
}

/** Counts the slots whose adapters long work keeps in use. */
export function countLongSlots(state: EngineState): number {
  let count = 0;
  for (const { runningLong } of state.slots.values()) {
    if (runningLong > 0) count++;
  }
  return count;
}

/** Returns the batch usage that the policies are given. */
export function getBatchUsage(state: EngineState): BatchUsage {
  return {
    batch: state.identity.limits.batch,
    shortWaiting: countShortWaiting(state),
    shortRunning: state.running.size - state.runningLong,
  };
}

function countShortWaiting({ slots, queue }: EngineState): number {
  let count = 0;
  for (const { adapter, phase } of slots.values()) {
    if (phase !== "loaded") continue;
    count += queue.byAdapter.get(adapter)?.short.length ?? 0;
  }
  return count;
}
