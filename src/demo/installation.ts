import { mkdtempSync, writeFileSync } from "node:fs";
import type { AddressInfo } from "node:net";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { Settings } from "../adapters/settings/settings.ts";
import { parseSettings } from "../adapters/settings/settings.ts";
import type { Clock } from "../core/clock.ts";
import { Daemon } from "../node/daemon.ts";
import { type RunningSite, startSite } from "../standins/site.ts";

/** Regions of the demo, each with one data centre. */
export const demoRegions = ["tatry", "beskidy", "sudety"] as const;
/** Engines of each region. */
const enginesPerRegion = 2;
/** Nodes of each region unless `InstallationSize` sets their number. */
const defaultNodesPerRegion = 3;
/** Maximum number of adapter versions that an engine of the demo holds. */
const slotsPerEngine = 6;
/** Maximum number of requests in the batch of an engine. */
const batchPerEngine = 16;

const demoSecret = "secret-of-the-demo-only";

/** Running nodes and stand-ins, on loopback in one process. */
export type Installation = {
  readonly site: RunningSite;
  readonly daemons: readonly Daemon[];
  readonly keyFile: string;
  /** Settings of the nodes that were not started. */
  readonly spare: readonly Settings[];
};

/** Size of an installation. */
export type InstallationSize = {
  readonly regions?: readonly string[];
  readonly nodesPerRegion?: number;
  /** Number of nodes at the end of the list that are not started. */
  readonly spareNodes?: number;
};

/** Starts the stand-ins and all nodes except the spare ones. */
export async function startInstallation(
  clock: Clock,
  size: InstallationSize = {},
): Promise<Installation> {
  const regions = size.regions ?? demoRegions;
  const nodesPerRegion = size.nodesPerRegion ?? defaultNodesPerRegion;
  const engineCount = regions.length * enginesPerRegion;
  const nodeCount = regions.length * nodesPerRegion;
  const ports = await reservePorts(
    1 + engineCount + regions.length + 2 * nodeCount,
  );
  const allocatePort = (): number => ports.pop() as number;
  const platform = allocatePort();
  const engines = regions.flatMap((region) =>
    Array.from({ length: enginesPerRegion }, (_, index) => ({
      id: `${region}-engine-${index + 1}`,
      region,
      dataCentre: `${region}-a`,
      port: allocatePort(),
      slots: slotsPerEngine,
      batch: batchPerEngine,
      fencing: index === 0 ? ("checked" as const) : ("ignored" as const),
    })),
  );
  const services = regions.map((region) => ({
    id: `${region}-booking`,
    region,
    port: allocatePort(),
  }));
  const site = await startSite({ platform, engines, services }, clock);
  const keyFile = join(mkdtempSync(join(tmpdir(), "goldcrestwinch-")), "keys");
  writeFileSync(
    keyFile,
    JSON.stringify({ keys: [{ id: "demo", secret: demoSecret }] }),
  );
  const nodes = regions.flatMap((region) =>
    Array.from({ length: nodesPerRegion }, (_, index) => ({
      name: `${region}-${index + 1}`,
      region,
      callers: allocatePort(),
      peers: allocatePort(),
    })),
  );
  const seeds = nodes.slice(0, 3).map(({ peers }) => `127.0.0.1:${peers}`);
  const settings = nodes.map((node) =>
    createSettings(node, { platform, engines, services, seeds, keyFile }),
  );
  const started = settings.slice(0, nodeCount - (size.spareNodes ?? 0));
  const daemons: Daemon[] = [];
  for (const config of started) daemons.push(await Daemon.start(config));
  return { site, daemons, keyFile, spare: settings.slice(started.length) };
}

/** Stops all nodes without draining, then the stand-ins. */
export async function stopInstallation(
  installation: Installation,
): Promise<void> {
  for (const daemon of installation.daemons) await daemon.stop();
  for (const host of installation.site.hosts) await host.close();
}

type DemoNode = {
  name: string;
  region: string;
  callers: number;
  peers: number;
};

function createSettings(
  node: DemoNode,
  shared: {
    platform: number;
    engines: readonly (Omit<Settings["engines"][number], "url"> & {
      port: number;
    })[];
    services: readonly { id: string; region: string; port: number }[];
    seeds: readonly string[];
    keyFile: string;
  },
): Settings {
  const { name, region, callers, peers } = node;
  const platform = `http://127.0.0.1:${shared.platform}`;
  return parseSettings({
    node: { name, region, dataCentre: `${region}-a` },
    listen: {
      callers: { host: "127.0.0.1", port: callers },
      peers: { host: "127.0.0.1", port: peers },
    },
    seeds: shared.seeds,
    keyFile: shared.keyFile,
    platform: { table: platform, objects: platform, machines: platform },
    engines: shared.engines.map(({ port, ...engine }) => ({
      ...engine,
      url: `http://127.0.0.1:${port}`,
    })),
    services: [
      {
        name: "chains",
        servers: shared.services.map(({ port, ...server }) => ({
          ...server,
          url: `http://127.0.0.1:${port}`,
        })),
        idempotent: [{ method: "GET", path: "/*" }],
      },
    ],
    log: { level: "error" },
  }).caseOf({
    Left: (refusal) => {
      throw new Error(refusal.detail);
    },
    Right: (settings) => settings,
  });
}

/** Finds free loopback ports by listening on all of them at the same time, so that they are distinct. */
async function reservePorts(count: number): Promise<number[]> {
  const servers = await Promise.all(
    Array.from(
      { length: count },
      () =>
        new Promise<ReturnType<typeof createServer>>((resolve) => {
          const server = createServer();
          server.listen(0, "127.0.0.1", () => resolve(server));
        }),
    ),
  );
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(
    servers.map((server) => new Promise((resolve) => server.close(resolve))),
  );
  return ports;
}
