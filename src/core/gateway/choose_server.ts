import type { Millis } from "../clock.ts";
import type { DataCentre, Region, ServerId } from "../ids.ts";
import {
  countInFlight,
  isSuspended,
  readFailureRate,
  type ServerHealth,
} from "./server_health.ts";
import type { BackendServer } from "./servers.ts";

/** Cost of another region or data centre, in calls that wait before this one. */
const otherRegionCost = 3;
const otherDataCentreCost = 0.5;
/** Cost of a server that failed every recent call. */
const failureCost = 8;

/** Where a node is and what it knows of its servers. */
export type ServerSelectionContext = {
  readonly dataCentre: DataCentre;
  readonly region: Region;
  readonly regionOf: (dataCentre: DataCentre) => Region | undefined;
  readonly health: ServerHealth;
  readonly now: Millis;
};

/** Picks a server for a call; undefined if there is none. */
export type ServerSelectionPolicy = (
  candidates: readonly BackendServer[],
  outlook: ServerSelectionContext,
) => BackendServer | undefined;

/** Extra cost of sending to a server from where the node is. */
function rateDistance(
  server: BackendServer,
  outlook: ServerSelectionContext,
): number {
  if (server.dataCentre === outlook.dataCentre) return 0;
  return outlook.regionOf(server.dataCentre) === outlook.region
    ? otherDataCentreCost
    : otherRegionCost;
}

/** The server with the least own work, distance and failures; suspended ones come last. */
export const chooseLeastCost: ServerSelectionPolicy = (candidates, outlook) => {
  let best: BackendServer | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const server of candidates) {
    const cost = rateServer(server, outlook);
    if (cost < bestCost) {
      best = server;
      bestCost = cost;
    }
  }
  return best;
};

/** Cost that a suspended server has above every other one. */
const suspendedCost = 1_000;

function rateServer(
  server: BackendServer,
  outlook: ServerSelectionContext,
): number {
  const { health, now } = outlook;
  const suspended = isSuspended(health, server.id, now) ? suspendedCost : 0;
  return (
    suspended +
    countInFlight(health, server.id) +
    rateDistance(server, outlook) +
    failureCost * readFailureRate(health, server.id)
  );
}

/** Servers without those that a request has tried already. */
export function excludeServers(
  candidates: readonly BackendServer[],
  tried: ReadonlySet<ServerId>,
): BackendServer[] {
  return candidates.filter(({ id }) => !tried.has(id));
}
