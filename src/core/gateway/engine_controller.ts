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
import { chooseNextOrder } from "./engine_controller_orders.ts";
import { applyStatus } from "./engine_controller_reports.ts";
import type { BackendServer } from "./servers.ts";

/** Time by which reports lag, and shortest time between two questions about loads, in ms. */
const reportDelay = 110;
const reportPause = 250;
/** Count of orders before the first report. */
const unknownCount = -1;
/** Shortest time between two questions that registrations raise, in ms. */
const questionPause = 4_000;

/** State of the owner of an engine that reports its contents. */
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
    highestOrderCount: unknownCount,
    staleReports: 0,
    isStatusRequested: false,
    statusRequestedAt: options.now,
    retryAt: options.now,
    mayOrder: false,
    coldLoadTime: minColdLoadTime,
    waiting: new Map(),
  };
}

/** Decides which orders one engine gets and when. */
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
  settleLoads(state, now);
  switch (event.type) {
    case "acquire":
      acquireAdapter(state, event, { now, commands });
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
      // A registration may be older than the last orders, so it only raises the question.
      if (
        contradictsRegistration(state.contents, event.models, now) &&
        now > state.statusRequestedAt + questionPause
      ) {
        state.orderCount = undefined;
      }
      break;
    case "tick":
      state.mayOrder = event.mayOrder;
      break;
  }
  refuseOverdueRequests(state, now, commands);
  advance(state, now, commands);
  return { state, commands };
};

/** Marks loads whose time has passed as complete; unloads that take too long raise a question. */
function settleLoads(state: EngineControllerState, now: Millis): void {
  for (const place of state.contents.adapterSlots.values()) {
    if (place.readyAt > now) continue;
    if (place.phase === "loading") place.phase = "held";
    if (place.phase === "unloading") {
      place.readyAt = millis(now + maxUnloadTime);
      state.orderCount = undefined;
    }
  }
}

/** Sends the next order unless one is under way. */
function advance(
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
    commands.push({ type: "ask-status" });
    return;
  }
  const order = chooseNextOrder(state, state.orderCount, now);
  if (order === undefined) return;
  state.orderInFlight = order;
  commands.push({ type: "order", order });
}

/** Whether loads that should be complete hold up others until a report confirms them. */
function isReportDue(state: EngineControllerState, now: Millis): boolean {
  if (state.waiting.size === 0) return false;
  if (now < state.statusRequestedAt + reportPause) return false;
  const { contents, traits } = state;
  const isFull =
    contents.adapterSlots.size >= countAdapterCapacity(contents, traits);
  let overdue = 0;
  for (const {
    isConfirmed,
    missingSince: missedAt,
    readyAt,
  } of contents.adapterSlots.values()) {
    if (missedAt !== undefined && now > missedAt + reportSkew) return true;
    if (!isConfirmed && now > readyAt + reportDelay) overdue++;
  }
  if (overdue === 0) return false;
  return isFull;
}
