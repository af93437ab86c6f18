import type { Clock, Millis } from "../core/clock.ts";
import { millis } from "../core/clock.ts";
import type { BackendServer } from "../core/gateway/servers.ts";
import {
  brandString,
  type ServiceName,
  type SoftwareVersion,
} from "../core/ids.ts";
import { GatewayContext } from "../node/gateway/context.ts";
import type { StreamKeeper } from "../node/gateway/streams/stream_keeper.ts";
import { noBacklog } from "../ports/event_backlog.ts";
import { silentJournal, silentMeter } from "../ports/journal.ts";
import type { Cut } from "./stream_fleet_cuts.ts";

/** Service of the servers that the fleet's streams run at. */
export const service: ServiceName = brandString("engines");

/** One node of the fleet. */
export type FleetNode = {
  readonly index: number;
  /** What the node is cut off from now, and since when. */
  cut: Cut | undefined;
  cutAt: Millis;
  /** When it has read the changes that it missed. */
  behindUntil: Millis;
  context: GatewayContext;
  keeper: StreamKeeper | undefined;
  restartedAt: number;
};

/** Creates the context of a node that sends nothing to servers. */
export function createContext(options: {
  readonly index: number;
  readonly nodes: number;
  readonly clock: Clock;
  readonly random: () => number;
}): GatewayContext {
  const { index, nodes, clock, random } = options;
  const context = GatewayContext.create({
    identity: {
      machine: brandString(`n${index}`),
      process: `p${clock.now()}`,
      dataCentre: brandString("tatry-a"),
      region: brandString("tatry"),
      regions: new Map(),
      peerAddress: `10.0.0.1:${index + 1}`,
    },
    clock,
    random,
    journal: silentJournal,
    meter: silentMeter,
    links: {
      send: () => ({ cancel() {}, pause() {}, resume() {} }),
      disconnect() {},
    },
    backlog: noBacklog,
    probe: async () => true,
    retryLimits: { ratio: 0, slack: 0, window: millis(1_000) },
  });
  context.nodeCount = nodes;
  return context;
}

/** Describes a server by its position and the version of its software. */
export function createServer(at: number, version: string): BackendServer {
  return {
    id: brandString(`s${at}`),
    service,
    address: `10.0.1.${at}:80`,
    dataCentre: brandString("tatry-a"),
    softwareVersion: brandString<SoftwareVersion>(version),
    slots: 100,
    leaving: false,
    models: [],
    orderCount: 0,
    born: version === "v1" ? 1 : 2,
  };
}
