import { encodeNodeMessage } from "../../src/adapters/peers/node_message_codec.ts";
import { createSeededRandom } from "../../src/adapters/random/seeded_random.ts";
import { VirtualClock } from "../../src/adapters/time/virtual_clock.ts";
import { millis } from "../../src/core/clock.ts";
import type {
  Organisation,
  OrganisationDirectory,
} from "../../src/core/gateway/organisations.ts";
import type { QuotaTolerance } from "../../src/core/gateway/quota_terms.ts";
import {
  brandString,
  type DataCentre,
  type MachineName,
} from "../../src/core/ids.ts";
import { QuotaManager } from "../../src/node/gateway/quotas/quota_manager.ts";
import { silentJournal, silentMeter } from "../../src/ports/journal.ts";
import type { CreditMessage } from "../../src/ports/quotas.ts";

/** One-way delays of messages within a region and between regions, in ms. */
const nearDelay = 0.9;
const farDelay = 20;
/** Interval at which nodes read the list of nodes, and until a change of it is read, in ms. */
const readInterval = 500;
/** Bytes of the headers of a datagram. */
const headerBytes = 28;

const dataCentres: DataCentre[] = ["a1", "a2", "b1", "b2", "c1", "c2"].map(
  (name) => brandString(name),
);

export const tolerance: QuotaTolerance = {
  window: millis(8_000),
  overage: 0.1,
  slack: 110_000,
};

type FleetNode = {
  readonly machine: MachineName;
  readonly dataCentre: DataCentre;
  quotas: QuotaManager | undefined;
  /** Rises at each start, so that timers of an earlier process end. */
  process: number;
  readsList: boolean;
  sent: number;
  sentBytes: number;
};

/** A request that was let through. */
type Arrival = { readonly at: number; readonly units: number };

/** Requests of one organisation. */
export type Load = {
  readonly organisation: Organisation;
  /** Units per second. */
  readonly rate: number;
  /** Units of one request. */
  readonly drawUnits: () => number;
  /** Node that the next request reaches. */
  readonly chooseNode: () => number;
};

/** Result of a load. */
export type LoadResult = {
  asked: number;
  taken: number;
  refusals: number;
  waits: number;
};

/** Creates an organisation with a burst of one second. */
export function createOrganisation(name: string, rate: number): Organisation {
  const quota = {
    unit: "tokens",
    rate,
    burst: rate,
    plainTokens: 100,
  } as const;
  return { name: brandString(name), priority: undefined, quota };
}

/** Nodes in six data centres of three regions that share quotas, on virtual time and without a network. */
export class QuotaFleet {
  readonly clock = VirtualClock.create();
  readonly random: () => number;
  readonly arrivals = new Map<string, Arrival[]>();
  /** Share of the messages that is lost, and that arrives twice. */
  loss = 0;
  duplicates = 0;
  /** Data centres that are cut off from all others. */
  readonly cut = new Set<DataCentre>();
  isListReadable = true;
  readonly #nodes: FleetNode[] = [];
  /** Machines that the list of nodes has. */
  readonly #listed = new Set<MachineName>();
  #directory: OrganisationDirectory;

  constructor(nodes: number, organisations: readonly Organisation[], seed = 1) {
    this.random = createSeededRandom(seed);
    this.#directory = createDirectory(organisations);
    for (let i = 0; i < nodes; i++) this.#add();
    for (const node of this.#nodes) this.start(node);
  }

  get nodes(): readonly FleetNode[] {
    return this.#nodes;
  }

  run(duration: number): Promise<void> {
    return this.clock.advance(millis(duration));
  }

  configure(organisations: readonly Organisation[]): void {
    this.#directory = createDirectory(organisations);
  }

  /** Adds a node that the others read of with the next read of the list. */
  join(): void {
    this.start(this.#add());
  }

  kill(node: FleetNode): void {
    node.quotas?.stop();
    node.quotas = undefined;
    node.process++;
  }

  start(node: FleetNode): void {
    const { clock, random } = this;
    const { machine, dataCentre } = node;
    const own = ++node.process;
    const regions = new Map(
      dataCentres.map((name) => [name, brandString(name[0] as string)]),
    );
    node.quotas = QuotaManager.create({
      clock,
      random,
      journal: silentJournal,
      meter: silentMeter,
      identity: { machine, dataCentre, regions },
      tolerance,
      channel: {
        send: (address, message) => {
          if (node.process === own)
            this.#send(node, address, message as CreditMessage);
        },
        onMessage() {},
        close() {},
      },
      listMachines: () => [...this.#listed],
      findAddress: (other) => other,
      findDataCentre: (other) => this.#find(other)?.dataCentre,
      findOrganisations: () => this.#directory,
    });
    this.#readList(node, own);
  }

  /** Sends the requests of a load for a time. */
  async play(load: Load, duration: number): Promise<LoadResult> {
    const result = this.startLoad(load, duration);
    await this.run(duration + 200);
    return result;
  }

  startLoad(load: Load, duration: number): LoadResult {
    const result = { asked: 0, taken: 0, refusals: 0, waits: 0 };
    const end = this.clock.now() + duration;
    const next = () => {
      if (this.clock.now() >= end) return;
      const units = load.drawUnits();
      void this.#request(load, units, result);
      const gap = -Math.log(1 - this.random()) * (units / load.rate) * 1_000;
      this.clock.schedule(millis(gap), next);
    };
    next();
    return result;
  }

  /** Most that arrived in a window, as a part of what is allowed. */
  findWorstWindow({ name, quota }: Organisation, since = 0): number {
    const arrivals = (this.arrivals.get(name) ?? []).filter(
      ({ at }) => at >= since,
    );
    const { rate, burst } = quota ?? { rate: 0, burst: 0 };
    const allowed = (rate * 8 + burst) * 1.1 + tolerance.slack;
    let sum = 0;
    let worst = 0;
    let from = 0;
    for (const { at, units } of arrivals) {
      sum += units;
      while ((arrivals[from] as Arrival).at < at - tolerance.window)
        sum -= (arrivals[from++] as Arrival).units;
      worst = Math.max(worst, sum);
    }
    return worst / allowed;
  }

  async #request(load: Load, units: number, result: LoadResult): Promise<void> {
    const node = this.#nodes[load.chooseNode()] as FleetNode;
    const { organisation } = load;
    // A caller goes to another node if its own is down.
    const quotas =
      node.quotas ?? this.#nodes.find((other) => other.quotas)?.quotas;
    if (quotas === undefined) return;
    result.asked += units;
    const askedAt = this.clock.now();
    const taken = await quotas.take(organisation, units);
    const at = this.clock.now();
    result.waits = Math.max(result.waits, at - askedAt);
    if (taken.kind === "refused") {
      result.refusals++;
      return;
    }
    result.taken += units;
    const arrivals = this.arrivals.get(organisation.name) ?? [];
    this.arrivals.set(organisation.name, arrivals);
    arrivals.push({ at, units });
  }

  #add(): FleetNode {
    const index = this.#nodes.length;
    const machine: MachineName = brandString(`n${index}`);
    const dataCentre = dataCentres[index % dataCentres.length] as DataCentre;
    const counts = { process: 0, sent: 0, sentBytes: 0, readsList: true };
    const node = { machine, dataCentre, quotas: undefined, ...counts };
    this.#nodes.push(node);
    this.#listed.add(machine);
    return node;
  }

  #readList(node: FleetNode, process: number): void {
    if (node.process !== process) return;
    if (this.isListReadable && node.readsList)
      node.quotas?.recordRead({
        confirmedAt: this.clock.now(),
        nodes: this.#listed.size,
        isListed: true,
      });
    this.clock.schedule(millis(readInterval), () =>
      this.#readList(node, process),
    );
  }

  #send(from: FleetNode, address: string, message: CreditMessage): void {
    for (const frame of encodeNodeMessage(message)) {
      if (frame.length > 1_200) throw new Error(`${frame.length} bytes`);
      from.sent++;
      from.sentBytes += frame.length + headerBytes;
    }
    const target = this.#find(address);
    if (target === undefined || this.random() < this.loss) return;
    if (from.dataCentre !== target.dataCentre) {
      if (this.cut.has(from.dataCentre) || this.cut.has(target.dataCentre))
        return;
    }
    this.#deliver(from, target, message);
    if (this.random() < this.duplicates) this.#deliver(from, target, message);
  }

  #deliver(from: FleetNode, to: FleetNode, message: CreditMessage): void {
    const isNear = from.dataCentre[0] === to.dataCentre[0];
    const delay = (isNear ? nearDelay : farDelay) * (1 + 0.1 * this.random());
    this.clock.schedule(millis(delay), () => to.quotas?.receive(message));
  }

  #find(machine: string): FleetNode | undefined {
    return this.#nodes[Number(machine.slice(1))];
  }
}

function createDirectory(
  organisations: readonly Organisation[],
): OrganisationDirectory {
  const byName = new Map(organisations.map((one) => [one.name, one]));
  return { byKey: new Map(), byName };
}
