import { createSeededRandom } from "../adapters/random/seeded_random.ts";
import { VirtualClock } from "../adapters/time/virtual_clock.ts";
import { type Millis, millis } from "../core/clock.ts";
import type { EngineLimits } from "../core/engine/messages.ts";
import {
  brandString,
  type EngineId,
  type Region,
  type ServiceName,
} from "../core/ids.ts";
import { EngineSimulator } from "../standins/engine_simulator.ts";
import { MemoryTable } from "../standins/memory_table.ts";
import { WeightStore } from "../standins/weight_store.ts";
import type { TableFault } from "./faulty_table.ts";
import { Oracle } from "./oracle.ts";
import { SimulatedNode } from "./simulated_node.ts";
import { type ServiceRun, SimulatedServer } from "./simulated_server.ts";

/** Regions of the simulation; each has one data centre with two engines. */
export const simulatedRegions = ["tatry", "beskidy", "sudety"] as const;
/** Servers of the booking service. */
export const simulatedServers = ["s0", "s1", "s2"] as const;
/** Limits of the weight store: 8 loads in flight; 3 starts a second plus a burst of 8. */
const maxLoadsInFlight = 8;
const maxLoadsPerSecond = 3 + 8;
/** One-way network delay inside a region and between regions, in ms. */
const localDelay = millis(0.5);
const remoteDelay = millis(15);
/** Interval of the simulated gossip about leaving servers, in ms. */
const gossipInterval = millis(500);
/** Time for calls to arrive that a node sent before it learned that the server is leaving, in ms. */
const leavingGracePeriod = 50;

/** One engine of the simulation. */
export type SimulatedEngine = {
  readonly engine: EngineId;
  readonly region: Region;
  readonly limits: EngineLimits;
  readonly model: EngineSimulator;
};

/** Nodes, back ends and platform of one installation in one process, on virtual time. */
export class InstallationSimulation {
  readonly clock = VirtualClock.create();
  /** Table that all nodes share. */
  readonly rows = MemoryTable.create(this.clock);
  readonly oracle = new Oracle();
  readonly service: ServiceName = brandString("depot");
  readonly servers = new Map<string, SimulatedServer>();
  readonly engines: readonly SimulatedEngine[];
  readonly nodes: SimulatedNode[] = [];
  readonly random: () => number;
  readonly store: WeightStore;
  /** Fault of the table for all nodes. */
  tableFault: TableFault | undefined;
  /** Faults of the table for single nodes, by name; they override `tableFault`. */
  readonly nodeTableFaults = new Map<string, TableFault>();
  /** Prompt texts that crash an engine. */
  readonly poison = new Set<string>();
  /** Start times of the network cuts, by pair of endpoints. */
  readonly #cuts = new Map<string, number>();
  #starts = 0;

  constructor(seed: number) {
    this.random = createSeededRandom(seed);
    this.store = WeightStore.create(this.clock);
    for (const id of simulatedServers) {
      const onRun = (run: ServiceRun) => this.#recordRun(run);
      this.servers.set(
        id,
        new SimulatedServer(id, { clock: this.clock, onRun }),
      );
    }
    this.engines = simulatedRegions.flatMap((region) => [
      this.#createEngine(region, "checked"),
      this.#createEngine(region, "ignored"),
    ]);
    this.#disseminateLeaving();
  }

  enginesOf(region: Region): readonly SimulatedEngine[] {
    return this.engines.filter((engine) => engine.region === region);
  }

  /** Running node with this name. */
  findRunningNode(name: string): SimulatedNode | undefined {
    return this.nodes.find((node) => node.name === name && node.running);
  }

  start(name: string, region: Region): void {
    this.#starts++;
    this.nodes.push(
      new SimulatedNode(name, { simulation: this, region, run: this.#starts }),
    );
  }

  kill(node: SimulatedNode): void {
    node.killed = true;
    node.downSince = this.clock.now();
    node.stop();
    this.oracle.drained.delete(node.id);
    this.#breakConnections(node);
  }

  pause(node: SimulatedNode): void {
    node.downSince ??= this.clock.now();
    node.gate.pause();
  }

  resume(node: SimulatedNode): void {
    node.downSince = undefined;
    node.gate.resume();
  }

  /** Starts the drain of a node. */
  drain(node: SimulatedNode): void {
    this.oracle.drained.add(node.id);
    node.gate.deliver(() => node.node.drain());
  }

  /** Called when a node has stopped after its drain; callers without a response lose their connection. */
  handleNodeStopped(node: SimulatedNode): void {
    this.#breakConnections(node);
  }

  /** Checks new work that reaches a server: its node must not have known for `leavingGracePeriod` that the server is leaving. */
  checkNewWork(server: string, node: SimulatedNode): void {
    const since = node.leavingSince.get(server);
    if (since !== undefined && this.clock.now() - since > leavingGracePeriod) {
      this.oracle.violations.push(`${server}: new work while leaving`);
    }
  }

  /** Records work that reaches a server in a pause that it has asked the node for. */
  recordPausedWork(server: string): void {
    this.oracle.violations.push(`${server}: work in a pause`);
  }

  /** Records that a node has learned that a server is leaving; gossip informs the others. */
  recordLeaving(server: string, node: SimulatedNode): void {
    const known = node.leavingSince.get(server);
    node.leavingSince.set(server, known ?? this.clock.now());
  }

  /** Cuts or restores the network between two endpoints: names of nodes, regions, servers, engines or `table`. */
  setCut(first: string, second: string, cut: boolean): void {
    const pair = formatPair(first, second);
    if (cut) this.#cuts.set(pair, this.#cuts.get(pair) ?? this.clock.now());
    else this.#cuts.delete(pair);
  }

  /** Whether the network between a node and another endpoint is cut. */
  isCut(node: SimulatedNode, endpoint: string): boolean {
    return this.#findCutTime(node, endpoint) !== undefined;
  }

  tableFaultFor(node: SimulatedNode): TableFault | undefined {
    if (this.isCut(node, "table")) return "dropped";
    return this.nodeTableFaults.get(node.name) ?? this.tableFault;
  }

  /** Time since which one node receives nothing from another; undefined while it does. */
  unreachableSince(
    from: SimulatedNode,
    other: SimulatedNode,
  ): number | undefined {
    const cut = this.#findCutTime(from, other.name);
    const { downSince } = other;
    if (cut === undefined || downSince === undefined) return cut ?? downSince;
    return Math.min(cut, downSince);
  }

  /** Makes a server or engine leave: it refuses new work, says so in its answers, or the VM list shows it as leaving. */
  leave(name: string, signal: "refuses" | "announced" | "listed"): void {
    const engine = this.engines.find((entry) => entry.engine === name);
    if (signal === "refuses") {
      const server = this.servers.get(name);
      if (server !== undefined) server.fault = "leaving";
      if (engine !== undefined) engine.model.leaving = true;
      return;
    }
    const server = this.servers.get(name);
    if (signal === "announced" && server !== undefined)
      server.fault = "announcing";
    else this.findResponsiveNode()?.receiveLeaving(name);
  }

  /** First node that is running and not paused. */
  findResponsiveNode(): SimulatedNode | undefined {
    return this.nodes.find(({ running, gate }) => running && !gate.paused);
  }

  computeDelay(from: SimulatedNode, other: SimulatedNode | undefined): Millis {
    return other?.region === from.region ? localDelay : remoteDelay;
  }

  /** Ends all faults; killed nodes are not restarted. */
  restore(): void {
    this.tableFault = undefined;
    this.nodeTableFaults.clear();
    this.#cuts.clear();
    for (const [, server] of this.servers) {
      if (server.fault !== "leaving" && server.fault !== "announcing")
        server.fault = undefined;
    }
    for (const { model } of this.engines) model.batch.slowdown = 1;
    for (const node of this.nodes) {
      if (node.running && node.gate.paused) this.resume(node);
    }
  }

  async advance(duration: number): Promise<void> {
    await this.clock.advance(millis(duration));
    for (const { model } of this.engines) {
      for (const run of model.runs) this.oracle.recordDraftRun(run.requestId);
      for (const adapter of model.unloadedInUse.splice(0)) {
        this.oracle.violations.push(`${adapter}: evicted while in use`);
      }
    }
  }

  /** Sends the leaving servers that each node knows to the nodes that it reaches. */
  #disseminateLeaving(): void {
    const responsive = this.nodes.filter(
      ({ running, gate }) => running && !gate.paused,
    );
    for (const from of responsive) {
      for (const to of responsive) {
        if (this.isCut(from, to.name)) continue;
        for (const server of from.leavingSince.keys()) {
          if (!to.leavingSince.has(server)) to.receiveLeaving(server);
        }
      }
    }
    this.clock.schedule(gossipInterval, () => this.#disseminateLeaving());
  }

  /** Checks that all nodes together stayed within the limits of the weight store. */
  checkWeightStore(): void {
    const { peakInFlight } = this.store;
    const peak = this.store.peakStartsPerSecond();
    if (peakInFlight > maxLoadsInFlight || peak > maxLoadsPerSecond) {
      this.oracle.violations.push(
        `weight store: ${peakInFlight} loads in flight, ${peak} a second`,
      );
    }
  }

  #createEngine(
    region: string,
    fencing: EngineLimits["fencing"],
  ): SimulatedEngine {
    const id = `${region}-${fencing}`;
    const limits: EngineLimits = { slots: 3, batch: 4, queue: 32, fencing };
    const model = EngineSimulator.create({
      id,
      clock: this.clock,
      store: this.store,
      limits,
      isPoison: (text) => this.poison.has(text),
    });
    return {
      engine: brandString(id),
      region: brandString(region),
      limits,
      model,
    };
  }

  #recordRun(run: ServiceRun): void {
    const lookup = run.path.startsWith("/stock");
    this.oracle.recordServiceRun({
      requestId: run.requestId,
      body: run.body,
      lookup,
    });
  }

  /** Breaks the connections of callers that still wait for a response of the node. */
  #breakConnections(node: SimulatedNode): void {
    for (const { id, node: entry } of this.oracle.requests.values()) {
      if (entry === node.id && !this.oracle.results.has(id)) {
        this.oracle.recordResult(id, { kind: "broken" });
      }
    }
  }

  #findCutTime(node: SimulatedNode, endpoint: string): number | undefined {
    const region =
      this.nodes.find(({ name }) => name === endpoint)?.region ??
      this.engines.find(({ engine }) => engine === endpoint)?.region;
    const pairs = [
      [node.name, endpoint],
      [node.region, endpoint],
      ...(region === undefined
        ? []
        : [
            [node.name, region],
            [node.region, region],
          ]),
    ] as [string, string][];
    const times = pairs
      .filter(([first, second]) => first !== second)
      .map(([first, second]) => this.#cuts.get(formatPair(first, second)))
      .filter((time) => time !== undefined);
    return times.length === 0 ? undefined : Math.min(...times);
  }
}

function formatPair(first: string, second: string): string {
  return [first, second].sort().join(" ");
}
