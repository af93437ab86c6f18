import { type Millis, millis } from "../clock.ts";
import type { ModelAdapterKey, ModelName } from "../ids.ts";
import { countCapacity, countLoading, type Place } from "./engine_places.ts";
import type { KeeperState, WaitingPlace } from "./keeper_messages.ts";
import type { EngineOrder } from "./orders.ts";

/** Adapters that may be on their way to one engine at once. */
export const maxLoading = 4;

/** The order that helps the longest waiting request, if any may be given now. */
export function chooseNextOrder(
  state: KeeperState,
  orderCount: number,
  now: Millis,
): EngineOrder | undefined {
  const { contents, waiting } = state;
  const missing = findMissingModel(state);
  if (missing !== undefined) return orderModel(missing, orderCount);
  const capacity = countCapacity(contents, state.traits);
  // Adapters of which it is not known whether they are still there count too.
  if (contents.places.size > capacity) return undefined;
  for (const [key, wanted] of waiting) {
    const readyAt = contents.models.get(wanted.model);
    if (readyAt === undefined || readyAt > now) continue;
    const place = contents.places.get(key);
    const isOpen = place === undefined || place.phase === "held";
    if (!isOpen && !state.unanswered.has(key)) continue;
    if (countLoading(contents, now) >= maxLoading) return undefined;
    if (place !== undefined) {
      // Reports from before this order no longer tell that the place is free.
      place.missedAt = undefined;
      return orderLoad(wanted, orderCount);
    }
    if (contents.places.size < capacity) {
      contents.places.set(key, createPlace(key, wanted, now));
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
function chooseVictim(state: KeeperState, now: Millis): Place | undefined {
  const { contents, policies, unanswered } = state;
  for (const [key, { operation }] of unanswered) {
    const place = contents.places.get(key);
    if (operation === "unload" && place !== undefined) return place;
  }
  return policies.chooseVictim(contents.places.values(), now);
}

/** Place of an adapter whose load is ordered; its time is set once the engine accepts. */
function createPlace(
  key: ModelAdapterKey,
  wanted: WaitingPlace,
  now: Millis,
): Place {
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
    missedAt: undefined,
  };
}

/** A base model that the engine should hold and does not, if it fits. */
function findMissingModel(state: KeeperState): ModelName | undefined {
  const { contents, traits, waiting } = state;
  for (const { model } of waiting.values()) {
    if (!contents.models.has(model) && fits(state, model)) return model;
  }
  if (contents.models.size > 0) return undefined;
  return traits.models.find(({ name }) => fits(state, name))?.name;
}

function fits(state: KeeperState, model: ModelName): boolean {
  const { contents, traits } = state;
  let free = traits.weightsMb;
  for (const { name, weightsMb, adapterMb } of traits.models) {
    if (contents.models.has(name)) free -= weightsMb;
    for (const place of contents.places.values()) {
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

function orderLoad(wanted: WaitingPlace, expectedCount: number): EngineOrder {
  return {
    operation: "load",
    model: wanted.model,
    adapter: wanted.adapter,
    version: wanted.version > 0 ? wanted.version : undefined,
    expectedCount,
  };
}
