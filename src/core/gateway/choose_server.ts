import type { Millis } from "../clock.ts";
import type { ServerId } from "../ids.ts";
import { findPlace, type NodeLocation } from "./server_distance.ts";
import {
  countInFlight,
  isSuspended,
  readFailureRate,
  type ServerHealth,
} from "./server_health.ts";
import type { BackendServer } from "./servers.ts";

/** Cost of a server in another region or data centre, in calls in flight. */
const otherRegionCost = 3;
const otherDataCentreCost = 0.5;
/** Cost of a server whose recent calls all failed, in calls in flight. */
const failureCost = 8;

/** Location of the node, and the health of the servers as it has observed them. */
export type ServerSelectionContext = NodeLocation & {
  readonly health: ServerHealth;
  readonly now: Millis;
};

/** Selects a server for a call; undefined if there is no candidate. */
export type ServerSelectionPolicy = (
  candidates: readonly BackendServer[],
  context: ServerSelectionContext,
) => BackendServer | undefined;

/** Extra cost of a server outside the node's data centre. */
function computeDistanceCost(
  server: BackendServer,
  context: ServerSelectionContext,
): number {
  switch (findPlace(server, context)) {
    case "data-centre":
      return 0;
    case "region":
      return otherDataCentreCost;
    case "other-region":
      return otherRegionCost;
  }
}

/** Selects the server with the lowest cost by own calls in flight, distance and failures; suspended ones come last. */
export const chooseLeastCost: ServerSelectionPolicy = (candidates, context) => {
  let best: BackendServer | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const server of candidates) {
    const cost = computeCost(server, context);
    if (cost < bestCost) {
      best = server;
      bestCost = cost;
    }
  }
  return best;
};

/** Cost of a suspended server, higher than that of any other. */
const suspendedCost = 1_000;

function computeCost(
  server: BackendServer,
  context: ServerSelectionContext,
): number {
  const { health, now } = context;
  const suspended = isSuspended(health, server.id, now) ? suspendedCost : 0;
  return (
    suspended +
    countInFlight(health, server.id) +
    computeDistanceCost(server, context) +
    failureCost * readFailureRate(health, server.id)
  );
}

/** Removes the servers that a request has already tried. */
export function excludeServers(
  candidates: readonly BackendServer[],
  tried: ReadonlySet<ServerId>,
): BackendServer[] {
  return candidates.filter(({ id }) => !tried.has(id));
}
