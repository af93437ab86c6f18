import type { Clock, Millis } from "../../../core/clock.ts";
import { millis } from "../../../core/clock.ts";
import type { MachineName } from "../../../core/ids.ts";
import type { NodeChannel, ReachMessage } from "../../../ports/nodes.ts";
import type { PeerContacts } from "./peer_contacts.ts";

/** Time for which a node counts as out of reach of the servers after it said so, in ms. */
const newsLifetime = 1_500;

type RelayPeersOptions = {
  readonly machine: MachineName;
  readonly clock: Clock;
  readonly random: () => number;
  readonly channel: NodeChannel;
  readonly contacts: PeerContacts;
  /** All nodes, this one included; undefined until they are known. */
  readonly listMachines: () => readonly MachineName[] | undefined;
  readonly findAddress: (machine: MachineName) => string | undefined;
  readonly listAddresses: () => readonly string[];
};

/** The other nodes to which requests may be passed on while this one reaches no server. */
export class RelayPeers {
  readonly #options: RelayPeersOptions;
  /** Nodes that reach no server, with the time of the latest news of it. */
  readonly #lostAt = new Map<MachineName, Millis>();

  private constructor(options: RelayPeersOptions) {
    this.#options = options;
  }

  static create(options: RelayPeersOptions): RelayPeers {
    return new RelayPeers(options);
  }

  /** Tells the other nodes whether this one reaches a server. */
  announce(isLost: boolean): void {
    const { machine: from, channel, listAddresses } = this.#options;
    for (const address of listAddresses())
      channel.send(address, { type: "reach", from, isLost });
  }

  receive({ from, isLost }: ReachMessage): void {
    if (isLost) this.#lostAt.set(from, this.#options.clock.now());
    else this.#lostAt.delete(from);
  }

  /** Address of a node that reaches servers as far as is known, at random; undefined if there is none. */
  choose(except: ReadonlySet<string>): string | undefined {
    const { random } = this.#options;
    const addresses = this.#list().filter((address) => !except.has(address));
    return addresses[Math.floor(random() * addresses.length)];
  }

  #list(): string[] {
    const { machine, contacts, listMachines, findAddress } = this.#options;
    const others = (listMachines() ?? []).filter(
      (name) =>
        name !== machine &&
        !this.#isLost(name) &&
        !contacts.isUnresponsive(name),
    );
    return others.flatMap((name) => findAddress(name) ?? []);
  }

  #isLost(machine: MachineName): boolean {
    const lostAt =
      this.#lostAt.get(machine) ?? millis(Number.NEGATIVE_INFINITY);
    return this.#options.clock.now() < lostAt + newsLifetime;
  }
}
