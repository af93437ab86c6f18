import { Left, Right } from "purify-ts";
import { createSeededRandom } from "../../src/adapters/random/seeded_random.ts";
import { sheetCodec } from "../../src/adapters/settings/sheet.ts";
import { VirtualClock } from "../../src/adapters/time/virtual_clock.ts";
import { millis, sleep } from "../../src/core/clock.ts";
import {
  brandString,
  type DataCentre,
  type NodeId,
  type Revision,
} from "../../src/core/ids.ts";
import type { LiveNode } from "../../src/core/lease/state.ts";
import { ConfigurationManager } from "../../src/node/configuration_manager.ts";
import { silentJournal, silentMeter } from "../../src/ports/journal.ts";
import type { TableService } from "../../src/ports/table.ts";
import { MemoryObjectStore } from "../../src/standins/memory_platform.ts";
import { MemoryTable } from "../../src/standins/memory_table.ts";

/** State of a node's connection to the platform and to other nodes. */
type NodeLink = {
  cut: boolean;
  /** The next read of the table is never answered. */
  silent: boolean;
};

/** One simulated node with its configuration. */
export type ConfigurationNode = {
  readonly node: NodeId;
  readonly configuration: ConfigurationManager;
  /** Revisions in the order in which they came into force. */
  readonly history: number[];
  /** While `cut`, the node reaches neither the platform nor other nodes. */
  readonly link: NodeLink;
};

/** Creates a sheet with one adapter; its versions identify the operator's change. */
export function createSheet(versions: string[], name = "chains"): unknown {
  return { adapters: [{ name, versions }] };
}

/** Nodes of three regions that share a table, an object store and gossip. */
export class ConfigurationSimulation {
  readonly clock = VirtualClock.create();
  readonly table: MemoryTable;
  readonly objects = new MemoryObjectStore();
  readonly nodes: ConfigurationNode[] = [];
  readonly random: () => number;
  /** Maximum delay of a read of the object store, in ms. */
  objectDelay = 0;
  /** Delay of gossip messages, in ms. */
  readonly #gossipDelay = millis(30);

  constructor(seed: number) {
    this.random = createSeededRandom(seed);
    this.table = MemoryTable.create(this.clock);
    this.table.delay = 5;
  }

  start(name: string, centre: string): ConfigurationNode {
    const node = brandString<NodeId>(name);
    const dataCentre = brandString<DataCentre>(centre);
    const history: number[] = [];
    const link: NodeLink = { cut: false, silent: false };
    const configuration = ConfigurationManager.create({
      clock: this.clock,
      table: this.#tableOf(link),
      objects: {
        put: (key, content) => this.objects.put(key, content),
        get: async (key) => {
          const delay = this.objectDelay * this.random();
          if (delay > 0) await sleep(this.clock, millis(delay));
          return await this.objects.get(key);
        },
      },
      codec: sheetCodec,
      peers: { fetch: async (peer, after) => this.#fetch(peer, after) },
      nodeId: node,
      dataCentre,
      liveNodes: () => this.#listLive(),
      random: this.random,
      journal: silentJournal,
      meter: silentMeter,
      onRevision: (revision) => {
        history.push(revision);
        this.#announceRevision({ node, link }, revision);
      },
    });
    const started: ConfigurationNode = { node, configuration, history, link };
    this.nodes.push(started);
    return started;
  }

  startNineNodes(): void {
    for (const centre of ["a", "b", "c"]) {
      for (const index of [0, 1, 2]) this.start(`${centre}${index}`, centre);
    }
  }

  async run(duration: number): Promise<void> {
    await this.clock.advance(millis(duration));
  }

  #listLive(): LiveNode[] {
    return this.nodes.map(({ node }) => ({
      node,
      dataCentre: brandString<DataCentre>(node.slice(0, 1)),
    }));
  }

  #announceRevision(
    from: Pick<ConfigurationNode, "node" | "link">,
    revision: Revision,
  ): void {
    this.clock.schedule(this.#gossipDelay, () => {
      for (const to of this.nodes) {
        if (to.node === from.node || to.link.cut || from.link.cut) continue;
        to.configuration.receiveRevision(revision, from.node);
      }
    });
  }

  #fetch(peer: NodeId, after: Revision) {
    const found = this.nodes.find(({ node }) => node === peer);
    if (found === undefined || found.link.cut)
      return Left({ detail: "Disconnected" });
    return Right(found.configuration.exportAfter(after));
  }

  #tableOf(link: NodeLink): TableService {
    const failure = Left({
      kind: "unavailable",
      detail: "Disconnected",
    } as const);
    const { table } = this;
    return {
      read: async (key) => {
        if (link.silent) {
          link.silent = false;
          return await new Promise(() => {});
        }
        return link.cut ? failure : await table.read(key);
      },
      scan: async (prefix) => (link.cut ? failure : await table.scan(prefix)),
      transact: async (transaction) =>
        link.cut ? failure : await table.transact(transaction),
    };
  }
}
