import { type Millis, millis } from "../clock.ts";
import type {
  AdapterName,
  DataCentre,
  ModelName,
  ServerId,
  ServiceName,
  SoftwareVersion,
} from "../ids.ts";

/** An adapter that a server reports as loaded. */
export type HeldAdapter = {
  readonly name: AdapterName;
  readonly version: number;
};

/** A base model that a server reports as loaded, with its adapters. */
export type HeldModel = {
  readonly name: ModelName;
  readonly version: number;
  readonly adapters: readonly HeldAdapter[];
};

/** One backend server as it registered itself. */
export type BackendServer = {
  readonly id: ServerId;
  readonly service: ServiceName;
  /** `IP:PORT`. */
  readonly address: string;
  readonly dataCentre: DataCentre;
  /** Undefined if the server does not state one; it then equals no other. */
  readonly softwareVersion: SoftwareVersion | undefined;
  readonly slots: number;
  readonly leaving: boolean;
  readonly models: readonly HeldModel[];
  /** Number of orders that the server had accepted. */
  readonly orderCount: number;
  /** Start of this incarnation in ms since the epoch, if the server reports it. */
  readonly born: number | undefined;
};

/** One start of a server: an id may be used again by a later one. */
export type Incarnation = Pick<BackendServer, "id" | "born">;

/** Servers known to a node; a change replaces the entry and keeps the map. */
export type ServerDirectory = {
  readonly servers: Map<ServerId, BackendServer>;
  /** Servers whose registration disappeared during an outage, with the time until which they stay usable. */
  readonly expiring: Map<ServerId, Millis>;
  /** Incarnations that were known as leaving, oldest first. */
  readonly leaving: Set<string>;
  /** Incarnations whose registration was removed, oldest first. */
  readonly gone: Set<string>;
};

/** Maximum number of incarnations that a directory remembers as leaving, and as gone. */
export const maxRemembered = 10_000;

/** Creates a directory without servers. */
export function createServerDirectory(): ServerDirectory {
  return {
    servers: new Map(),
    expiring: new Map(),
    leaving: new Set(),
    gone: new Set(),
  };
}

/** Identifies an incarnation among all servers. */
function formatIncarnation({ id, born }: Incarnation): string {
  return `${id}/${born ?? ""}`;
}

/**
 * Records that an incarnation leaves, for good: a registration that says
 * otherwise is older. Returns whether this changed a server of the directory.
 */
export function recordLeaving(
  directory: ServerDirectory,
  incarnation: Incarnation,
): boolean {
  remember(directory.leaving, formatIncarnation(incarnation));
  const server = directory.servers.get(incarnation.id);
  if (server === undefined || server.leaving) return false;
  if (server.born !== incarnation.born) return false;
  directory.servers.set(server.id, { ...server, leaving: true });
  return true;
}

/** Adds a key to a set of limited size; the oldest ones are dropped. */
function remember(keys: Set<string>, key: string): void {
  keys.delete(key);
  keys.add(key);
  for (const oldest of keys) {
    if (keys.size <= maxRemembered) return;
    keys.delete(oldest);
  }
}

/** A changed registration, or the id of one that disappeared. */
export type ServerChange =
  | {
      readonly type: "present";
      readonly server: BackendServer;
      /** The entry may come from the copy from which the table service was restored. */
      readonly isFromCopy?: boolean;
    }
  | {
      readonly type: "absent";
      readonly id: ServerId;
      /** End of the latest outage in which registrations can have expired. */
      readonly outageEndedAt: Millis;
    };

/**
 * Time after an outage, in ms, within which servers whose registrations
 * expired in it have registered again and the node has read that.
 */
const reregistrationTime = 3_000;

/**
 * Applies a new or changed registration; `now` decides whether one that
 * disappeared can have expired in an outage. Returns the time until which such
 * a server stays usable.
 */
export function applyServerChange(
  directory: ServerDirectory,
  change: ServerChange,
  now: Millis,
): Millis | undefined {
  if (change.type === "present") {
    const { server } = change;
    if (change.isFromCopy && isOutdated(directory, server)) return undefined;
    directory.gone.delete(formatIncarnation(server));
    directory.expiring.delete(server.id);
    directory.servers.set(server.id, server);
    if (server.leaving || directory.leaving.has(formatIncarnation(server)))
      recordLeaving(directory, server);
    return undefined;
  }
  const usableUntil = millis(change.outageEndedAt + reregistrationTime);
  const known = directory.servers.get(change.id);
  if (known === undefined || known.leaving || now >= usableUntil) {
    removeServer(directory, change.id);
    return undefined;
  }
  directory.expiring.set(change.id, usableUntil);
  return usableUntil;
}

/** Whether the directory knows more of a server than an entry of a copy says. */
function isOutdated(directory: ServerDirectory, entry: BackendServer): boolean {
  if (directory.gone.has(formatIncarnation(entry))) return true;
  const known = directory.servers.get(entry.id);
  if (known === undefined || directory.expiring.has(entry.id)) return false;
  if (known.born === entry.born) return !entry.leaving;
  return (known.born ?? 0) > (entry.born ?? 0);
}

function removeServer(directory: ServerDirectory, id: ServerId): void {
  const known = directory.servers.get(id);
  if (known !== undefined) remember(directory.gone, formatIncarnation(known));
  directory.expiring.delete(id);
  directory.servers.delete(id);
}

/** Removes servers whose registration did not return in time; returns their ids. */
export function removeExpiredServers(
  directory: ServerDirectory,
  now: Millis,
): ServerId[] {
  const expired: ServerId[] = [];
  for (const [id, until] of directory.expiring) {
    if (now < until) continue;
    expired.push(id);
    removeServer(directory, id);
  }
  return expired;
}

/** Whether a server that was selected earlier still accepts new requests. */
export function acceptsRequests(
  directory: ServerDirectory,
  selected: BackendServer,
): boolean {
  const server = directory.servers.get(selected.id);
  return (
    server !== undefined &&
    !server.leaving &&
    server.address === selected.address &&
    // Under the same id the server may have started again with other software.
    server.born === selected.born &&
    server.softwareVersion === selected.softwareVersion
  );
}

/** Whether a server belongs to a service and accepts new requests. */
export function isUsable(server: BackendServer, service: ServiceName): boolean {
  return server.service === service && !server.leaving;
}

/** Servers of a service that accept new requests. */
export function listUsableServers(
  directory: ServerDirectory,
  service: ServiceName,
): BackendServer[] {
  const usable: BackendServer[] = [];
  for (const server of directory.servers.values()) {
    if (isUsable(server, service)) usable.push(server);
  }
  return usable;
}
