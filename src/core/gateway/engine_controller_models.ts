import { type Millis, millis } from "../clock.ts";
import type { ModelName } from "../ids.ts";
import type { EngineContents } from "./engine_contents.ts";
import type { EventContext } from "./engine_controller_acquire.ts";
import type {
  EngineControllerEvent,
  EngineControllerState,
} from "./engine_controller_messages.ts";
import {
  type ModelChange,
  type ModelInventory,
  planModelChange,
  recordModelLoad,
  recordUnmetDemand,
} from "./model_placement.ts";
import type { EngineOrder } from "./orders.ts";

/** Expected time until the requests on a model that is unloaded have ended, in ms. */
const expectedUnloadTime = 2_000;

/** Records requests for a model; promises it if the engine holds it or changes to it. */
export function requestModel(
  state: EngineControllerState,
  event: Extract<EngineControllerEvent, { type: "model-wanted" }>,
  { now, commands }: EventContext,
): void {
  const { ticket, model, requests } = event;
  const readyAt = state.contents.models.get(model);
  const isOffered = state.traits.models.some(({ name }) => name === model);
  if (readyAt === undefined && isOffered)
    recordUnmetDemand(state.modelDemand, { model, requests }, now);
  updateModelChange(state, now);
  const inMs =
    readyAt === undefined
      ? estimateChange(state, model)
      : Math.max(0, readyAt - now);
  const reply =
    inMs === undefined || state.contents.unloadingModels.has(model)
      ? ({ kind: "refused", reason: "busy" } as const)
      : ({ kind: "ready", inMs } as const);
  commands.push({ type: "reply", ticket, reply });
}

/** Expected time until the engine has changed to a model, in ms; undefined if it does not. */
function estimateChange(
  { modelChange, traits }: EngineControllerState,
  model: ModelName,
): number | undefined {
  if (modelChange?.target !== model) return undefined;
  const entry = traits.models.find(({ name }) => name === model);
  const unloadTime = modelChange.victims.length > 0 ? expectedUnloadTime : 0;
  return unloadTime + (entry?.loadTime ?? 0);
}

/** Plans the next change of the base models unless one is under way. */
export function updateModelChange(
  state: EngineControllerState,
  now: Millis,
): void {
  if (state.modelChange !== undefined) return;
  const { modelDemand, fleet } = state;
  for (const { model } of state.waiting.values()) {
    if (state.contents.models.has(model))
      modelDemand.lastUsedAt.set(model, now);
  }
  state.modelChange = planModelChange(takeInventory(state), modelDemand, {
    fleet,
    now,
  });
}

function takeInventory({
  traits,
  contents,
}: EngineControllerState): ModelInventory {
  const adapterMb = (model: ModelName) => {
    const size = traits.models.find(({ name }) => name === model)?.adapterMb;
    let count = 0;
    for (const slot of contents.adapterSlots.values()) {
      if (slot.model === model) count++;
    }
    return count * (size ?? 0);
  };
  return { traits, held: contents.models, adapterMb };
}

/** Next order of the change under way; undefined if there is none or it must wait. */
export function chooseModelOrder(
  state: EngineControllerState,
  orderCount: number,
  now: Millis,
): EngineOrder | undefined {
  const { contents } = state;
  // The engine refuses other orders while it loads a model.
  if (contents.loadingModels.size > 0) return undefined;
  updateModelChange(state, now);
  const { modelChange } = state;
  if (modelChange === undefined) return undefined;
  const victim = modelChange.victims.find((model) =>
    contents.models.has(model),
  );
  if (victim !== undefined) {
    if (contents.unloadingModels.has(victim)) return undefined;
    return createModelOrder("unload", victim, orderCount);
  }
  return createModelOrder("load", modelChange.target, orderCount);
}

function createModelOrder(
  operation: EngineOrder["operation"],
  model: ModelName,
  expectedCount: number,
): EngineOrder {
  const adapter = undefined;
  const version = undefined;
  return { operation, model, adapter, version, expectedCount };
}

/** Applies an accepted order for a base model. */
export function applyModelOrder(
  state: EngineControllerState,
  { order, isDone }: { readonly order: EngineOrder; readonly isDone: boolean },
  now: Millis,
): void {
  const { contents, traits, fleet } = state;
  const { model } = order;
  if (order.operation === "unload") {
    // The model keeps its memory until its requests have ended and a report omits it.
    if (isDone) dropModel(contents, model);
    else contents.unloadingModels.add(model);
    return;
  }
  const entry = traits.models.find(({ name }) => name === model);
  const loadTime = isDone ? 0 : (entry?.loadTime ?? 0);
  contents.models.set(model, millis(now + loadTime));
  if (!isDone) contents.loadingModels.add(model);
  if (!isDone)
    recordModelLoad(state.modelDemand, { model, traits, fleet }, now);
  if (state.modelChange?.target === model) state.modelChange = undefined;
}

/** Gives up the change under way, since the engine rejects one of its orders. */
export function abandonModelChange(state: EngineControllerState): void {
  if (state.modelChange === undefined) return;
  state.modelDemand.unmet.delete(state.modelChange.target);
  state.modelChange = undefined;
}

/** Whether a report is needed to see the end of the load or unload of a model. */
export function isModelReportDue(
  { contents }: EngineControllerState,
  now: Millis,
): boolean {
  if (contents.unloadingModels.size > 0) return true;
  return [...contents.loadingModels].some(
    (model) => now >= (contents.models.get(model) ?? now),
  );
}

/**
 * Applies the order count of a report to a load order without an answer: the
 * engine has carried it out if the count rose by one, and never will if another
 * order was accepted.
 */
export function resolveUnansweredModel(
  state: EngineControllerState,
  orderCount: number,
  now: Millis,
): void {
  const order = state.unansweredModel;
  if (order === undefined || orderCount === order.expectedCount) return;
  state.unansweredModel = undefined;
  if (orderCount !== order.expectedCount + 1) return;
  applyModelOrder(state, { order, isDone: false }, now);
}

/** Removes a model and its adapters, which the engine dropped with it. */
export function dropModel(contents: EngineContents, model: ModelName): void {
  contents.models.delete(model);
  contents.loadingModels.delete(model);
  contents.unloadingModels.delete(model);
  for (const [key, slot] of contents.adapterSlots) {
    if (slot.model === model) contents.adapterSlots.delete(key);
  }
}

/** Whether the engine is giving up a model, so that no request should be sent for it. */
export function isModelLeaving(
  {
    contents,
    modelChange,
  }: {
    readonly contents: EngineContents;
    readonly modelChange: ModelChange | undefined;
  },
  model: ModelName,
): boolean {
  return (
    contents.unloadingModels.has(model) ||
    modelChange?.victims.includes(model) === true
  );
}
