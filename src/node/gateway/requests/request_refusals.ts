import { type Millis, millis } from "../../../core/clock.ts";
import {
  computeReturnDelay,
  type Resumption,
} from "../../../core/gateway/server_pauses.ts";
import type { SoftwareVersion } from "../../../core/ids.ts";
import { type Refusal, refuse } from "../../../core/results/refusal.ts";
import type { ModelDemand } from "../../../ports/gateway.ts";
import type { GatewayContext } from "../context.ts";
import type { AttemptHistory, TurnedAway } from "./attempt_history.ts";
import { maxWaitingRequests } from "./wait_queue.ts";

/** Delay before a refused caller should retry, in ms. */
const retryDelay = millis(400);
/** Part of that delay by which those of callers differ at most. */
const delaySpread = 0.5;
/** Delay before a caller should send a request again that has crashed servers, in ms. */
const convictedDelay = millis(60_000);
/** Time after which a node has recorded a stream for the others, in ms. */
const originDelay = millis(600);
/** Time in which a server that crashed may be back, in ms. */
const versionDelay = millis(1_000);
/** Time until the nodes learn that an engine holds a model, in ms. */
const registrationLag = 1_000;

/** Refusal of a request that no server can take in time. */
export function refuseWithoutServer(
  history: AttemptHistory,
  demand: ModelDemand | undefined,
  context: GatewayContext,
): Refusal {
  if (history.runs > 0) {
    const detail = "The answer was lost and no other server can take over";
    return refuse("serviceBroken", detail);
  }
  if (history.turnedAway !== undefined)
    return refuseTurnedAway(history.turnedAway, context);
  if (history.resumption !== undefined)
    return refuseWhilePaused(history.resumption, context);
  const code = demand === undefined ? "noServer" : "adapterNotInTime";
  const last = history.lastRefusal;
  const reason =
    last === undefined
      ? ""
      : `; the owner of ${last.server.id}: ${last.reason}`;
  const detail = `No server can take the request in time${reason}`;
  const { modelReadyAt } = history;
  const modelWait =
    modelReadyAt === undefined ? 0 : modelReadyAt - context.now();
  const spread = spreadDelay(context);
  const retryAfter = millis(Math.max(spread, modelWait + registrationLag));
  return refuse(code, detail, {
    retryAfter: modelReadyAt === undefined ? spread : retryAfter,
  });
}

/** Refusal of a request for more urgent ones, or because it cannot begin before its deadline. */
function refuseTurnedAway(
  reason: TurnedAway,
  context: GatewayContext,
): Refusal {
  const spread = spreadDelay(context);
  if (reason.kind === "outranked") {
    const detail = `${maxWaitingRequests} more urgent requests wait for the service`;
    return refuse("outranked", detail, { retryAfter: spread });
  }
  return refuseTooLate(reason.returnsIn, spread);
}

/** Refusal of a request that no server is expected to begin in time; one may in `returnsIn` ms. */
export function refuseTooLate(
  returnsIn: Millis,
  spread: Millis = millis(0),
): Refusal {
  const retryAfter = millis(returnsIn + spread);
  const detail = `No server is expected to begin the request before its deadline; one may in ${Math.ceil(returnsIn)} ms`;
  return refuse("tooLateToBegin", detail, { retryAfter });
}

/** Refusal of a request for the rest of a stream that may have begun at any software version; `isOpen` if its server may have started again before. */
export function refuseUnknownOrigin(isOpen: boolean): Refusal {
  const detail = isOpen
    ? "It is not known yet which software version began the stream: its server may have started again before that"
    : "It is not known which software version began the stream, and several have served lately";
  return refuse("streamNotContinued", detail, { retryAfter: originDelay });
}

/** Refusal to go on elsewhere with a stream that another software version may have begun. */
export function refuseOpenOrigin(): Refusal {
  const detail =
    "The answer was lost, and its server may have started again with another software version before it began";
  return refuse("serviceBroken", detail);
}

/** Refusal of a request for the rest of a stream while no server of its software version serves. */
export function refuseWithoutVersion(
  version: SoftwareVersion | undefined,
): Refusal {
  const detail = `No server of software version ${version}, which began the stream, serves now`;
  return refuse("streamNotContinued", detail, { retryAfter: versionDelay });
}

/** Refusal of a request that may crash servers, or waits for the trial of one that does. */
export function refuseWithheld(
  history: AttemptHistory,
  reason: "convicted" | "late",
): Refusal {
  const detail =
    reason === "convicted"
      ? "The request, or a part of its prompt, has crashed servers"
      : "Another request is trying whether the same content crashes servers";
  if (history.runs > 0) return refuse("serviceBroken", detail);
  const retryAfter = reason === "convicted" ? convictedDelay : retryDelay;
  return refuse("partWithheld", detail, { retryAfter });
}

/** Refusal of a request that was withdrawn from a server, since it would crash it. */
export function refuseWithdrawn(): Refusal {
  const detail =
    "The request, or a part of its prompt, has crashed servers meanwhile";
  return refuse("serviceBroken", detail);
}

/** Refusal of a request whose last attempt failed and may not be retried. */
export function refuseAfterAttempt(
  history: AttemptHistory,
  attemptDetail: string,
  context: GatewayContext,
): Refusal {
  if (history.runs > 0) {
    return refuse("serviceBroken", `The answer was lost: ${attemptDetail}`);
  }
  if (history.resumption !== undefined)
    return refuseWhilePaused(history.resumption, context);
  const detail = `Every server rejected the request: ${attemptDetail}`;
  return refuse("noServer", detail, { retryAfter: spreadDelay(context) });
}

/** Delay that differs by caller, so that those that are refused together do not come back together. */
function spreadDelay({ dependencies }: GatewayContext): Millis {
  return millis(retryDelay * (1 + delaySpread * dependencies.random()));
}

/** Refusal of a request while every server that can take it has asked for a pause or has reached its limit. */
function refuseWhilePaused(
  resumption: Resumption,
  context: GatewayContext,
): Refusal {
  if (resumption.isLimit) return refuseWhileLimited(resumption, context);
  const now = context.now();
  const share = context.dependencies.random();
  const retryAfter = computeReturnDelay(resumption, { now, share });
  const pause = Math.ceil(resumption.at - now);
  const detail = `Every server that can take the request has asked for a pause; the first one, of ${resumption.server}, ends in ${pause} ms`;
  return refuse("serversPaused", detail, { retryAfter });
}

/** Refusal of a request while every server that can take it has reached its limit; the callers return one after another. */
function refuseWhileLimited(
  resumption: Resumption,
  context: GatewayContext,
): Refusal {
  const { availability, directory, dependencies, nodeCount } = context;
  const now = context.now();
  const server = directory.servers.get(resumption.server);
  const at =
    server === undefined
      ? resumption.at
      : availability.limits.planReturn(server, nodeCount);
  const returnTime = { ...resumption, at: millis(Math.max(at, resumption.at)) };
  const share = dependencies.random();
  const retryAfter = computeReturnDelay(returnTime, { now, share });
  const wait = Math.ceil(resumption.at - now);
  const detail = `Every server that can take the request has reached the limit that it named; ${resumption.server} takes the next one in ${wait} ms`;
  return refuse("serversPaused", detail, { retryAfter });
}

/** Refusal of a request that has reached its time limit. */
export function refuseAtTimeLimit(mayHaveRun: boolean): Refusal {
  const detail = "The request reached its time limit";
  return mayHaveRun
    ? refuse("serviceTimeout", detail)
    : refuse("noServer", detail, { retryAfter: retryDelay });
}

/** Refusal of a request that no server had received when the node stopped. */
export function refuseWhileStopping(): Refusal {
  const detail = "The node is stopping and no server has received the request";
  return refuse("draining", detail, { retryAfter: millis(0) });
}

/** Refusal of a request whose answer the exit of the process does not wait for. */
export function refuseAtExit(): Refusal {
  const detail = "The node exits before the answer is complete";
  return refuse("serviceBroken", detail);
}
