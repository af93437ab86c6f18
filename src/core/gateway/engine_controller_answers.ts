import { type Millis, millis } from "../clock.ts";
import { formatModelAdapterKey, type ModelAdapterKey } from "../ids.ts";
import type { EventContext } from "./engine_controller_acquire.ts";
import type { EngineControllerState } from "./engine_controller_messages.ts";
import {
  abandonModelChange,
  applyModelOrder,
} from "./engine_controller_models.ts";
import type { EngineOrder, OrderAnswer } from "./orders.ts";

/** Minimum expected time of an adapter load from the weight store, in ms. */
export const minColdLoadTime = 265;
/** Expected time to load an adapter that the engine held before, in ms. */
const cachedLoadTime = 45;
/** Share of its excess over the usual time that the expected load time loses with each load. */
const loadTimeDecay = 0.1;
/** The same for the excess of the usual time over the minimum, since each denial costs a retry. */
const usualTimeDecay = 0.005;
/** Delay after an answer that requires another attempt, in ms. */
export const conflictRetryDelay = 120;
const rejectionRetryDelay = 500;
/** Maximum time of an unload, which waits for running requests, in ms. */
export const maxUnloadTime = 4_000;

/** Applies an engine's answer to an order. */
export function applyAnswer(
  state: EngineControllerState,
  { order, answer }: { order: EngineOrder; answer: OrderAnswer },
  context: EventContext,
): void {
  if (state.orderInFlight !== order) return;
  state.orderInFlight = undefined;
  switch (answer.kind) {
    case "accepted":
      countOrder(state, order, context.now);
      return applyOrder(state, { order, isDone: false }, context);
    case "done":
      // The engine counts an unload that is done at once, but not a load of an adapter that it already holds.
      if (order.operation === "unload") countOrder(state, order, context.now);
      return applyOrder(state, { order, isDone: true }, context);
    case "lost":
      recordUnanswered(state, order);
      state.orderCount = undefined;
      state.retryAt = millis(context.now + conflictRetryDelay);
      return;
    case "unreachable":
      withdrawOrder(state, order, context.now);
      state.retryAt = millis(context.now + conflictRetryDelay);
      return;
    case "conflict":
      withdrawOrder(state, order, context.now);
      state.orderCount = undefined;
      state.retryAt = millis(context.now + conflictRetryDelay);
      return;
    case "rejected":
      withdrawOrder(state, order, context.now);
      if (order.adapter === undefined) abandonModelChange(state);
      state.orderCount = undefined;
      state.retryAt = millis(context.now + rejectionRetryDelay);
      return;
  }
}

function recordUnanswered(
  state: EngineControllerState,
  order: EngineOrder,
): void {
  if (order.adapter === undefined) {
    if (order.operation === "load") state.unansweredModel = order;
    return;
  }
  state.unansweredOrders.set(
    formatModelAdapterKey(order.model, order.adapter),
    order,
  );
}

/**
 * Counts an accepted order. Earlier orders without an answer had the same
 * expected count, so the engine can no longer carry them out.
 */
function countOrder(
  state: EngineControllerState,
  order: EngineOrder,
  now: Millis,
): void {
  const earlier = [...state.unansweredOrders.values()];
  state.unansweredOrders.clear();
  state.unansweredModel = undefined;
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
  { now, commands }: EventContext,
): void {
  const { contents } = state;
  const { model, adapter } = order;
  if (adapter === undefined) {
    return applyModelOrder(state, { order, isDone }, now);
  }
  const key = formatModelAdapterKey(model, adapter);
  if (order.operation === "load") {
    return applyLoad(state, { order, key, isDone }, { now, commands });
  }
  const slot = contents.adapterSlots.get(key);
  if (slot === undefined) return;
  contents.previouslyHeld.add(key);
  if (isDone) contents.adapterSlots.delete(key);
  else slot.readyAt = millis(now + maxUnloadTime);
}

/** Applies an accepted load; its slot is taken even if no request waits for the adapter any more. */
function applyLoad(
  state: EngineControllerState,
  load: { order: EngineOrder; key: ModelAdapterKey; isDone: boolean },
  { now, commands }: EventContext,
): void {
  const { order, key, isDone } = load;
  const slot = state.contents.adapterSlots.get(key);
  if (slot === undefined) return;
  const loadTime = isDone ? 0 : estimateLoadTime(state, key);
  slot.phase = isDone ? "held" : "loading";
  slot.readyAt = millis(now + loadTime);
  slot.usedAt = slot.readyAt;
  slot.orderedAt = now;
  slot.isConfirmed = isDone;
  slot.missingSince = undefined;
  slot.version = Math.max(slot.version, order.version ?? 0);
  const pending = state.waiting.get(key);
  if (pending === undefined || slot.version < pending.version) return;
  state.waiting.delete(key);
  for (const ticket of pending.tickets) {
    const reply = { kind: "ready", inMs: loadTime } as const;
    commands.push({ type: "reply", ticket, reply });
  }
}

/** Reverts the slot of an order that the engine has not accepted. */
function withdrawOrder(
  state: EngineControllerState,
  order: EngineOrder,
  now: Millis,
): void {
  const { model, adapter } = order;
  if (adapter === undefined) return;
  const key = formatModelAdapterKey(model, adapter);
  // A repeated order that is not accepted does not show whether the first one was.
  if (state.unansweredOrders.has(key)) return;
  const slot = state.contents.adapterSlots.get(key);
  if (slot === undefined || Number.isFinite(slot.readyAt)) return;
  // A load may have followed an unload without an answer; the adapter is then still held.
  if (slot.phase === "loading") {
    state.contents.adapterSlots.delete(key);
    return;
  }
  slot.phase = "held";
  slot.readyAt = now;
}

/** Moves a value by a share of its distance to a target. */
function approach(value: number, target: number, share: number): number {
  return value + (target - value) * share;
}

/** Expected time of a load; an excess observed under contention decays with each load. */
function estimateLoadTime(
  state: EngineControllerState,
  key: ModelAdapterKey,
): number {
  if (state.contents.previouslyHeld.has(key)) return cachedLoadTime;
  state.usualLoadTime = approach(
    state.usualLoadTime,
    minColdLoadTime,
    usualTimeDecay,
  );
  state.coldLoadTime = approach(
    state.coldLoadTime,
    state.usualLoadTime,
    loadTimeDecay,
  );
  return state.coldLoadTime;
}
