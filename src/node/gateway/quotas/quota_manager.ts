import {
  type Cancel,
  type Clock,
  type Millis,
  millis,
} from "../../../core/clock.ts";
import type { CreditOutlook } from "../../../core/gateway/dry_run.ts";
import type {
  Organisation,
  OrganisationDirectory,
} from "../../../core/gateway/organisations.ts";
import type { CreditLot } from "../../../core/gateway/quota_credit.ts";
import { QuotaPart } from "../../../core/gateway/quota_part.ts";
import {
  describeQuotaTerms,
  type QuotaTerms,
  type QuotaTolerance,
} from "../../../core/gateway/quota_terms.ts";
import type { NodeListRead } from "../../../core/gateway/slack_share.ts";
import type {
  DataCentre,
  MachineName,
  OrganisationName,
} from "../../../core/ids.ts";
import { rankByRendezvous } from "../../../core/lease/rendezvous.ts";
import type { Journal, Meter } from "../../../ports/journal.ts";
import type { NodeChannel } from "../../../ports/nodes.ts";
import type {
  CreditMessage,
  QuotaResult,
  ServiceQuotas,
  TakenCredit,
} from "../../../ports/quotas.ts";
import { CreditHolder } from "./credit_holder.ts";
import { CreditLinks } from "./credit_links.ts";

/** Interval of the exchanges of credit, in ms, for up to so many nodes in a data centre. */
const exchangeInterval = 250;
const nodesPerInterval = 40;
/** Maximum factor by which it grows with more nodes. */
const maxIntervalFactor = 3;
/** Shortest and longest time after which a refused caller should retry, in ms. */
const minRetryDelay = 200;
const maxRetryDelay = 2_000;
/** Part of that time by which callers are spread. */
const retrySpread = 0.25;
/** Maximum number of organisations with metrics of their own. */
const maxLabels = 64;

/** Dependencies of the quotas of a node. */
export type QuotaManagerOptions = {
  readonly clock: Clock;
  readonly random: () => number;
  readonly journal: Journal;
  readonly meter: Meter;
  readonly identity: {
    readonly machine: MachineName;
    readonly dataCentre: DataCentre;
    readonly regions: ReadonlyMap<DataCentre, unknown>;
  };
  readonly channel: NodeChannel;
  readonly tolerance: QuotaTolerance | undefined;
  /** All nodes, this one included; undefined until they are known. */
  readonly listMachines: () => readonly MachineName[] | undefined;
  readonly findAddress: (machine: MachineName) => string | undefined;
  readonly findDataCentre: (machine: MachineName) => DataCentre | undefined;
  /** The organisations of the configuration in force. */
  readonly findOrganisations: () => OrganisationDirectory | undefined;
};

/** Quotas of all organisations at one node, and the pools that it keeps for others. */
export class QuotaManager implements ServiceQuotas {
  readonly #options: QuotaManagerOptions;
  readonly #part = QuotaPart.create();
  readonly #links: CreditLinks;
  readonly #node: CreditHolder;
  readonly #pool: CreditHolder;
  readonly #root: CreditHolder;
  #directory: OrganisationDirectory | undefined;
  readonly #terms = new Map<OrganisationName, QuotaTerms>();
  readonly #labels = new Set<OrganisationName>();
  #reportedPart: number | undefined;
  #cancel: Cancel = () => {};

  private constructor(options: QuotaManagerOptions) {
    this.#options = options;
    const { clock } = options;
    const { dataCentre } = options.identity;
    this.#links = CreditLinks.create({
      ...options,
      machine: options.identity.machine,
      onMessage: (message) => this.#handle(message),
    });
    const shared = {
      clock,
      links: this.#links,
      findTerms: (name: OrganisationName) => this.#findTerms(name),
    };
    this.#node = CreditHolder.create({
      ...shared,
      level: "node",
      listAbove: () => this.#rank(`pool/${dataCentre}`, this.#listNear()),
      findPart: () => this.#part.find(clock.now()),
      onMove: (direction, name, units) =>
        options.meter.count(
          "quota_credit_moved_total",
          { direction, organisation: this.#label(name) },
          units,
        ),
      onAbove: (pool) => options.journal.record("quotaPoolChanged", { pool }),
    });
    this.#pool = CreditHolder.create({
      ...shared,
      level: "pool",
      listAbove: () => this.#rank("root", options.listMachines() ?? []),
      findPart: () => 0,
    });
    this.#root = CreditHolder.create({
      ...shared,
      level: "root",
      listAbove: () => [],
      findPart: () => 0,
    });
  }

  /** Starts to earn and to exchange credit. */
  static create(options: QuotaManagerOptions): QuotaManager {
    const manager = new QuotaManager(options);
    const delay = options.random() * exchangeInterval;
    manager.#cancel = options.clock.schedule(millis(delay), () =>
      manager.#tick(),
    );
    return manager;
  }

  /** Part of the rate that this node earns now. */
  get part(): number {
    return this.#part.find(this.#options.clock.now());
  }

  /** Records a read of the list of nodes, or that the latest one was confirmed. */
  recordRead(read: NodeListRead): void {
    this.#part.recordRead(read, this.#options.clock.now());
  }

  receive(message: CreditMessage): void {
    this.#links.receive(message);
  }

  take(
    organisation: Organisation,
    units: number,
  ): QuotaResult | Promise<QuotaResult> {
    const lots = this.#node.take(organisation.name, units);
    return lots instanceof Promise
      ? lots.then((given) => this.#describe(organisation, units, given))
      : this.#describe(organisation, units, lots);
  }

  giveBack({ name }: Organisation, { lots, units }: TakenCredit): void {
    this.#node.giveBack(name, lots);
    this.#count(name, "returned", units);
  }

  /** Describes the credit for a request, without taking any or asking for it; undefined without a quota. */
  describeCredit(
    { name }: Organisation,
    units: number,
  ): CreditOutlook | undefined {
    const account = this.#node.find(name);
    if (account === undefined) return undefined;
    const now = this.#options.clock.now();
    const left = account.balance(now);
    const missing = account.isDry(now) ? "used-up" : "short";
    const state = left < account.findThreshold(units) ? missing : "sufficient";
    return { units, left, state };
  }

  stop(): void {
    this.#cancel();
  }

  #tick(): void {
    const { clock } = this.#options;
    const near = this.#listNear().length;
    const factor = Math.min(
      maxIntervalFactor,
      Math.max(1, near / nodesPerInterval),
    );
    this.#cancel = clock.schedule(millis(exchangeInterval * factor), () =>
      this.#tick(),
    );
    this.#findDirectory();
    const names = [...this.#terms.keys()];
    this.#node.exchange(names);
    this.#pool.exchange(this.#pool.names());
    this.#report();
  }

  #handle(message: CreditMessage): void {
    switch (message.level) {
      case "node":
        return this.#node.receive(message);
      case "pool":
        return this.#pool.receive(message);
      case "root":
        return this.#root.receive(message);
    }
  }

  #describe(
    { name }: Organisation,
    units: number,
    lots: readonly CreditLot[] | undefined,
  ): QuotaResult {
    if (lots === undefined) {
      this.#count(name, "refused", units);
      return { kind: "refused", retryIn: this.#findRetryDelay(name, units) };
    }
    this.#count(name, "taken", units);
    return {
      kind: "taken",
      credit: { units, lots, until: this.#findEnd(name, lots) },
    };
  }

  /** Time until which a request may be sent with the credit. */
  #findEnd(name: OrganisationName, lots: readonly CreditLot[]): Millis {
    const terms = this.#findTerms(name);
    if (terms === undefined) return millis(Number.POSITIVE_INFINITY);
    const now = this.#options.clock.now();
    const born = Math.min(now, ...lots.map((lot) => lot.born));
    return millis(born + terms.lifetime + terms.grace);
  }

  /** Time in which the credit comes in that the refused requests of late need. */
  #findRetryDelay(name: OrganisationName, units: number): Millis {
    const { clock, random } = this.#options;
    const wait = this.#node.find(name)?.estimateWait(units, clock.now()) ?? 0;
    const bounded = Math.min(maxRetryDelay, Math.max(minRetryDelay, wait));
    return millis(bounded * (1 + random() * retrySpread));
  }

  #findTerms(name: OrganisationName): QuotaTerms | undefined {
    this.#findDirectory();
    return this.#terms.get(name);
  }

  /** Applies the quotas of a configuration that has come into force. */
  #findDirectory(): void {
    const { findOrganisations, identity, tolerance } = this.#options;
    const directory = findOrganisations();
    if (directory === this.#directory) return;
    this.#directory = directory;
    this.#terms.clear();
    for (const { name, quota } of directory?.byName.values() ?? []) {
      if (quota === undefined) continue;
      const pools = identity.regions.size;
      this.#terms.set(name, describeQuotaTerms(quota, tolerance, pools));
    }
  }

  #listNear(): MachineName[] {
    const { listMachines, findDataCentre, identity } = this.#options;
    const { machine: own, dataCentre } = identity;
    return (listMachines() ?? []).filter(
      (machine) => machine === own || findDataCentre(machine) === dataCentre,
    );
  }

  #rank(key: string, machines: readonly MachineName[]): MachineName[] {
    return rankByRendezvous(`quota/${key}`, machines);
  }

  #report(): void {
    const { clock, journal, meter } = this.#options;
    const { part } = this;
    meter.gauge("quota_part", part);
    if (part !== this.#reportedPart)
      journal.record("quotaPartChanged", { part });
    this.#reportedPart = part;
    for (const name of this.#terms.keys()) {
      const balance = this.#node.find(name)?.balance(clock.now()) ?? 0;
      const organisation = this.#label(name);
      if (organisation !== "other")
        meter.gauge("quota_credit", Math.round(balance), { organisation });
    }
  }

  #count(name: OrganisationName, result: string, units: number): void {
    const labels = { organisation: this.#label(name), result };
    this.#options.meter.count("quota_units_total", labels, units);
  }

  #label(name: OrganisationName): string {
    if (this.#labels.size < maxLabels) this.#labels.add(name);
    return this.#labels.has(name) ? name : "other";
  }
}
