import { createSeededRandom } from "../../src/adapters/random/seeded_random.ts";
import { PausableClock } from "../../src/adapters/time/pausable_clock.ts";
import { VirtualClock } from "../../src/adapters/time/virtual_clock.ts";
import { type Millis, millis } from "../../src/core/clock.ts";
import {
  brandString,
  type DataCentre,
  type EngineId,
  type NodeId,
} from "../../src/core/ids.ts";
import {
  defaultSessionSettings,
  type LiveNode,
  type OwnershipEvent,
  type SessionEngine,
} from "../../src/core/lease/state.ts";
import { Session } from "../../src/node/session.ts";
import { silentJournal, silentMeter } from "../../src/ports/journal.ts";
import { FaultTable, SharedTable } from "./fault_table.ts";

export const homeCentre = brandString<DataCentre>("dc-1");

/** One simulated node with its session. */
export class SessionNode {
  readonly ownership = new Map<EngineId, OwnershipEvent>();
  /** All fencing numbers that this node has received, per engine. */
  readonly fences = new Map<EngineId, Set<number>>();
  readonly clock: PausableClock;
  readonly table: FaultTable;
  readonly session: Session;
  /** Nodes that this node considers alive, if they differ from the shared list. */
  view: LiveNode[] | undefined;

  constructor(
    readonly name: NodeId,
    simulation: SessionSimulation,
    readonly dataCentre: DataCentre,
  ) {
    this.clock = PausableClock.create(simulation.clock);
    this.table = FaultTable.create(this.clock, simulation.shared);
    this.session = Session.create({
      clock: this.clock,
      table: this.table,
      nodeId: name,
      dataCentre,
      engines: () => (dataCentre === homeCentre ? simulation.engines : []),
      settings: defaultSessionSettings,
      random: simulation.random,
      journal: silentJournal,
      meter: silentMeter,
      liveNodes: () => this.view ?? simulation.live,
      onOwnership: (engine, event) => this.#recordOwnership(engine, event),
    });
  }

  #recordOwnership(engine: EngineId, event: OwnershipEvent): void {
    this.ownership.set(engine, event);
    if (event.type !== "ownership") return;
    const fences = this.fences.get(engine) ?? new Set();
    this.fences.set(engine, fences.add(event.fence));
  }

  /** Whether the node may currently write an order for the engine. */
  mayOrder(
    order: "dispatch" | "evict",
    engine: EngineId,
    now: Millis,
  ): boolean {
    const event = this.ownership.get(engine);
    if (this.clock.paused || event?.type !== "ownership") return false;
    if (order === "dispatch") return now < event.dispatchUntil;
    return now < event.orderUntil && now >= event.settledAt;
  }
}

/** Nodes of one or two data centres on one virtual clock and one table. */
export class SessionSimulation {
  readonly clock = VirtualClock.create();
  readonly shared = new SharedTable();
  readonly nodes: SessionNode[] = [];
  readonly engines: SessionEngine[];
  readonly random: () => number;
  live: LiveNode[] = [];

  constructor(options: { engines: number; seed: number }) {
    this.random = createSeededRandom(options.seed);
    this.engines = Array.from({ length: options.engines }, (_, index) => ({
      engine: brandString<EngineId>(`engine-${index}`),
      fencing: index % 2 === 0 ? "checked" : "ignored",
    }));
  }

  start(name: string, dataCentre = homeCentre): SessionNode {
    const node = brandString<NodeId>(name);
    this.live = [...this.live, { node, dataCentre }];
    const started = new SessionNode(node, this, dataCentre);
    this.nodes.push(started);
    return started;
  }

  /** Removes a node from the list of live nodes. */
  suspect(node: SessionNode): void {
    this.live = this.live.filter((peer) => peer.node !== node.name);
  }

  /** Nodes that may currently dispatch to each engine. */
  owners(): Map<EngineId, NodeId[]> {
    const now = this.clock.now();
    return new Map(
      this.engines.map(({ engine }) => [
        engine,
        this.nodes
          .filter((node) => node.mayOrder("dispatch", engine, now))
          .map((node) => node.name),
      ]),
    );
  }

  async run(duration: number): Promise<void> {
    await this.clock.advance(millis(duration));
  }
}
