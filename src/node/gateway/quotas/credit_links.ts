import { type Clock, type Millis, millis } from "../../../core/clock.ts";
import type { QuotaLevel } from "../../../core/gateway/quota_account.ts";
import type { CreditLot } from "../../../core/gateway/quota_credit.ts";
import { SequenceFilter } from "../../../core/gateway/sequence_filter.ts";
import type { MachineName } from "../../../core/ids.ts";
import type { NodeChannel } from "../../../ports/nodes.ts";
import type {
  CreditEntry,
  CreditMessage,
  SentLot,
} from "../../../ports/quotas.ts";
import { PeerContacts } from "../peers/peer_contacts.ts";

/** Maximum number of lots of one organisation in a message. */
const maxLots = 6;
/** Estimated size of an entry without its name, and of one lot, in bytes. */
const entryBytes = 20;
const lotBytes = 9;
/** Maximum size of the entries of one datagram, in bytes. */
const maxEntriesBytes = 1_000;
/** Time without an answer after which another node is asked, in ms. */
const answerTimeout = 350;
/** Interval at which a node that does not answer is asked again, in ms. */
const probeInterval = 1_500;
/** Time without an answer after which a node is sent no credit, in ms. */
const lendPatience = 120;
/** Time after the latest message of a node in which it is sent credit, in ms. */
const contactLifetime = 5_000;

/** Nodes, and the way to them. */
export type CreditLinksOptions = {
  readonly machine: MachineName;
  readonly clock: Clock;
  readonly random: () => number;
  readonly channel: NodeChannel;
  readonly findAddress: (machine: MachineName) => string | undefined;
  /** Handles a message that is meant for this process, once. */
  readonly onMessage: (message: CreditMessage) => void;
};

/** What an account sends to an account of another node, or of its own. */
export type CreditLetter = {
  readonly level: QuotaLevel;
  readonly isAsk: boolean;
  readonly entries: readonly CreditEntry[];
};

/** Sends and receives credit, so that none of it arrives twice or at another process than was meant. */
export class CreditLinks {
  readonly #options: CreditLinksOptions;
  readonly #contacts: PeerContacts;
  readonly #filter = SequenceFilter.create();
  readonly #sessions = new Map<MachineName, { id: number; at: Millis }>();
  readonly #probedAt = new Map<MachineName, Millis>();
  readonly #session: number;
  #sequence = 0;

  private constructor(options: CreditLinksOptions) {
    this.#options = options;
    this.#contacts = PeerContacts.create(() => options.clock.now());
    this.#session = 1 + Math.floor(options.random() * 0xffff_fffe);
  }

  static create(options: CreditLinksOptions): CreditLinks {
    return new CreditLinks(options);
  }

  /** The first of the nodes that answers, as far as is known. */
  choose(ranked: readonly MachineName[]): MachineName | undefined {
    const { machine: own } = this.#options;
    for (const machine of ranked) {
      if (machine === own || !this.#isSilent(machine)) return machine;
      this.#probe(machine);
    }
    return undefined;
  }

  /** Whether credit may be sent to a node: it has answered of late. */
  mayLend(machine: MachineName): boolean {
    const { clock, machine: own } = this.#options;
    if (machine === own) return true;
    const now = clock.now();
    const session = this.#sessions.get(machine);
    if (session === undefined || now > session.at + contactLifetime)
      return false;
    const since = this.#contacts.findUnansweredSince(machine);
    return since === undefined || now <= since + lendPatience;
  }

  /** Sends a letter in as many messages as it needs. */
  send(machine: MachineName, letter: CreditLetter): void {
    for (const entries of splitEntries(letter.entries))
      this.#sendOne(machine, { ...letter, entries });
  }

  receive(message: CreditMessage): void {
    const { clock, onMessage } = this.#options;
    const { from, session, sequence, to } = message;
    const now = clock.now();
    if (!this.#filter.accept(`${from}/${session}`, sequence, now)) return;
    this.#contacts.recordContact(from);
    this.#sessions.set(from, { id: session, at: now });
    const isMeant = to === this.#session;
    onMessage(isMeant ? message : withoutCredit(message));
  }

  #isSilent(machine: MachineName): boolean {
    const since = this.#contacts.findUnansweredSince(machine);
    return (
      since !== undefined && this.#options.clock.now() > since + answerTimeout
    );
  }

  #sendOne(machine: MachineName, letter: CreditLetter): void {
    const { clock, machine: from, channel, findAddress } = this.#options;
    const session = this.#session;
    const sequence = ++this.#sequence;
    const to =
      machine === from ? session : (this.#sessions.get(machine)?.id ?? 0);
    const { level, isAsk, entries } = letter;
    const sender = { type: "credit", from, session, sequence } as const;
    const message: CreditMessage = { ...sender, to, level, isAsk, entries };
    if (machine === from) {
      clock.schedule(millis(0), () => this.#options.onMessage(message));
      return;
    }
    const address = findAddress(machine);
    if (address === undefined) return;
    if (isAsk) this.#contacts.recordRequest(machine);
    channel.send(address, message);
  }

  /** Asks a node that has not answered whether it does again. */
  #probe(machine: MachineName): void {
    const now = this.#options.clock.now();
    const probedAt = this.#probedAt.get(machine) ?? Number.NEGATIVE_INFINITY;
    if (now < probedAt + probeInterval) return;
    this.#probedAt.set(machine, now);
    this.#sendOne(machine, { level: "pool", isAsk: true, entries: [] });
  }
}

/** Lots as a message holds them: few, each as old as its oldest part. */
export function packLots(lots: readonly CreditLot[], now: Millis): SentLot[] {
  const size = Math.ceil(lots.length / maxLots);
  const packed: SentLot[] = [];
  for (let at = 0; at < lots.length; at += size) {
    const group = lots.slice(at, at + size);
    const amount = group.reduce((sum, lot) => sum + lot.amount, 0);
    const born = Math.min(...group.map((lot) => lot.born));
    packed.push({ amount, age: millis(now - born) });
  }
  return packed;
}

/** Lots of a message that has just arrived. */
export function unpackLots(lots: readonly SentLot[], now: Millis): CreditLot[] {
  return lots.map(({ amount, age }) => ({ amount, born: millis(now - age) }));
}

function withoutCredit(message: CreditMessage): CreditMessage {
  const entries = message.entries.map((entry) => ({ ...entry, lots: [] }));
  return { ...message, entries };
}

function splitEntries(entries: readonly CreditEntry[]): CreditEntry[][] {
  const groups: CreditEntry[][] = [[]];
  let bytes = 0;
  for (const entry of entries) {
    const { organisation, lots } = entry;
    const size = organisation.length + entryBytes + lots.length * lotBytes;
    const last = groups.at(-1) as CreditEntry[];
    if (bytes + size > maxEntriesBytes && last.length > 0) {
      groups.push([entry]);
      bytes = size;
      continue;
    }
    last.push(entry);
    bytes += size;
  }
  return groups;
}
