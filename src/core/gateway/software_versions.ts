import { type Millis, millis } from "../clock.ts";
import { brandString, type ServiceName, type SoftwareVersion } from "../ids.ts";
import type { BackendServer } from "./servers.ts";

/**
 * Time after which no caller takes up a stream any more, in ms; longer than
 * streams and the deadlines of their callers.
 */
export const streamMemory = 60_000;

/** Stands for the version of servers that state none, and for one that is not known; it never continues a stream. */
export const unknownVersion: SoftwareVersion = brandString("");

/**
 * Age of the view of the servers, in ms, from which it no longer tells that no
 * other version serves. A node in touch with the store or its readers has a
 * view of at most 2.7 s.
 */
export const maxViewAge = 3_000;

/** When servers of a software version were in sight. */
type Sight = { readonly first: Millis; readonly last: Millis };

/** Software versions of a service that were in sight lately. */
type SeenVersions = Map<SoftwareVersion, Sight>;

/** Software versions of the services, as one node has seen them or heard of them. */
export type VersionHistory = {
  readonly services: Map<ServiceName, SeenVersions>;
};

/** Creates a history without versions. */
export function createVersionHistory(): VersionHistory {
  return { services: new Map() };
}

/** Records the versions of the servers that are in sight now; forgets those of long ago. */
export function recordServers(
  history: VersionHistory,
  servers: Iterable<BackendServer>,
  now: Millis,
): void {
  for (const { service, softwareVersion = unknownVersion } of servers)
    recordVersion(history, { service, version: softwareVersion, at: now });
  for (const [service, versions] of history.services) {
    for (const [version, { last }] of versions)
      if (now > last + streamMemory) versions.delete(version);
    if (versions.size === 0) history.services.delete(service);
  }
}

/** Records that a server of a version was in sight at a time. */
export function recordVersion(
  { services }: VersionHistory,
  seen: {
    readonly service: ServiceName;
    readonly version: SoftwareVersion;
    readonly at: Millis;
  },
): void {
  const versions = services.get(seen.service) ?? new Map();
  services.set(seen.service, versions);
  const { first = seen.at, last = seen.at } = versions.get(seen.version) ?? {};
  versions.set(seen.version, {
    first: millis(Math.min(first, seen.at)),
    last: millis(Math.max(last, seen.at)),
  });
}

/** Versions of a service that were in sight lately. */
export function listVersions(
  { services }: VersionHistory,
  service: ServiceName,
): SoftwareVersion[] {
  return [...(services.get(service)?.keys() ?? [])];
}

/** Services that more than one version was in sight of lately. */
export function listMixedServices(history: VersionHistory): ServiceName[] {
  return [...history.services]
    .filter(([, versions]) => versions.size > 1)
    .map(([service]) => service);
}

/**
 * Whether no stream begins at a server yet: its version is new in the service,
 * and nodes in touch may not have seen it. Only then may a node that sees a
 * single version rely on it. Where no server of an older version serves any
 * more there is no such wait.
 */
export function isTooNew(
  { services }: VersionHistory,
  server: BackendServer,
  known: { readonly servers: Iterable<BackendServer>; readonly now: Millis },
): boolean {
  const { service, softwareVersion } = server;
  const versions = services.get(service);
  if (softwareVersion === undefined || versions === undefined) return false;
  const { servers, now } = known;
  const firstSeen = (version: SoftwareVersion) =>
    versions.get(version)?.first ?? now;
  const first = firstSeen(softwareVersion);
  if (now >= first + maxViewAge) return false;
  for (const other of servers) {
    if (other.service !== service || other.leaving) continue;
    const version = other.softwareVersion;
    if (version !== undefined && firstSeen(version) < first) return true;
  }
  return false;
}
