import type { Clock } from "../core/clock.ts";
import { EngineServer } from "./engine_server.ts";
import { EngineSimulator } from "./engine_simulator.ts";
import type { HttpHost } from "./http_host.ts";
import { MemoryMachineList, MemoryObjectStore } from "./memory_platform.ts";
import { MemoryService } from "./memory_service.ts";
import { MemoryTable } from "./memory_table.ts";
import { createPlatformServer } from "./platform_server.ts";
import { createServiceServer } from "./service_server.ts";
import { WeightStore } from "./weight_store.ts";

/** Back ends and platform of one settings file. */
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

/** Running stand-ins, through which faults are injected. */
export type RunningSite = {
  readonly table: MemoryTable;
  readonly machines: MemoryMachineList;
  readonly store: WeightStore;
  readonly engines: ReadonlyMap<string, EngineSimulator>;
  readonly services: ReadonlyMap<string, MemoryService>;
  readonly hosts: readonly HttpHost[];
};

/** Starts the stand-ins of a site on loopback. */
export async function startSite(
  site: Site,
  clock: Clock,
): Promise<RunningSite> {
  const table = MemoryTable.create(clock);
  const machines = MemoryMachineList.create(clock, { lag: 5_000 });
  const store = WeightStore.create(clock);
  const engines = new Map<string, EngineSimulator>();
  const services = new Map<string, MemoryService>();
  const hosts = [
    await createPlatformServer(
      { table, machines, objects: new MemoryObjectStore() },
      { port: site.platform },
    ),
  ];
  for (const { id, port, ...limits } of site.engines) {
    const simulator = EngineSimulator.create({ id, clock, store, limits });
    engines.set(id, simulator);
    hosts.push(await EngineServer.create(simulator, { clock, port }));
  }
  for (const { id, port } of site.services) {
    const service = MemoryService.create(clock);
    services.set(id, service);
    hosts.push(await createServiceServer(service, { clock, port }));
  }
  return { table, machines, store, engines, services, hosts };
}
