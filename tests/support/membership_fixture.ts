import { frameOverheadBytes } from "../../src/adapters/gossip/frame.ts";
import {
  decodeMessage,
  encodeMessage,
} from "../../src/adapters/gossip/message_codec.ts";
import {
  maxBodyBytes,
  packetHeaderBytes,
} from "../../src/adapters/gossip/udp_datagrams.ts";
import { createSeededRandom } from "../../src/adapters/random/seeded_random.ts";
import { PausableClock } from "../../src/adapters/time/pausable_clock.ts";
import { VirtualClock } from "../../src/adapters/time/virtual_clock.ts";
import { millis } from "../../src/core/clock.ts";
import { brandString, type NodeId } from "../../src/core/ids.ts";
import {
  defaultMembershipSettings,
  type MembershipUpdate,
} from "../../src/core/membership/types.ts";
import { Membership } from "../../src/node/membership.ts";
import { silentJournal, silentMeter } from "../../src/ports/journal.ts";
import { DatagramNetwork } from "../../src/standins/datagram_network.ts";

/** Length of a typical signing key id, in bytes. */
const keyIdBytes = 8;

/** One simulated node with its membership. */
export type MembershipNode = {
  readonly node: NodeId;
  readonly centre: string;
  readonly address: string;
  readonly clock: PausableClock;
  readonly membership: Membership;
  readonly updates: {
    readonly at: number;
    readonly update: MembershipUpdate;
  }[];
};

/** Nodes of several data centres on one virtual clock and one lossy network. */
export class MembershipSimulation {
  readonly clock = VirtualClock.create();
  readonly nodes: MembershipNode[] = [];
  readonly network: DatagramNetwork;
  readonly random: () => number;
  loss = 0;
  /** Data centres that are disconnected from the others. */
  readonly cutCentres = new Set<string>();
  readonly #centres = new Map<string, string>();

  constructor(seed: number) {
    this.random = createSeededRandom(seed);
    this.network = DatagramNetwork.create({
      clock: this.clock,
      random: this.random,
      delay: (from, to) =>
        this.#centres.get(from) === this.#centres.get(to) ? 0.4 : 15,
      isLost: (from, to) => this.random() < this.loss || this.#isCut(from, to),
      encode: (message) => encodeMessage(message, maxBodyBytes).bodies,
      decode: decodeMessage,
      datagramOverhead: frameOverheadBytes + keyIdBytes + packetHeaderBytes,
    });
  }

  #isCut(from: string, to: string): boolean {
    const [a = "", b = ""] = [this.#centres.get(from), this.#centres.get(to)];
    return a !== b && (this.cutCentres.has(a) || this.cutCentres.has(b));
  }

  start(name: string, options: { centre: string; seeds?: string[] }) {
    const [host = name] = name.split("#");
    const address = `${host}:7000`;
    const { centre } = options;
    this.#centres.set(address, centre);
    const clock = PausableClock.create(this.clock);
    const node = brandString<NodeId>(name);
    const datagrams = this.network.open(address);
    const membership = Membership.create({
      clock,
      // A paused process reads its socket when it resumes.
      datagrams: {
        ...datagrams,
        onMessage: (listener) =>
          datagrams.onMessage((message, from) =>
            clock.schedule(millis(0), () => listener(message, from)),
          ),
      },
      self: {
        node,
        region: brandString(`region-of-${centre}`),
        dataCentre: brandString(centre),
        callers: `${host}:8000`,
        peers: address,
      },
      seeds: options.seeds ?? ["a0:7000"],
      random: this.random,
      journal: silentJournal,
      meter: silentMeter,
      settings: defaultMembershipSettings,
    });
    const updates: MembershipNode["updates"] = [];
    membership.onUpdate((update) =>
      updates.push({ at: this.clock.now(), update }),
    );
    const started = { node, centre, address, clock, membership, updates };
    this.nodes.push(started);
    return started;
  }

  /** Starts `size` nodes in each named data centre: `a0`, `a1`, … */
  async startCentres(centres: string[], size: number): Promise<void> {
    for (const centre of centres) {
      for (let index = 0; index < size; index++) {
        this.start(`${centre}${index}#1`, { centre });
      }
    }
    await this.run(8_000);
  }

  find(name: string): MembershipNode {
    const found = this.nodes.findLast((candidate) =>
      candidate.node.startsWith(`${name}#`),
    );
    if (found === undefined) throw new Error(`No node ${name}`);
    return found;
  }

  /** First time from `since` on at which the observer saw another node in a state. */
  observedAt(
    observer: MembershipNode,
    change: { node: NodeId; state: string; since: number },
  ): number {
    const found = observer.updates.find(
      ({ at, update }) =>
        at >= change.since &&
        update.type === "member" &&
        update.info.node === change.node &&
        update.state === change.state,
    );
    return found?.at ?? Number.POSITIVE_INFINITY;
  }

  async run(duration: number): Promise<void> {
    await this.clock.advance(millis(duration));
  }
}
