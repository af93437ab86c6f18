import {
  type CallLedgers,
  recordCalls,
  recordCrowd,
  type ServerCrowd,
} from "../../../core/gateway/server_crowds.ts";
import { countInFlight } from "../../../core/gateway/server_health.ts";
import type { BackendServer } from "../../../core/gateway/servers.ts";
import type { MachineName } from "../../../core/ids.ts";
import { chooseByRendezvous } from "../../../core/lease/rendezvous.ts";
import type {
  CallsMessage,
  CrowdMessage,
  NodeChannel,
} from "../../../ports/nodes.ts";
import type { GatewayContext } from "../context.ts";
import { CallReports } from "./call_reports.ts";

type CrowdTrackerOptions = {
  readonly context: GatewayContext;
  readonly channel: NodeChannel;
  /** All nodes, this one included; undefined until they are known. */
  readonly listMachines: () => readonly MachineName[] | undefined;
  readonly findAddress: (machine: MachineName) => string | undefined;
  /** Peer addresses of all other nodes. */
  readonly listAddresses: () => readonly string[];
};

/**
 * Tells the nodes which servers without models are crowded. For each server one
 * node, the first in rendezvous order, adds up the requests of all.
 */
export class CrowdTracker {
  readonly #options: CrowdTrackerOptions;
  readonly #reports: CallReports;
  readonly #ledgers: CallLedgers = new Map();

  private constructor(options: CrowdTrackerOptions) {
    this.#options = options;
    this.#reports = CallReports.create({
      clock: options.context.dependencies.clock,
      send: (server) => this.#sendCalls(server),
    });
  }

  static create(options: CrowdTrackerOptions): CrowdTracker {
    return new CrowdTracker(options);
  }

  /** Reports the requests that this node has at a server, soon after they have changed. */
  report(server: BackendServer): void {
    this.#reports.report(server);
  }

  stop(): void {
    this.#reports.stop();
  }

  #sendCalls(server: BackendServer): void {
    const { context, channel, listMachines, findAddress } = this.#options;
    const machines = listMachines() ?? [];
    // What a node alone needs is what it counts itself.
    if (machines.length <= 1) return;
    const counter = chooseByRendezvous(server.id, machines);
    if (counter === undefined) return;
    const { machine: from } = context.dependencies.identity;
    const { id, born } = server;
    const calls = countInFlight(context.health, id);
    const message = {
      type: "calls",
      from,
      server: { id, born },
      calls,
    } as const;
    if (counter === from) return this.receiveCalls(message);
    const address = findAddress(counter);
    if (address !== undefined) channel.send(address, message);
  }

  /** Adds the requests of a node to those of the others. */
  receiveCalls({ from, server: { id, born }, calls }: CallsMessage): void {
    const { context } = this.#options;
    const server = context.directory.servers.get(id);
    if (server === undefined || server.born !== born) return;
    const { nodeCount: nodes } = context;
    const report = { from, calls, nodes, now: context.now() };
    const crowd = recordCalls(this.#ledgers, server, report);
    if (crowd !== undefined) this.#publish(crowd);
  }

  /** Applies what another node says of a server. */
  receiveCrowd({ server, load }: CrowdMessage): void {
    const { context } = this.#options;
    recordCrowd(context.crowds, { server, load }, context.now());
  }

  /** Removes a server that is gone. */
  forget(id: BackendServer["id"]): void {
    this.#reports.forget(id);
    this.#ledgers.delete(id);
    this.#options.context.crowds.delete(id);
  }

  #publish(crowd: ServerCrowd): void {
    const { context, channel, listAddresses } = this.#options;
    const { machine: from } = context.dependencies.identity;
    recordCrowd(context.crowds, crowd, context.now());
    context.dependencies.meter.count("server_crowds_total", {
      state: crowd.load > 0 ? "crowded" : "free",
    });
    for (const address of listAddresses())
      channel.send(address, { type: "crowd", from, ...crowd });
  }
}
