import { type Millis, millis } from "../clock.ts";
import {
  chooseLeastCost,
  type ServerSelectionContext,
} from "./choose_server.ts";
import { estimateDistance } from "./server_distance.ts";
import {
  countInFlight,
  isSuspended,
  readFailureRate,
} from "./server_health.ts";
import { findOverload, type OverloadView } from "./server_overload.ts";
import {
  type PaceTable,
  readOldestCall,
  readRunTime,
  readSlowness,
} from "./server_pace.ts";
import type { BackendServer } from "./servers.ts";

/** Run times after which an unanswered call counts as a delay of the server. */
const overdueRuns = 2;
/** Expected extra time at a server whose recent calls all failed, in ms. */
const failureTime = 500;
/** Extra time of a server that should get nothing now, in ms. */
const suspensionTime = 60_000;
/** Run times by which the requests at a server that exceed its slots delay the next one, relative to the others. */
const excessWeight = 2;
/** Spread of the random part of the expected time, in run times. */
const spread = 0.15;

/** Inputs of the choice among servers without models. */
export type PlainServerContext = ServerSelectionContext & {
  readonly paces: PaceTable;
  readonly overloads: OverloadView;
  readonly random: () => number;
};

/** Selects a server for a call; undefined if there is no candidate. */
export type PlainServerPolicy = (
  candidates: readonly BackendServer[],
  context: PlainServerContext,
) => BackendServer | undefined;

/**
 * Selects the server with the shortest expected time to its answer, by its pace,
 * this node's calls to it and the way there. A random part spreads the calls of
 * all nodes over servers of nearly the same time.
 */
export const chooseShortestRun: PlainServerPolicy = (candidates, context) => {
  const [any] = candidates;
  if (any === undefined) return undefined;
  const runTime = readRunTime(context.paces, any.service, 0);
  if (runTime === undefined) return chooseLeastCost(candidates, context);
  let best: BackendServer | undefined;
  let bestTime = Number.POSITIVE_INFINITY;
  for (const server of candidates) {
    const time =
      estimateRun(server, runTime, context) +
      runTime * spread * drawSpread(context.random);
    if (time >= bestTime) continue;
    best = server;
    bestTime = time;
  }
  return best;
};

/** Expected time to the answer of a server, in ms. */
function estimateRun(
  server: BackendServer,
  runTime: number,
  context: PlainServerContext,
): Millis {
  const { health, paces, now } = context;
  const { id, slots } = server;
  const load = Math.max(
    findOverload(context.overloads, server, now),
    countInFlight(health, id),
  );
  const excess = Math.max(0, load + 1 - slots);
  const queue = (load + excessWeight * excess) / Math.max(1, slots);
  const run = runTime * (readSlowness(paces, server, now) + queue);
  const overdue = readOldestCall(paces, id, now) - overdueRuns * runTime;
  const suspended = isSuspended(health, id, now) ? suspensionTime : 0;
  return millis(
    run +
      Math.max(0, overdue) +
      suspended +
      failureTime * readFailureRate(health, id) +
      estimateDistance(server, context),
  );
}

/** Draws from the Gumbel distribution, by which the minimum of several is a choice weighted by their times. */
function drawSpread(random: () => number): number {
  return Math.log(-Math.log(1 - random() * (1 - Number.EPSILON)));
}
