import { type Millis, millis } from "../clock.ts";
import type { ModelAdapterKey } from "../ids.ts";
import {
  type AdapterSlot,
  countAdapterCapacity,
  countLoading,
} from "./engine_contents.ts";
import type {
  EngineControllerState,
  PendingLoad,
} from "./engine_controller_messages.ts";
import {
  chooseModelOrder,
  isModelLeaving,
} from "./engine_controller_models.ts";
import { compareLoadTurns } from "./load_urgency.ts";
import type { EngineOrder } from "./orders.ts";

/** Maximum number of adapters that one engine loads at a time. */
export const maxConcurrentLoads = 4;

/** Pending loads in the order in which they are to begin. */
export function listPendingLoads(
  { waiting }: EngineControllerState,
  now: Millis,
): [ModelAdapterKey, PendingLoad][] {
  return [...waiting].sort(([, a], [, b]) =>
    compareLoadTurns(a.turn, b.turn, now),
  );
}

/** Chooses the order that serves the most urgent request; undefined if none may be sent now. */
export function chooseNextOrder(
  state: EngineControllerState,
  orderCount: number,
  now: Millis,
): EngineOrder | undefined {
  const { contents } = state;
  const modelOrder = chooseModelOrder(state, orderCount, now);
  if (modelOrder !== undefined) return modelOrder;
  // The engine refuses other orders while it loads or unloads a model.
  if (contents.loadingModels.size + contents.unloadingModels.size > 0)
    return undefined;
  const capacity = countAdapterCapacity(contents, state.traits);
  // Adapters that the engine may no longer hold count as well.
  if (contents.adapterSlots.size > capacity) return undefined;
  for (const [key, pending] of listPendingLoads(state, now)) {
    const readyAt = contents.models.get(pending.model);
    if (readyAt === undefined || readyAt > now) continue;
    if (isModelLeaving(state, pending.model)) continue;
    const slot = contents.adapterSlots.get(key);
    const isLoadable = slot === undefined || slot.phase === "held";
    if (!isLoadable && !state.unansweredOrders.has(key)) continue;
    if (countLoading(contents, now) >= maxConcurrentLoads) return undefined;
    if (slot !== undefined) {
      // Reports from before this order no longer show that the slot is free.
      slot.missingSince = undefined;
      return orderLoad(pending, orderCount);
    }
    if (contents.adapterSlots.size < capacity) {
      contents.adapterSlots.set(key, createSlot(key, pending, now));
      return orderLoad(pending, orderCount);
    }
    const victim = chooseVictim(state, now);
    if (victim === undefined) return undefined;
    victim.phase = "unloading";
    victim.readyAt = Number.POSITIVE_INFINITY as Millis;
    return {
      operation: "unload",
      model: victim.model,
      adapter: victim.adapter,
      version: undefined,
      expectedCount: orderCount,
    };
  }
  return undefined;
}

/** Chooses the adapter to unload; an unload without an answer is repeated before another adapter is evicted. */
function chooseVictim(
  state: EngineControllerState,
  now: Millis,
): AdapterSlot | undefined {
  const { contents, policies, unansweredOrders } = state;
  for (const [key, { operation }] of unansweredOrders) {
    const slot = contents.adapterSlots.get(key);
    if (operation === "unload" && slot !== undefined) return slot;
  }
  return policies.chooseVictim(contents.adapterSlots.values(), now);
}

/** Creates the slot of an adapter whose load is ordered; `readyAt` is set once the engine accepts the order. */
function createSlot(
  key: ModelAdapterKey,
  pending: PendingLoad,
  now: Millis,
): AdapterSlot {
  return {
    key,
    model: pending.model,
    adapter: pending.adapter,
    version: pending.version,
    phase: "loading",
    readyAt: millis(Number.POSITIVE_INFINITY),
    usedAt: now,
    usedBy: new Set(),
    isReleased: false,
    orderedAt: now,
    isConfirmed: false,
    missingSince: undefined,
  };
}

function orderLoad(pending: PendingLoad, expectedCount: number): EngineOrder {
  return {
    operation: "load",
    model: pending.model,
    adapter: pending.adapter,
    version: pending.version > 0 ? pending.version : undefined,
    expectedCount,
  };
}
