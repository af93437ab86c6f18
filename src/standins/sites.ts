import type { Clock } from "../core/clock.ts";
import { EngineModel } from "./engine_model.ts";
import { EngineServer } from "./engine_server.ts";
import type { HttpHost } from "./http_host.ts";
import { MemoryMachines, MemoryObjects } from "./memory_platform.ts";
import { MemoryService } from "./memory_service.ts";
import { MemoryTable } from "./memory_table.ts";
import { createServiceServer } from "./service_server.ts";
import { createTableServer } from "./table_server.ts";
import { WeightStore } from "./weight_store.ts";

/** Back ends and platform that a settings file names. */
export type Site = {
  readonly platform: number;
  readonly engines: readonly {
    readonly id: string;
    readonly port: number;
    readonly slots: number;
    readonly batch: number;
    readonly fencing: "checked" | "ignored";
  }[];
  readonly services: readonly { readonly id: string; readonly port: number }[];
};

/** Running stand-ins with their switches. */
export type RunningSite = {
  readonly table: MemoryTable;
  readonly machines: MemoryMachines;
  readonly store: WeightStore;
  readonly engines: ReadonlyMap<string, EngineModel>;
  readonly services: ReadonlyMap<string, MemoryService>;
  readonly hosts: readonly HttpHost[];
};

/** Starts the stand-ins of a site on loopback. */
export async function startSite(
  site: Site,
  clock: Clock,
): Promise<RunningSite> {
  const table = MemoryTable.create(clock);
  const machines = MemoryMachines.create(clock, { lag: 5_000 });
  const store = WeightStore.create(clock);
  const engines = new Map<string, EngineModel>();
  const services = new Map<string, MemoryService>();
  const hosts = [
    await createTableServer(
      { table, machines, objects: new MemoryObjects() },
      { port: site.platform },
    ),
  ];
  for (const { id, port, ...limits } of site.engines) {
    const model = EngineModel.create({ id, clock, store, limits });
    engines.set(id, model);
    hosts.push(await EngineServer.create(model, { clock, port }));
  }
  for (const { id, port } of site.services) {
    const service = MemoryService.create(clock);
    services.set(id, service);
    hosts.push(await createServiceServer(service, { clock, port }));
  }
  return { table, machines, store, engines, services, hosts };
}
