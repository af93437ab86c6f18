import { type Millis, millis } from "../clock.ts";
import type { ModelAdapterKey, ModelName } from "../ids.ts";
import {
  type AdapterSlot,
  countAdapterCapacity,
  countLoading,
} from "./engine_contents.ts";
import type {
  EngineControllerState,
  PendingLoad,
} from "./engine_controller_messages.ts";
import type { EngineOrder } from "./orders.ts";

/** Adapters that may be on their way to one engine at once. */
export const maxConcurrentLoads = 4;

/** The order that helps the longest waiting request, if any may be given now. */
export function chooseNextOrder(
  state: EngineControllerState,
  orderCount: number,
  now: Millis,
): EngineOrder | undefined {
  const { contents, waiting } = state;
  const missing = findMissingModel(state);
  if (missing !== undefined) return orderModel(missing, orderCount);
  const capacity = countAdapterCapacity(contents, state.traits);
  // Adapters of which it is not known whether they are still there count too.
  if (contents.adapterSlots.size > capacity) return undefined;
  for (const [key, wanted] of waiting) {
    const readyAt = contents.models.get(wanted.model);
    if (readyAt === undefined || readyAt > now) continue;
    const place = contents.adapterSlots.get(key);
    const isOpen = place === undefined || place.phase === "held";
    if (!isOpen && !state.unansweredOrders.has(key)) continue;
    if (countLoading(contents, now) >= maxConcurrentLoads) return undefined;
    if (place !== undefined) {
      // Reports from before this order no longer tell that the place is free.
      place.missingSince = undefined;
      return orderLoad(wanted, orderCount);
    }
    if (contents.adapterSlots.size < capacity) {
      contents.adapterSlots.set(key, createPlace(key, wanted, now));
      return orderLoad(wanted, orderCount);
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

/** An unload without an answer is repeated before another adapter is given up. */
function chooseVictim(
  state: EngineControllerState,
  now: Millis,
): AdapterSlot | undefined {
  const { contents, policies, unansweredOrders: unanswered } = state;
  for (const [key, { operation }] of unanswered) {
    const place = contents.adapterSlots.get(key);
    if (operation === "unload" && place !== undefined) return place;
  }
  return policies.chooseVictim(contents.adapterSlots.values(), now);
}

/** Place of an adapter whose load is ordered; its time is set once the engine accepts. */
function createPlace(
  key: ModelAdapterKey,
  wanted: PendingLoad,
  now: Millis,
): AdapterSlot {
  return {
    key,
    model: wanted.model,
    adapter: wanted.adapter,
    version: wanted.version,
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

/** A base model that the engine should hold and does not, if it fits. */
function findMissingModel(state: EngineControllerState): ModelName | undefined {
  const { contents, traits, waiting } = state;
  for (const { model } of waiting.values()) {
    if (!contents.models.has(model) && fits(state, model)) return model;
  }
  if (contents.models.size > 0) return undefined;
  return traits.models.find(({ name }) => fits(state, name))?.name;
}

function fits(state: EngineControllerState, model: ModelName): boolean {
  const { contents, traits } = state;
  let free = traits.weightsMb;
  for (const { name, weightsMb, adapterMb } of traits.models) {
    if (contents.models.has(name)) free -= weightsMb;
    for (const place of contents.adapterSlots.values()) {
      if (place.model === name) free -= adapterMb;
    }
  }
  const wanted = traits.models.find(({ name }) => name === model);
  return wanted !== undefined && wanted.weightsMb <= free;
}

function orderModel(model: ModelName, expectedCount: number): EngineOrder {
  return {
    operation: "load",
    model,
    adapter: undefined,
    version: undefined,
    expectedCount,
  };
}

function orderLoad(wanted: PendingLoad, expectedCount: number): EngineOrder {
  return {
    operation: "load",
    model: wanted.model,
    adapter: wanted.adapter,
    version: wanted.version > 0 ? wanted.version : undefined,
    expectedCount,
  };
}
