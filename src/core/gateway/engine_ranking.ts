import { type Millis, millis } from "../clock.ts";
import type { ModelAdapterKey, ServerId } from "../ids.ts";
import { selectHomes } from "../placement/rendezvous.ts";
import {
  type AdapterDirectory,
  findReadyAt,
  hasCachedCopy,
  wasPromised,
} from "./adapter_directory.ts";
import type { ServerSelectionContext } from "./choose_server.ts";
import type { LoadTimes } from "./load_times.ts";
import { estimateDistance } from "./server_distance.ts";
import { isSuspended } from "./server_health.ts";
import type { BackendServer } from "./servers.ts";

/** Cost of an engine that failed recently, above that of any other, in ms. */
const suspendedCost = 60_000;
/** Time that a further copy of an adapter must save before it is loaded, in loads from the weight store. */
const copyLoads = 0.56;
/** Time by which an engine must be better than the one before it in rendezvous order, in loads from the weight store. */
const rankLoads = 0.375;

/** Expected time until an engine has an adapter, as far as this node knows, in ms. */
export function estimateLoad(
  directory: AdapterDirectory,
  engine: ServerId,
  {
    requested,
    loadTimes,
    now,
  }: {
    readonly loadTimes: LoadTimes;
    readonly requested: {
      readonly key: ModelAdapterKey;
      readonly version: number;
    };
    readonly now: Millis;
  },
): Millis {
  const readyAt = findReadyAt(directory, engine, requested);
  if (readyAt !== undefined) return millis(Math.max(0, readyAt - now));
  const isCached = hasCachedCopy(directory, engine, requested);
  return millis(loadTimes[isCached ? "host-memory" : "store"]);
}

/** An engine for a request; `readyAt` is undefined if its owner must be asked for the adapter. */
export type RankedEngine = {
  readonly server: BackendServer;
  readonly readyAt: Millis | undefined;
  /** It held the adapter when last heard of. */
  readonly mayHold: boolean;
};

/** Inputs of the ranking of engines. */
export type EngineSelectionContext = ServerSelectionContext & {
  readonly adapterDirectory: AdapterDirectory;
  readonly loadTimes: LoadTimes;
  /** Expected time at an engine until the answer begins, without a load, in ms. */
  readonly estimateWait: (engine: ServerId) => Millis;
  /** Whether the contents of an engine are known well enough to skip its owner. */
  readonly isKnown: (engine: ServerId) => boolean;
  /** Weight of an engine as a home of adapters, on which the nodes agree; 1 for the mean engine. */
  readonly findWeight: (engine: ServerId) => number;
};

/** Inputs of the expected wait at an engine. */
type EngineWaitContext = ServerSelectionContext &
  Pick<EngineSelectionContext, "estimateWait">;

type RatedEngine = RankedEngine & { readonly cost: number };

/**
 * Ranks the engines for an adapter by the expected time until the response
 * begins. An engine without the adapter is charged for the load, and for a
 * further copy if another engine holds it. Among these, one with a cached copy
 * comes first, or one whose contents are not known well enough; the others
 * follow in rendezvous order, so that all nodes ask the same owner for a load.
 */
export function rankEngines(
  candidates: readonly BackendServer[],
  requested: { readonly key: ModelAdapterKey; readonly version: number },
  context: EngineSelectionContext,
): RankedEngine[] {
  const holders: RatedEngine[] = [];
  const others = new Map<ServerId, BackendServer>();
  for (const server of candidates) {
    if (isSuspended(context.health, server.id, context.now)) continue;
    const readyAt = findReadyAt(context.adapterDirectory, server.id, requested);
    const isCurrent =
      context.isKnown(server.id) ||
      wasPromised(
        context.adapterDirectory,
        server.id,
        requested.key,
        context.now,
      );
    if (readyAt === undefined || !isCurrent) {
      others.set(server.id, server);
      continue;
    }
    const wait = Math.max(0, readyAt - context.now);
    const cost = wait + computeEngineCost(server, context);
    holders.push({ server, readyAt, mayHold: true, cost });
  }
  const homes = selectHomes(requested.key, {
    engines: [...others.keys()].map((engine) => ({
      engine,
      weight: context.findWeight(engine),
    })),
    count: others.size,
  });
  const rated = homes.map((id, rank): RatedEngine => {
    const server = others.get(id) as BackendServer;
    const { adapterDirectory, loadTimes } = context;
    const mayHold = findReadyAt(adapterDirectory, id, requested) !== undefined;
    const isFast = mayHold || hasCachedCopy(adapterDirectory, id, requested);
    // Loads that take longer than usual are for fewer further copies.
    const loadTime = loadTimes.store;
    const base = isFast
      ? loadTimes["host-memory"]
      : loadTime * (1 + rank * rankLoads);
    const extra = holders.length > 0 ? loadTime * copyLoads : 0;
    const cost = base + extra + computeEngineCost(server, context);
    return { server, readyAt: undefined, mayHold, cost };
  });
  return [...holders, ...rated].sort((a, b) => a.cost - b.cost);
}

/**
 * Chooses the engine with the shortest wait. The search starts at `offset`, a
 * share of the list in [0, 1), so that nodes do not all take the first of
 * several equal ones.
 */
export function chooseShortestWait(
  candidates: readonly BackendServer[],
  context: EngineWaitContext & {
    readonly offset: number;
  },
): BackendServer | undefined {
  const first = Math.floor(context.offset * candidates.length);
  const rotated = [...candidates.slice(first), ...candidates.slice(0, first)];
  let best: BackendServer | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const server of rotated) {
    const suspended = isSuspended(context.health, server.id, context.now);
    const cost =
      computeEngineCost(server, context) + (suspended ? suspendedCost : 0);
    if (cost >= bestCost) continue;
    best = server;
    bestCost = cost;
  }
  return best;
}

/** Extra time of a request because of the engine's distance and backlog, in ms. */
function computeEngineCost(
  server: BackendServer,
  context: EngineWaitContext,
): number {
  return estimateDistance(server, context) + context.estimateWait(server.id);
}
