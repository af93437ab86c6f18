import type { Millis } from "../clock.ts";
import type { BatchUsage } from "./policies.ts";
import type { EngineState, Slot, UsageCount } from "./state.ts";

/** Time after which the recorded number of uses of an adapter halves, in ms. */
const USE_HALF_LIFE = 30_000;

/** Counts a dispatch to the adapter of a slot. */
export function recordSlotUse(
  slot: Slot,
  { long, now }: { long: boolean; now: Millis },
): void {
  slot.uses = { count: decayUses(slot.uses, now) + 1, at: now };
  slot.running++;
  if (long) slot.runningLong++;
}

/** Number of recent uses, halved every `USE_HALF_LIFE`. */
export function decayUses({ count, at }: UsageCount, now: Millis): number {
  return count * 0.5 ** ((now - at) / USE_HALF_LIFE);
}

/** Number of slots whose adapters long work keeps in use. */
export function countLongSlots(state: EngineState): number {
  let count = 0;
  for (const { runningLong } of state.slots.values()) {
    if (runningLong > 0) count++;
  }
  return count;
}

/** Describes the use of the batch to the policies. */
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
