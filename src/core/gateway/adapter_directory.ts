import { type Millis, millis } from "../clock.ts";
import type { ModelAdapterKey, ServerId } from "../ids.ts";
import { formatModelAdapterKey } from "../ids.ts";
import { selectHomes } from "../placement/rendezvous.ts";
import type { ServerSelectionContext } from "./choose_server.ts";
import type { AvailableAdapter } from "./engine_backlog.ts";
import { isSuspended } from "./server_health.ts";
import type { BackendServer } from "./servers.ts";

/** An adapter at an engine, as known to a node. */
type AdapterEntry = {
  version: number;
  readyAt: Millis;
  /** Time of the last report that confirmed it. */
  confirmedAt: Millis;
  /** Time at which the engine's owner promised it to this node. */
  promisedAt?: Millis;
};

/** Adapters that engines hold or load, as known to a node. */
export type AdapterDirectory = {
  readonly byEngine: Map<ServerId, Map<ModelAdapterKey, AdapterEntry>>;
  /** Versions of adapters that an engine held and unloaded, oldest first; its host keeps copies in memory. */
  readonly previouslyHeld: Map<ServerId, Map<ModelAdapterKey, number>>;
  /** Time at which the owner of each engine last reported its contents. */
  readonly reportedAt: Map<ServerId, Millis>;
};

/** Number of adapters of which an engine's host keeps copies. */
const maxPreviouslyHeld = 100;
/** Time for which a report of the owner takes precedence over registrations, in ms. */
const ownerReportLifetime = 4_000;
/** Age from which contents may have changed, so that the owner is asked, in ms. */
const maxContentsAge = 1_200;
/** Time for which a promise takes precedence over a report that may have been sent before it, in ms. */
const maxReportDelay = 150;

/** Time after which a registration that does not list an adapter removes it, in ms. */
const maxRegistrationLag = 3_000;

/** Creates an empty directory. */
export function createAdapterDirectory(): AdapterDirectory {
  return {
    byEngine: new Map(),
    previouslyHeld: new Map(),
    reportedAt: new Map(),
  };
}

function getOrCreateEngine(
  directory: AdapterDirectory,
  engine: ServerId,
): Map<ModelAdapterKey, AdapterEntry> {
  let held = directory.byEngine.get(engine);
  if (held === undefined) {
    held = new Map();
    directory.byEngine.set(engine, held);
  }
  return held;
}

/** Records the adapters that an engine's registration lists. */
export function recordRegistration(
  directory: AdapterDirectory,
  server: BackendServer,
  now: Millis,
): void {
  const reportedAt = directory.reportedAt.get(server.id);
  if (reportedAt !== undefined && now < reportedAt + ownerReportLifetime)
    return;
  const held = getOrCreateEngine(directory, server.id);
  const listed = new Set<ModelAdapterKey>();
  for (const { name: model, adapters } of server.models) {
    for (const { name, version } of adapters) {
      const key = formatModelAdapterKey(model, name);
      listed.add(key);
      const known = held.get(key);
      if (known === undefined || version > known.version) {
        held.set(key, { version, readyAt: now, confirmedAt: now });
      }
    }
  }
  for (const [key, { confirmedAt }] of held) {
    if (!listed.has(key) && now > confirmedAt + maxRegistrationLag) {
      recordMissing(directory, server.id, key);
    }
  }
}

/** Records the contents of an engine that its owner reported. */
export function recordContents(
  directory: AdapterDirectory,
  engine: ServerId,
  report: {
    readonly availableAdapters: readonly AvailableAdapter[];
    readonly now: Millis;
  },
): void {
  const { availableAdapters, now } = report;
  directory.reportedAt.set(engine, now);
  const held = getOrCreateEngine(directory, engine);
  const listed = new Set<ModelAdapterKey>();
  for (const { key, version, readyIn } of availableAdapters) {
    listed.add(key);
    const readyAt = millis(now + readyIn);
    held.set(key, { version, readyAt, confirmedAt: now });
  }
  for (const [key, { promisedAt }] of held) {
    const mayPredatePromise =
      promisedAt !== undefined && now < promisedAt + maxReportDelay;
    if (!listed.has(key) && !mayPredatePromise) {
      recordMissing(directory, engine, key);
    }
  }
}

/** Records that an engine's owner reported the contents to be unchanged. */
export function confirmContents(
  directory: AdapterDirectory,
  engine: ServerId,
  now: Millis,
): void {
  if (directory.byEngine.has(engine)) directory.reportedAt.set(engine, now);
}

/** Whether an engine's owner reported its contents recently. */
export function hasRecentReport(
  directory: AdapterDirectory,
  engine: ServerId,
  now: Millis,
): boolean {
  const reportedAt = directory.reportedAt.get(engine);
  return reportedAt !== undefined && now < reportedAt + maxContentsAge;
}

/** Records that an engine's owner promised an adapter. */
export function recordPromise(
  directory: AdapterDirectory,
  engine: ServerId,
  promise: {
    readonly key: ModelAdapterKey;
    readonly version: number;
    readonly readyAt: Millis;
    readonly now: Millis;
  },
): void {
  const { key, version, readyAt } = promise;
  const confirmedAt = millis(Math.max(readyAt, promise.now));
  const promisedAt = promise.now;
  getOrCreateEngine(directory, engine).set(key, {
    version,
    readyAt,
    confirmedAt,
    promisedAt,
  });
}

/** Records that an engine does not hold an adapter, or not in the requested version. */
export function recordMissing(
  directory: AdapterDirectory,
  engine: ServerId,
  key: ModelAdapterKey,
): void {
  const held = directory.byEngine.get(engine);
  const entry = held?.get(key);
  if (entry === undefined) return;
  held?.delete(key);
  const previous =
    directory.previouslyHeld.get(engine) ?? new Map<ModelAdapterKey, number>();
  directory.previouslyHeld.set(engine, previous);
  previous.delete(key);
  previous.set(key, entry.version);
  if (previous.size <= maxPreviouslyHeld) return;
  const [oldest] = previous.keys();
  if (oldest !== undefined) previous.delete(oldest);
}

/** Removes an engine that is gone or has restarted. */
export function forgetEngineAdapters(
  directory: AdapterDirectory,
  engine: ServerId,
): void {
  directory.byEngine.delete(engine);
  directory.previouslyHeld.delete(engine);
  directory.reportedAt.delete(engine);
}

/** Time at which an engine has an adapter in at least this version; undefined if unknown. */
export function findReadyAt(
  directory: AdapterDirectory,
  engine: ServerId,
  requested: { readonly key: ModelAdapterKey; readonly version: number },
): Millis | undefined {
  const entry = directory.byEngine.get(engine)?.get(requested.key);
  if (entry === undefined || entry.version < requested.version)
    return undefined;
  return entry.readyAt;
}

/** Expected time of an adapter load from the weight store, and from the host's memory, in ms. */
const loadTime = 320;
const cachedLoadTime = 70;
/** Extra time of a request to another region or data centre, in ms. */
const otherRegionTime = 45;
const otherDataCentreTime = 3;
/** Cost of an engine that failed recently, above that of any other, in ms. */
const suspendedCost = 60_000;
/** Time that a further copy of an adapter must save before it is loaded, in ms. */
const copyCost = 180;
/** Time by which an engine must be better than the one before it in rendezvous order, in ms. */
const rankCost = 120;

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
  /** Expected wait at an engine behind other requests, in ms. */
  readonly estimateWait: (engine: ServerId) => Millis;
  /** Whether the contents of an engine are known well enough to skip its owner. */
  readonly isKnown: (engine: ServerId) => boolean;
};

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
    engines: [...others.keys()].map((engine) => ({ engine, weight: 1 })),
    count: others.size,
  });
  const rated = homes.map((id, rank): RatedEngine => {
    const server = others.get(id) as BackendServer;
    const { adapterDirectory } = context;
    const mayHold = findReadyAt(adapterDirectory, id, requested) !== undefined;
    const isFast = mayHold || hasCachedCopy(adapterDirectory, id, requested);
    const base = isFast ? cachedLoadTime : loadTime + rank * rankCost;
    const extra = holders.length > 0 ? copyCost : 0;
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
  context: Omit<EngineSelectionContext, "isKnown" | "adapterDirectory"> & {
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

/** Whether an engine's owner promised an adapter to this node a short time ago. */
function wasPromised(
  directory: AdapterDirectory,
  engine: ServerId,
  key: ModelAdapterKey,
  now: Millis,
): boolean {
  const promisedAt = directory.byEngine.get(engine)?.get(key)?.promisedAt;
  return promisedAt !== undefined && now < promisedAt + maxContentsAge;
}

/** Whether the host of an engine keeps a copy in memory, which loads faster. */
function hasCachedCopy(
  directory: AdapterDirectory,
  engine: ServerId,
  requested: { readonly key: ModelAdapterKey; readonly version: number },
): boolean {
  const version = directory.previouslyHeld.get(engine)?.get(requested.key);
  return version !== undefined && version >= requested.version;
}

/** Extra time of a request because of the engine's distance and backlog, in ms. */
function computeEngineCost(
  server: BackendServer,
  context: Omit<EngineSelectionContext, "isKnown" | "adapterDirectory">,
): number {
  return computeDistanceCost(server, context) + context.estimateWait(server.id);
}

function computeDistanceCost(
  server: BackendServer,
  context: ServerSelectionContext,
): number {
  if (server.dataCentre === context.dataCentre) return 0;
  return context.regionOf(server.dataCentre) === context.region
    ? otherDataCentreTime
    : otherRegionTime;
}
