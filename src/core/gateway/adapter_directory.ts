import { type Millis, millis } from "../clock.ts";
import type { ModelAdapterKey, ServerId } from "../ids.ts";
import { formatModelAdapterKey } from "../ids.ts";
import type { AvailableAdapter } from "./engine_backlog.ts";
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

/** Whether an engine's owner promised an adapter to this node a short time ago. */
export function wasPromised(
  directory: AdapterDirectory,
  engine: ServerId,
  key: ModelAdapterKey,
  now: Millis,
): boolean {
  const promisedAt = directory.byEngine.get(engine)?.get(key)?.promisedAt;
  return promisedAt !== undefined && now < promisedAt + maxContentsAge;
}

/** Whether the host of an engine keeps a copy in memory, which loads faster. */
export function hasCachedCopy(
  directory: AdapterDirectory,
  engine: ServerId,
  requested: { readonly key: ModelAdapterKey; readonly version: number },
): boolean {
  const version = directory.previouslyHeld.get(engine)?.get(requested.key);
  return version !== undefined && version >= requested.version;
}
