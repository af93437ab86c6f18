import type { Decide, Decision } from "../decision.ts";
import type { EventContext } from "./context.ts";
import { dispatchWork } from "./dispatch.ts";
import { establishFence } from "./fence.ts";
import { checkRequestAges } from "./health_observation.ts";
import { markEngineLeaving, startDrain } from "./leaving.ts";
import { refuseLateLoads } from "./load_demand.ts";
import {
  expireOrders,
  failLoad,
  failUnload,
  finishLoad,
  finishUnload,
  startLoads,
} from "./loading.ts";
import type { EngineCommand, EngineEvent } from "./messages.ts";
import { applyOwnership, loseOwnership } from "./ownership.ts";
import { grantPermit } from "./permits.ts";
import type { EnginePolicies } from "./policies.ts";
import { preemptLongStreams, requeuePreempted } from "./preemption.ts";
import { applyReport, handleFailedReport, pollReports } from "./reports.ts";
import type { EngineState } from "./state.ts";
import {
  failStream,
  finishStream,
  recordFirstToken,
  recordProgress,
} from "./streams.ts";
import { cancelWork, refuseExpired, submitWork } from "./submission.ts";
import { setTimer } from "./timers.ts";

/**
 * Creates the decision function of an engine owner. It updates the state in
 * place and returns it; `random` returns numbers from 0 to 1 for jitter.
 */
export function createEngineDecision(
  policies: EnginePolicies,
  random: () => number,
): Decide<EngineState, EngineEvent, EngineCommand> {
  return (state, event, now): Decision<EngineState, EngineCommand> => {
    const context: EventContext = {
      state,
      now,
      policies,
      random,
      commands: [],
    };
    handleEvent(context, event);
    refuseExpired(context);
    expireOrders(context);
    pollReports(context);
    establishFence(context);
    startLoads(context);
    refuseLateLoads(context);
    dispatchWork(context);
    preemptLongStreams(context);
    checkRequestAges(context);
    setTimer(context);
    return { state, commands: context.commands };
  };
}

type Handlers = {
  readonly [Type in EngineEvent["type"]]: (
    context: EventContext,
    event: Extract<EngineEvent, { type: Type }>,
  ) => void;
};

const handlers: Handlers = {
  submit: (context, { work }) => submitWork(context, work),
  cancel: (context, { requestId }) => cancelWork(context, requestId),
  "first-token": (context, { requestId }) =>
    recordFirstToken(context, requestId),
  progress: recordProgress,
  finished: finishStream,
  "stream-failed": failStream,
  preempted: requeuePreempted,
  "load-finished": (context, { adapter }) => finishLoad(context, adapter),
  "load-failed": failLoad,
  "unload-finished": (context, { adapter }) => finishUnload(context, adapter),
  "unload-failed": (context, { adapter }) => failUnload(context, adapter),
  "permit-granted": grantPermit,
  report: (context, { status }) => applyReport(context, status),
  "report-failed": (context, { detail }) => handleFailedReport(context, detail),
  ownership: applyOwnership,
  "ownership-lost": loseOwnership,
  placement: ({ state }, { adapters }) => {
    state.placement = adapters;
  },
  leaving: markEngineLeaving,
  drain: startDrain,
  wake: ({ state }) => {
    state.timerAt = undefined;
  },
};

function handleEvent(context: EventContext, event: EngineEvent): void {
  const handle = handlers[event.type] as (
    context: EventContext,
    event: EngineEvent,
  ) => void;
  handle(context, event);
}
