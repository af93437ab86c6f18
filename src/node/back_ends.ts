import { EngineClient } from "../adapters/backends/engine_client.ts";
import { ServiceClient } from "../adapters/backends/service_client.ts";
import type { Settings } from "../adapters/settings/settings.ts";
import type { Clock } from "../core/clock.ts";
import { brandString, type ServiceName } from "../core/ids.ts";
import type { Meter } from "../ports/journal.ts";
import type { LocalEngine } from "./engine_owners.ts";
import type { LookupRoute, ServiceServer } from "./service_call_manager.ts";

/** Streams that may be open beyond an engine's batch size, since earlier streams can still be closing. */
const spareStreams = 16;
/** Maximum number of connections to one server of a booking service. */
const serviceConnections = 256;

/** Clients of the back ends that a node connects to. */
export type BackEnds = {
  /** Engines of the node's own data centre. */
  readonly engines: readonly LocalEngine[];
  readonly services: ReadonlyMap<ServiceName, readonly ServiceServer[]>;
  readonly lookups: ReadonlyMap<ServiceName, readonly LookupRoute[]>;
  close(): Promise<void>;
};

/** Creates a client for each configured engine of the node's data centre and each booking server. */
export function connectBackEnds(
  settings: Settings,
  options: { clock: Clock; meter: Meter },
): BackEnds {
  const clients: { close(): Promise<void> }[] = [];
  const engines = settings.engines
    .filter((engine) => engine.dataCentre === settings.node.dataCentre)
    .map((engine) => {
      const link = EngineClient.create({
        ...options,
        origin: engine.url,
        streams: engine.batch + spareStreams,
      });
      clients.push(link);
      const { slots, batch, fencing } = engine;
      const queue = settings.limits.engineQueue;
      return {
        engine: brandString(engine.id),
        limits: { slots, batch, queue, fencing },
        link,
      } satisfies LocalEngine;
    });
  const services = new Map<ServiceName, readonly ServiceServer[]>();
  const lookups = new Map<ServiceName, readonly LookupRoute[]>();
  for (const service of settings.services) {
    const servers = sortByDistance(service.servers, settings.node.region);
    services.set(
      brandString(service.name),
      servers.map((server) => {
        const link = ServiceClient.create({
          ...options,
          origin: server.url,
          connections: serviceConnections,
        });
        clients.push(link);
        return { id: server.id, link, leaving: false };
      }),
    );
    lookups.set(brandString(service.name), service.idempotent);
  }
  return {
    engines,
    services,
    lookups,
    async close() {
      await Promise.all(clients.map((client) => client.close()));
    },
  };
}

/** Returns the servers with those of the given region first. */
function sortByDistance<Server extends { region: string }>(
  servers: readonly Server[],
  region: string,
): Server[] {
  const rank = (server: Server) => (server.region === region ? 0 : 1);
  return [...servers].sort((a, b) => rank(a) - rank(b));
}
