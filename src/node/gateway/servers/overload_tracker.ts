import { countInFlight } from "../../../core/gateway/server_health.ts";
import {
  type CallLedgers,
  recordCalls,
  recordOverload,
  type ServerOverload,
} from "../../../core/gateway/server_overload.ts";
import type { BackendServer } from "../../../core/gateway/servers.ts";
import type { MachineName } from "../../../core/ids.ts";
import { chooseByRendezvous } from "../../../core/lease/rendezvous.ts";
import type {
  CallsMessage,
  NodeChannel,
  OverloadMessage,
} from "../../../ports/nodes.ts";
import type { GatewayContext } from "../context.ts";
import { CallReports } from "./call_reports.ts";

type OverloadTrackerOptions = {
  readonly context: GatewayContext;
  readonly channel: NodeChannel;
  /** All nodes, this one included; undefined until they are known. */
  readonly listMachines: () => readonly MachineName[] | undefined;
  readonly findAddress: (machine: MachineName) => string | undefined;
  /** Peer addresses of all other nodes. */
  readonly listAddresses: () => readonly string[];
};

/**
 * Tells the nodes which servers without models are overloaded. For each server one
 * node, the first in rendezvous order, adds up the requests of all.
 */
export class OverloadTracker {
  readonly #options: OverloadTrackerOptions;
  readonly #reports: CallReports;
  readonly #ledgers: CallLedgers = new Map();

  private constructor(options: OverloadTrackerOptions) {
    this.#options = options;
    this.#reports = CallReports.create({
      clock: options.context.dependencies.clock,
      send: (server) => this.#sendCalls(server),
    });
  }

  static create(options: OverloadTrackerOptions): OverloadTracker {
    return new OverloadTracker(options);
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
    const overload = recordCalls(this.#ledgers, server, report);
    if (overload !== undefined) this.#publish(overload);
  }

  /** Applies what another node says of a server. */
  receiveOverload({ server, load }: OverloadMessage): void {
    const { context } = this.#options;
    recordOverload(context.overloads, { server, load }, context.now());
  }

  /** Removes a server that is gone. */
  forget(id: BackendServer["id"]): void {
    this.#reports.forget(id);
    this.#ledgers.delete(id);
    this.#options.context.overloads.delete(id);
  }

  #publish(overload: ServerOverload): void {
    const { context, channel, listAddresses } = this.#options;
    const { machine: from } = context.dependencies.identity;
    recordOverload(context.overloads, overload, context.now());
    context.dependencies.meter.count("server_overloads_total", {
      state: overload.load > 0 ? "overloaded" : "free",
    });
    for (const address of listAddresses())
      channel.send(address, { type: "overload", from, ...overload });
  }
}
