import { type Millis, millis } from "../clock.ts";
import type { Decide, Decision } from "../decision.ts";
import type { EngineTraits } from "./configuration.ts";
import {
  confirmRegistered,
  contradictsRegistration,
  countAdapterCapacity,
  createEngineContents,
  reportSkew,
} from "./engine_contents.ts";
import {
  acquireAdapter,
  recordUse,
  refuseOverdueRequests,
} from "./engine_controller_acquire.ts";
import {
  applyAnswer,
  maxUnloadTime,
  minColdLoadTime,
} from "./engine_controller_answers.ts";
import type {
  EngineControllerCommand,
  EngineControllerEvent,
  EngineControllerPolicies,
  EngineControllerState,
} from "./engine_controller_messages.ts";
import { isModelReportDue, requestModel } from "./engine_controller_models.ts";
import { chooseNextOrder } from "./engine_controller_orders.ts";
import { applyStatus } from "./engine_controller_reports.ts";
import { createModelDemand } from "./model_placement.ts";
import type { BackendServer } from "./servers.ts";

/** Delay with which a status report shows a load, and minimum time between two requests for a report because of loads, in ms. */
const reportLag = 110;
const minStatusInterval = 250;
/** Value of the order count before the first report. */
const unknownOrderCount = -1;
/** Minimum time between two requests for a report because of registrations, in ms. */
const minContradictionInterval = 4_000;

/** Creates the state of the controller of an engine that reports its contents. */
export function createEngineControllerState(options: {
  readonly traits: EngineTraits;
  readonly models: BackendServer["models"];
  readonly policies: EngineControllerPolicies;
  readonly now: Millis;
}): EngineControllerState {
  return {
    traits: options.traits,
    contents: createEngineContents(options.models, options.now),
    policies: options.policies,
    orderCount: undefined,
    orderInFlight: undefined,
    unansweredOrders: new Map(),
    highestOrderCount: unknownOrderCount,
    staleReports: 0,
    isStatusRequested: false,
    statusRequestedAt: options.now,
    retryAt: options.now,
    mayOrder: false,
    coldLoadTime: minColdLoadTime,
    usualLoadTime: minColdLoadTime,
    waiting: new Map(),
    modelDemand: createModelDemand(options.now),
    unansweredModel: undefined,
    modelChange: undefined,
    fleet: { engines: 1, holders: new Map(), reserved: new Set(), load: 0 },
  };
}

/** Decides which load and unload orders an engine gets, and when. */
export const decideEngineController: Decide<
  EngineControllerState,
  EngineControllerEvent,
  EngineControllerCommand
> = (
  state,
  event,
  now,
): Decision<EngineControllerState, EngineControllerCommand> => {
  const commands: EngineControllerCommand[] = [];
  completeLoads(state, now);
  switch (event.type) {
    case "acquire":
      acquireAdapter(state, event, { now, commands });
      break;
    case "model-wanted":
      requestModel(state, event, { now, commands });
      break;
    case "used":
      recordUse(state, event, now);
      break;
    case "answered":
      applyAnswer(state, event, { now, commands });
      break;
    case "status":
      applyStatus(state, event.status, now);
      break;
    case "registered":
      confirmRegistered(state.contents, event.models);
      // A registration may predate the latest orders, so it only triggers a status report.
      if (
        contradictsRegistration(state.contents, event.models, now) &&
        now > state.statusRequestedAt + minContradictionInterval
      ) {
        state.orderCount = undefined;
      }
      break;
    case "tick":
      state.mayOrder = event.mayOrder;
      state.fleet = event.fleet;
      break;
  }
  refuseOverdueRequests(state, now, commands);
  sendNextOrder(state, now, commands);
  return { state, commands };
};

/** Marks loads whose expected time has passed as complete; requests a status report for overdue unloads. */
function completeLoads(state: EngineControllerState, now: Millis): void {
  for (const slot of state.contents.adapterSlots.values()) {
    if (slot.readyAt > now) continue;
    if (slot.phase === "loading") slot.phase = "held";
    if (slot.phase === "unloading") {
      slot.readyAt = millis(now + maxUnloadTime);
      state.orderCount = undefined;
    }
  }
}

/** Sends the next order unless one is in flight. */
function sendNextOrder(
  state: EngineControllerState,
  now: Millis,
  commands: EngineControllerCommand[],
): void {
  if (
    !state.mayOrder ||
    state.orderInFlight !== undefined ||
    state.isStatusRequested
  )
    return;
  if (now < state.retryAt) return;
  if (state.orderCount === undefined || isReportDue(state, now)) {
    state.isStatusRequested = true;
    state.statusRequestedAt = now;
    commands.push({ type: "request-status" });
    return;
  }
  const order = chooseNextOrder(state, state.orderCount, now);
  if (order === undefined) return;
  state.orderInFlight = order;
  commands.push({ type: "order", order });
}

/** Whether other orders wait until a report confirms the loads and unloads that should be complete. */
function isReportDue(state: EngineControllerState, now: Millis): boolean {
  if (now < state.statusRequestedAt + minStatusInterval) return false;
  if (isModelReportDue(state, now)) return true;
  if (state.waiting.size === 0) return false;
  const { contents, traits } = state;
  const isFull =
    contents.adapterSlots.size >= countAdapterCapacity(contents, traits);
  let overdue = 0;
  for (const {
    isConfirmed,
    missingSince,
    readyAt,
  } of contents.adapterSlots.values()) {
    if (missingSince !== undefined && now > missingSince + reportSkew)
      return true;
    if (!isConfirmed && now > readyAt + reportLag) overdue++;
  }
  if (overdue === 0) return false;
  return isFull;
}
