import type { Decide, Decision } from "../decision.ts";
import { dispatchWork } from "./dispatch.ts";
import { announceFence } from "./fence.ts";
import { drainEngine, leaveEngine } from "./leaving.ts";
import { giveUpLoads } from "./load_demand.ts";
import {
  expireOrders,
  failLoad,
  failUnload,
  finishLoad,
  finishUnload,
  startLoads,
} from "./loading.ts";
import type { EngineCommand, EngineEvent } from "./messages.ts";
import { checkAges } from "./observing.ts";
import { loseOwnership, takeOwnership } from "./ownership.ts";
import { grantPermit } from "./permits.ts";
import type { EnginePolicies } from "./policies.ts";
import { preemptLong, requeuePreempted } from "./preempting.ts";
import { acceptReport, failReport, followReports } from "./reporting.ts";
import type { EngineState } from "./state.ts";
import {
  failStream,
  finishStream,
  noteFirstToken,
  noteProgress,
} from "./streams.ts";
import { cancelWork, refuseExpired, submitWork } from "./submitting.ts";
import { setTimer } from "./timers.ts";
import type { Turn } from "./turn.ts";

/**
 * Builds the decision of an engine owner. It updates the state in place and
 * returns it; `random` gives numbers from 0 to 1 for jitter.
 */
export function createEngineDecision(
  policies: EnginePolicies,
  random: () => number,
): Decide<EngineState, EngineEvent, EngineCommand> {
  return (state, event, now): Decision<EngineState, EngineCommand> => {
    const turn: Turn = { state, now, policies, random, commands: [] };
    handleEvent(turn, event);
    refuseExpired(turn);
    expireOrders(turn);
    followReports(turn);
    announceFence(turn);
    startLoads(turn);
    giveUpLoads(turn);
    dispatchWork(turn);
    preemptLong(turn);
    checkAges(turn);
    setTimer(turn);
    return { state, commands: turn.commands };
  };
}

type Handlers = {
  readonly [Type in EngineEvent["type"]]: (
    turn: Turn,
    event: Extract<EngineEvent, { type: Type }>,
  ) => void;
};

const handlers: Handlers = {
  submit: (turn, { work }) => submitWork(turn, work),
  cancel: (turn, { requestId }) => cancelWork(turn, requestId),
  "first-token": (turn, { requestId }) => noteFirstToken(turn, requestId),
  progress: noteProgress,
  finished: finishStream,
  "stream-failed": failStream,
  preempted: requeuePreempted,
  "load-finished": (turn, { adapter }) => finishLoad(turn, adapter),
  "load-failed": failLoad,
  "unload-finished": (turn, { adapter }) => finishUnload(turn, adapter),
  "unload-failed": (turn, { adapter }) => failUnload(turn, adapter),
  "permit-granted": grantPermit,
  report: (turn, { status }) => acceptReport(turn, status),
  "report-failed": (turn, { detail }) => failReport(turn, detail),
  ownership: takeOwnership,
  "ownership-lost": loseOwnership,
  placement: ({ state }, { adapters }) => {
    state.placement = adapters;
  },
  leaving: leaveEngine,
  drain: drainEngine,
  wake: ({ state }) => {
    state.timerAt = undefined;
  },
};

function handleEvent(turn: Turn, event: EngineEvent): void {
  const handle = handlers[event.type] as (
    turn: Turn,
    event: EngineEvent,
  ) => void;
  handle(turn, event);
}
