import { type Millis, millis } from "../clock.ts";
import { formatModelAdapterKey, type ModelAdapterKey } from "../ids.ts";
import type { ControllerStep } from "./engine_controller_acquire.ts";
import type { EngineControllerState } from "./engine_controller_messages.ts";
import type { EngineOrder, OrderAnswer } from "./orders.ts";

/** Shortest expected time of an adapter load from the weight store, in ms. */
export const minColdLoadTime = 265;
/** Expected time of a load of an adapter that the engine held earlier, in ms. */
const warmLoadTime = 45;
/** Part of its excess that the expected load time loses with each load. */
const loadTimeDecay = 0.1;
/** Pause after an answer that calls for another try, in ms. */
export const conflictRetryDelay = 120;
const rejectionPause = 500;
/** Time that an unload which waits for running requests may take, in ms. */
export const maxUnloadTime = 4_000;

/** Takes over how an engine answered an order. */
export function applyAnswer(
  state: EngineControllerState,
  { order, answer }: { order: EngineOrder; answer: OrderAnswer },
  step: ControllerStep,
): void {
  if (state.orderInFlight !== order) return;
  state.orderInFlight = undefined;
  switch (answer.kind) {
    case "accepted":
      countOrder(state, order, step.now);
      return applyOrder(state, { order, isDone: false }, step);
    case "done":
      // An unload that is done at once counts; a load that holds already does not.
      if (order.operation === "unload") countOrder(state, order, step.now);
      return applyOrder(state, { order, isDone: true }, step);
    case "lost":
      noteUnanswered(state, order);
      state.orderCount = undefined;
      state.retryAt = millis(step.now + conflictRetryDelay);
      return;
    case "unreachable":
      withdrawOrder(state, order, step.now);
      state.retryAt = millis(step.now + conflictRetryDelay);
      return;
    case "conflict":
      withdrawOrder(state, order, step.now);
      state.orderCount = undefined;
      state.retryAt = millis(step.now + conflictRetryDelay);
      return;
    case "rejected":
      withdrawOrder(state, order, step.now);
      state.orderCount = undefined;
      state.retryAt = millis(step.now + rejectionPause);
      return;
  }
}

function noteUnanswered(
  state: EngineControllerState,
  order: EngineOrder,
): void {
  if (order.adapter === undefined) return;
  state.unansweredOrders.set(
    formatModelAdapterKey(order.model, order.adapter),
    order,
  );
}

/**
 * Counts an accepted order. Earlier orders without an answer had the same
 * expected count, so the engine will not carry them out any more.
 */
function countOrder(
  state: EngineControllerState,
  order: EngineOrder,
  now: Millis,
): void {
  const earlier = [...state.unansweredOrders.values()];
  state.unansweredOrders.clear();
  for (const unanswered of earlier) {
    const isOther =
      unanswered.model !== order.model || unanswered.adapter !== order.adapter;
    if (isOther) withdrawOrder(state, unanswered, now);
  }
  state.orderCount = order.expectedCount + 1;
  state.highestOrderCount = state.orderCount;
}

function applyOrder(
  state: EngineControllerState,
  { order, isDone }: { order: EngineOrder; isDone: boolean },
  { now, commands }: ControllerStep,
): void {
  const { contents } = state;
  const { model, adapter } = order;
  if (adapter === undefined) {
    const traits = state.traits.models.find(({ name }) => name === model);
    const loadTime = isDone ? 0 : (traits?.loadTime ?? 0);
    if (order.operation === "load") {
      contents.models.set(model, millis(now + loadTime));
    } else {
      contents.models.delete(model);
    }
    return;
  }
  const key = formatModelAdapterKey(model, adapter);
  if (order.operation === "load") {
    return finishLoad(state, { order, key, isDone }, { now, commands });
  }
  const place = contents.adapterSlots.get(key);
  if (place === undefined) return;
  contents.previouslyHeld.add(key);
  if (isDone) contents.adapterSlots.delete(key);
  else place.readyAt = millis(now + maxUnloadTime);
}

/** The place of an accepted load counts whether or not anyone still waits for it. */
function finishLoad(
  state: EngineControllerState,
  load: { order: EngineOrder; key: ModelAdapterKey; isDone: boolean },
  { now, commands }: ControllerStep,
): void {
  const { order, key, isDone } = load;
  const place = state.contents.adapterSlots.get(key);
  if (place === undefined) return;
  const loadTime = isDone ? 0 : estimateLoadTime(state, key);
  place.phase = isDone ? "held" : "loading";
  place.readyAt = millis(now + loadTime);
  place.usedAt = place.readyAt;
  place.orderedAt = now;
  place.isConfirmed = isDone;
  place.missingSince = undefined;
  place.version = Math.max(place.version, order.version ?? 0);
  const waiting = state.waiting.get(key);
  if (waiting === undefined || place.version < waiting.version) return;
  state.waiting.delete(key);
  for (const ticket of waiting.tickets) {
    const reply = { kind: "ready", inMs: loadTime } as const;
    commands.push({ type: "reply", ticket, reply });
  }
}

/** Undoes what was noted for an order that the engine has not accepted. */
function withdrawOrder(
  state: EngineControllerState,
  order: EngineOrder,
  now: Millis,
): void {
  const { model, adapter } = order;
  if (adapter === undefined) return;
  const key = formatModelAdapterKey(model, adapter);
  // A repeat that is not accepted tells nothing about the first order.
  if (state.unansweredOrders.has(key)) return;
  const place = state.contents.adapterSlots.get(key);
  if (place === undefined || Number.isFinite(place.readyAt)) return;
  // A load may have followed an unload without an answer; the adapter is then still held.
  if (place.phase === "loading") {
    state.contents.adapterSlots.delete(key);
    return;
  }
  place.phase = "held";
  place.readyAt = now;
}

/** Expected time of a load; an excess learned under contention fades with each load. */
function estimateLoadTime(
  state: EngineControllerState,
  key: ModelAdapterKey,
): number {
  if (state.contents.previouslyHeld.has(key)) return warmLoadTime;
  const excess = state.coldLoadTime - minColdLoadTime;
  state.coldLoadTime = minColdLoadTime + excess * (1 - loadTimeDecay);
  return state.coldLoadTime;
}
