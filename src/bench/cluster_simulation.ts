import { Left, Right } from "purify-ts";
import { frameOverheadBytes } from "../adapters/gossip/frame.ts";
import {
  decodeMessage,
  encodeMessage,
} from "../adapters/gossip/message_codec.ts";
import {
  maxBodyBytes,
  packetHeaderBytes,
} from "../adapters/gossip/udp_datagrams.ts";
import { sheetCodec } from "../adapters/settings/sheet.ts";
import { PausableClock } from "../adapters/time/pausable_clock.ts";
import { VirtualClock } from "../adapters/time/virtual_clock.ts";
import { type Clock, millis, sleep } from "../core/clock.ts";
import {
  brandString,
  type DataCentre,
  type EngineId,
  type NodeId,
} from "../core/ids.ts";
import type { OwnershipEvent, SessionSettings } from "../core/lease/state.ts";
import { defaultMembershipSettings } from "../core/membership/types.ts";
import { ConfigurationManager } from "../node/configuration_manager.ts";
import { Membership } from "../node/membership.ts";
import { Session } from "../node/session.ts";
import { silentJournal, silentMeter } from "../ports/journal.ts";
import type { TableService } from "../ports/table.ts";
import { DatagramNetwork } from "../standins/datagram_network.ts";
import { MemoryObjectStore } from "../standins/memory_platform.ts";
import { MemoryTable } from "../standins/memory_table.ts";

/** One-way delays in ms: inside a data centre, between regions, to the table and the object store. */
const localDelay = 0.4;
const regionDelay = 15;
const tableDelay = 10;
const objectDelay = 20;
/** Length of a typical signing key id. */
const keyIdBytes = 8;
/** Time for membership to converge before the measurement starts, in ms. */
const defaultWarmUp = 75_000;

/** Size and settings of a simulated installation. */
export type ClusterOptions = {
  readonly seed: number;
  readonly centres: number;
  readonly nodesPerCentre: number;
  readonly enginesPerNode: number;
  readonly session: SessionSettings;
  readonly random: () => number;
  /** Time to run after the start, in ms. */
  readonly warmUp?: number;
};

/** One simulated node with its control-plane components. */
export type ClusterNode = {
  readonly node: NodeId;
  readonly centre: DataCentre;
  readonly address: string;
  readonly clock: PausableClock;
  readonly membership: Membership;
  readonly session: Session;
  readonly configuration: ConfigurationManager;
  readonly ownership: Map<EngineId, OwnershipEvent>;
  /** The next table call of this node never gets a response, as on a connection that drops packets. */
  silent: boolean;
};

/** Simulation of the control planes of many nodes in one process on virtual time. */
export class ClusterSimulation {
  readonly clock = VirtualClock.create();
  readonly table = MemoryTable.create(this.clock);
  readonly objects = new MemoryObjectStore();
  readonly network: DatagramNetwork;
  readonly nodes: ClusterNode[] = [];
  readonly #options: ClusterOptions;

  /** Starts all nodes and runs them for the warm-up, in which they discover each other. */
  static async create(options: ClusterOptions): Promise<ClusterSimulation> {
    const simulation = new ClusterSimulation(options);
    for (let centre = 0; centre < options.centres; centre++) {
      for (let index = 0; index < options.nodesPerCentre; index++) {
        simulation.#startNode(centre, index);
      }
    }
    await simulation.run(options.warmUp ?? defaultWarmUp);
    return simulation;
  }

  private constructor(options: ClusterOptions) {
    this.#options = options;
    this.table.delay = tableDelay;
    this.network = DatagramNetwork.create({
      clock: this.clock,
      random: options.random,
      delay: (from, to) =>
        parseCentre(from) === parseCentre(to) ? localDelay : regionDelay,
      isLost: () => false,
      encode: (message) => encodeMessage(message, maxBodyBytes).bodies,
      decode: decodeMessage,
      datagramOverhead: frameOverheadBytes + keyIdBytes + packetHeaderBytes,
    });
  }

  async run(duration: number): Promise<void> {
    await this.clock.advance(millis(duration));
  }

  /** Counts the nodes that see all nodes as alive. */
  countComplete(): number {
    return this.nodes.filter(
      ({ membership }) => membership.liveNodes().length === this.nodes.length,
    ).length;
  }

  #startNode(centre: number, index: number): void {
    const { nodesPerCentre, enginesPerNode, session, random } = this.#options;
    const dataCentre = brandString<DataCentre>(`dc${centre}`);
    const address = `dc${centre}-n${index}:7000`;
    const node = brandString<NodeId>(`dc${centre}-n${index}#1`);
    const clock = PausableClock.create(this.clock);
    const ownership = new Map<EngineId, OwnershipEvent>();
    const membership = this.#createMembership({
      clock,
      node,
      dataCentre,
      address,
    });
    const liveNodes = () => membership.liveNodes();
    const sharedOptions = {
      clock,
      table: this.#createTable(clock, () => started),
      nodeId: node,
      dataCentre,
      random,
      liveNodes,
      journal: silentJournal,
      meter: silentMeter,
    };
    const engines = Array.from(
      { length: nodesPerCentre * enginesPerNode },
      (_, engine) => ({
        engine: brandString<EngineId>(`${dataCentre}-engine-${engine}`),
        fencing: "checked" as const,
      }),
    );
    const started: ClusterNode = {
      node,
      centre: dataCentre,
      address,
      clock,
      membership,
      ownership,
      silent: false,
      session: Session.create({
        ...sharedOptions,
        engines: () => engines,
        settings: session,
        onOwnership: (engine, event) => ownership.set(engine, event),
      }),
      configuration: ConfigurationManager.create({
        ...sharedOptions,
        objects: {
          put: (key, content) => this.objects.put(key, content),
          get: async (key) => {
            await sleep(clock, millis(objectDelay));
            return await this.objects.get(key);
          },
        },
        codec: sheetCodec,
        peers: { fetch: async (peer, after) => this.#fetch(peer, after) },
        onRevision: (revision) =>
          membership.publish("revision", "head", revision),
      }),
    };
    membership.onUpdate((update) => {
      if (update.type !== "entry" || update.topic !== "revision") return;
      started.configuration.receiveRevision(update.value as never, update.node);
    });
    this.nodes.push(started);
  }

  #createMembership(identity: {
    readonly clock: PausableClock;
    readonly node: NodeId;
    readonly dataCentre: DataCentre;
    readonly address: string;
  }): Membership {
    const { centres, random } = this.#options;
    const datagrams = this.network.open(identity.address);
    return Membership.create({
      clock: identity.clock,
      datagrams: {
        ...datagrams,
        onMessage: (listener) =>
          datagrams.onMessage((message, from) => {
            void identity.clock
              .whenRunning()
              .then(() => listener(message, from));
          }),
      },
      self: {
        node: identity.node,
        region: brandString(`region-${identity.dataCentre}`),
        dataCentre: identity.dataCentre,
        callers: identity.address.replace("7000", "8000"),
        peers: identity.address,
      },
      seeds: Array.from({ length: centres }, (_, at) => `dc${at}-n0:7000`),
      random,
      journal: silentJournal,
      meter: silentMeter,
      settings: defaultMembershipSettings,
    });
  }

  #fetch(peer: NodeId, after: number) {
    const found = this.nodes.find(({ node }) => node === peer);
    if (found === undefined) return Left({ detail: "No such node" });
    return Right(found.configuration.exportAfter(after as never));
  }

  /** Creates the access of one node to the table. */
  #createTable(clock: Clock, findNode: () => ClusterNode): TableService {
    const { table } = this;
    const send = async <Response>(call: () => Promise<Response>) => {
      await sleep(clock, millis(0));
      if (!findNode().silent) return await call();
      findNode().silent = false;
      return await new Promise<Response>(() => {});
    };
    return {
      read: (key) => send(() => table.read(key)),
      scan: (prefix) => send(() => table.scan(prefix)),
      transact: (transaction) => send(() => table.transact(transaction)),
    };
  }
}

function parseCentre(address: string): string {
  return address.slice(0, address.indexOf("-"));
}
