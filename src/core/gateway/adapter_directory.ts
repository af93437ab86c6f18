import { type Millis, millis } from "../clock.ts";
import type { ModelAdapterKey, ServerId } from "../ids.ts";
import { formatModelAdapterKey } from "../ids.ts";
import { selectHomes } from "../placement/rendezvous.ts";
import type { ServerSelectionContext } from "./choose_server.ts";
import type { AvailableAdapter } from "./engine_backlog.ts";
import { isSuspended } from "./server_health.ts";
import type { BackendServer } from "./servers.ts";

/** What a node believes of one adapter at one engine. */
type Holding = {
  version: number;
  readyAt: Millis;
  /** Last time at which anything confirmed it. */
  confirmedAt: Millis;
  /** Time at which the owner promised it to this node. */
  promisedAt?: Millis;
};

/** Adapters that a node believes engines to hold. */
export type AdapterDirectory = {
  readonly byEngine: Map<ServerId, Map<ModelAdapterKey, Holding>>;
  /** Versions of adapters that an engine held and gave up, oldest first; it keeps copies in its host's memory. */
  readonly previouslyHeld: Map<ServerId, Map<ModelAdapterKey, number>>;
  /** Time at which the owner of each engine last told its contents. */
  readonly reportedAt: Map<ServerId, Millis>;
};

/** Adapters of which an engine's host keeps copies. */
const maxEarlier = 100;
/** Time for which an owner's word goes before a registration, in ms. */
const wordLifetime = 4_000;
/** Time for which a promise goes before a list that may have crossed it, in ms. */
const crossingTime = 150;

/** Time after which a registration that does not list an adapter disproves it, in ms. */
const registrationLag = 3_000;

/** Holdings of a node that knows nothing. */
export function createAdapterDirectory(): AdapterDirectory {
  return {
    byEngine: new Map(),
    previouslyHeld: new Map(),
    reportedAt: new Map(),
  };
}

function obtainEngine(
  adapterDirectory: AdapterDirectory,
  engine: ServerId,
): Map<ModelAdapterKey, Holding> {
  let held = adapterDirectory.byEngine.get(engine);
  if (held === undefined) {
    held = new Map();
    adapterDirectory.byEngine.set(engine, held);
  }
  return held;
}

/** Takes over what an engine's registration lists. */
export function recordRegistration(
  holdings: AdapterDirectory,
  server: BackendServer,
  now: Millis,
): void {
  const toldAt = holdings.reportedAt.get(server.id);
  if (toldAt !== undefined && now < toldAt + wordLifetime) return;
  const held = obtainEngine(holdings, server.id);
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
    if (!listed.has(key) && now > confirmedAt + registrationLag) {
      recordMissing(holdings, server.id, key);
    }
  }
}

/** Takes over the contents of an engine that its owner told. */
export function recordContents(
  holdings: AdapterDirectory,
  engine: ServerId,
  told: { readonly places: readonly AvailableAdapter[]; readonly now: Millis },
): void {
  const { places, now } = told;
  holdings.reportedAt.set(engine, now);
  const held = obtainEngine(holdings, engine);
  const listed = new Set<ModelAdapterKey>();
  for (const { key, version, readyIn } of places) {
    listed.add(key);
    const readyAt = millis(now + readyIn);
    held.set(key, { version, readyAt, confirmedAt: now });
  }
  for (const [key, { promisedAt }] of held) {
    const mayHaveCrossed =
      promisedAt !== undefined && now < promisedAt + crossingTime;
    if (!listed.has(key) && !mayHaveCrossed) {
      recordMissing(holdings, engine, key);
    }
  }
}

/** Notes that an engine's owner promised an adapter. */
export function recordPromise(
  holdings: AdapterDirectory,
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
  obtainEngine(holdings, engine).set(key, {
    version,
    readyAt,
    confirmedAt,
    promisedAt,
  });
}

/** Notes that an engine does not hold an adapter, or not in the version asked for. */
export function recordMissing(
  holdings: AdapterDirectory,
  engine: ServerId,
  key: ModelAdapterKey,
): void {
  const held = holdings.byEngine.get(engine);
  const holding = held?.get(key);
  if (holding === undefined) return;
  held?.delete(key);
  const earlier =
    holdings.previouslyHeld.get(engine) ?? new Map<ModelAdapterKey, number>();
  holdings.previouslyHeld.set(engine, earlier);
  earlier.delete(key);
  earlier.set(key, holding.version);
  if (earlier.size <= maxEarlier) return;
  const [oldest] = earlier.keys();
  if (oldest !== undefined) earlier.delete(oldest);
}

/** Forgets an engine that is gone or has restarted. */
export function forgetEngineAdapters(
  holdings: AdapterDirectory,
  engine: ServerId,
): void {
  holdings.byEngine.delete(engine);
  holdings.previouslyHeld.delete(engine);
  holdings.reportedAt.delete(engine);
}

/** Time at which an engine has an adapter in at least this version; undefined if unknown. */
export function findReadyAt(
  holdings: AdapterDirectory,
  engine: ServerId,
  wanted: { readonly key: ModelAdapterKey; readonly version: number },
): Millis | undefined {
  const holding = holdings.byEngine.get(engine)?.get(wanted.key);
  if (holding === undefined || holding.version < wanted.version)
    return undefined;
  return holding.readyAt;
}

/** Expected time of a load from the weight store, and from the host's memory, in ms. */
const loadTime = 320;
const earlierLoadTime = 70;
/** Cost of another region or data centre, in ms of the request's time. */
const otherRegionTime = 45;
const otherDataCentreTime = 3;
/** Time that a further copy of an adapter has to save before it is loaded, in ms. */
const copyThreshold = 180;
/** Time by which a later home in rendezvous order has to be better, in ms. */
const homeThreshold = 120;

/** An engine for a request, with the time at which it has the adapter if that is known. */
export type RankedEngine = {
  readonly server: BackendServer;
  readonly readyAt: Millis | undefined;
};

/** What the ranking of engines depends on. */
export type EngineSelectionContext = ServerSelectionContext & {
  readonly holdings: AdapterDirectory;
  /** Expected wait at an engine behind other requests, in ms. */
  readonly estimateWait: (engine: ServerId) => Millis;
};

type Rated = RankedEngine & { readonly cost: number };

/**
 * Engines to try for an adapter, best first, by the time until the answer
 * begins. Engines without it count a load, and come after one that holds it
 * unless they save a good deal. One that held it before goes first among
 * them, then they are taken in rendezvous order, so that all nodes ask the
 * same owner for a load.
 */
export function rankEngines(
  candidates: readonly BackendServer[],
  wanted: { readonly key: ModelAdapterKey; readonly version: number },
  outlook: EngineSelectionContext,
): RankedEngine[] {
  const holders: Rated[] = [];
  const others = new Map<ServerId, BackendServer>();
  for (const server of candidates) {
    if (isSuspended(outlook.health, server.id, outlook.now)) continue;
    const readyAt = findReadyAt(outlook.holdings, server.id, wanted);
    if (readyAt === undefined) {
      others.set(server.id, server);
      continue;
    }
    const wait = Math.max(0, readyAt - outlook.now);
    const cost = wait + rateEngine(server, outlook);
    holders.push({ server, readyAt, cost });
  }
  const homes = selectHomes(wanted.key, {
    engines: [...others.keys()].map((engine) => ({ engine, weight: 1 })),
    count: others.size,
  });
  const rated = homes.map((id, rank): Rated => {
    const server = others.get(id) as BackendServer;
    const isEarlier = wasHeld(outlook.holdings, id, wanted);
    const base = isEarlier ? earlierLoadTime : loadTime + rank * homeThreshold;
    const extra = holders.length > 0 ? copyThreshold : 0;
    const cost = base + extra + rateEngine(server, outlook);
    return { server, readyAt: undefined, cost };
  });
  return [...holders, ...rated].sort((a, b) => a.cost - b.cost);
}

/** Whether an engine has a copy in its host's memory, which loads faster. */
function wasHeld(
  holdings: AdapterDirectory,
  engine: ServerId,
  wanted: { readonly key: ModelAdapterKey; readonly version: number },
): boolean {
  const version = holdings.previouslyHeld.get(engine)?.get(wanted.key);
  return version !== undefined && version >= wanted.version;
}

/** Time that the distance and the backlog of an engine cost a request, in ms. */
function rateEngine(
  server: BackendServer,
  outlook: EngineSelectionContext,
): number {
  return rateDistance(server, outlook) + outlook.estimateWait(server.id);
}

function rateDistance(
  server: BackendServer,
  outlook: EngineSelectionContext,
): number {
  if (server.dataCentre === outlook.dataCentre) return 0;
  return outlook.regionOf(server.dataCentre) === outlook.region
    ? otherDataCentreTime
    : otherRegionTime;
}
