import { VirtualClock } from "../adapters/time/virtual_clock.ts";
import { type Millis, millis } from "../core/clock.ts";
import { brandString, type EngineId, type LeaseId } from "../core/ids.ts";
import { defaultLoadLimits } from "../core/loads/limits.ts";
import {
  budgetRowKey,
  createBudgetRow,
  markReturning,
  parseBudgetRow,
} from "../core/loads/row.ts";
import { LoadBudget } from "../node/load_budget.ts";
import { silentJournal, silentMeter } from "../ports/journal.ts";
import { NodeClock } from "./node_clock.ts";
import { createRandom, drawExponential } from "./random.ts";
import { type TableFaults, TableSimulation } from "./table_simulation.ts";

/** Size, demand and faults of a simulated installation. */
export type LoadBudgetScenario = {
  readonly seed: number;
  readonly nodes: number;
  readonly enginesPerNode: number;
  /** Number of engine owners over all nodes, as reported to the nodes. */
  readonly owners: number;
  readonly duration: Millis;
  /** Requested loads per second over all nodes. */
  readonly demand: number;
  /** Number of nodes that get the whole demand; all nodes by default. */
  readonly busyNodes?: number;
  readonly faults: TableFaults;
  /** Node restarts and pauses per second. */
  readonly restarts: number;
  readonly pauses: number;
};

/** Loads at the weight store, their delays and the table calls. */
export type LoadBudgetResult = {
  /** Start times of loads. */
  readonly startTimes: readonly number[];
  readonly peakInFlightLoads: number;
  /** Maximum number of permits held at once, as counted by nodes with a usable lease. */
  readonly peakHeldPermits: number;
  /** Time from the request for a load to its start, in ms. */
  readonly stalls: readonly number[];
  readonly requestedLoads: number;
  readonly reads: number;
  readonly writes: number;
  /** Whether the budget row accounts for every permit at the end. */
  readonly isRowValid: boolean;
};

const leaseDurationMs = 6000;
const leaseMarginMs = 1000;
const renewalMs = 2000;
const maxPauseMs = 12_000;

type Node = {
  readonly index: number;
  readonly clock: NodeClock;
  readonly budget: LoadBudget;
  lease: LeaseId;
  renewedAt: number;
  alive: boolean;
};

/** Simulates the nodes that share the load budget on virtual time, with a session lease per node. */
export class LoadBudgetSimulation {
  readonly #scenario: LoadBudgetScenario;
  readonly #clock = VirtualClock.create();
  readonly #random: () => number;
  readonly #table: TableSimulation;
  readonly #nodes: Node[] = [];
  readonly #pendingLoads = new Map<EngineId, number[]>();
  readonly #startTimes: number[] = [];
  readonly #stalls: number[] = [];
  #loadsInFlight = 0;
  #peakInFlightLoads = 0;
  #peakHeldPermits = 0;
  #leases = 0;
  #requestedLoads = 0;

  static async run(scenario: LoadBudgetScenario): Promise<LoadBudgetResult> {
    const simulation = new LoadBudgetSimulation(scenario);
    return await simulation.#run();
  }

  private constructor(scenario: LoadBudgetScenario) {
    this.#scenario = scenario;
    this.#random = createRandom(scenario.seed);
    this.#table = TableSimulation.create({
      clock: this.#clock,
      faults: scenario.faults,
      random: this.#random,
    });
  }

  async #run(): Promise<LoadBudgetResult> {
    const { nodes, duration, demand, restarts, pauses } = this.#scenario;
    for (let index = 0; index < nodes; index++)
      this.#nodes.push(this.#startNode(index));
    this.#scheduleRandomly(demand, () => this.#requestLoad());
    this.#scheduleRandomly(restarts, () => this.#restart());
    this.#scheduleRandomly(pauses, () => this.#pause());
    await this.#clock.advance(duration);
    for (const node of this.#nodes) node.budget.stop();
    const row = parseBudgetRow(this.#table.peek(budgetRowKey)?.value);
    return {
      startTimes: this.#startTimes,
      peakInFlightLoads: this.#peakInFlightLoads,
      peakHeldPermits: this.#peakHeldPermits,
      stalls: this.#stalls,
      requestedLoads: this.#requestedLoads,
      reads: this.#table.reads,
      writes: this.#table.writes,
      isRowValid: row.isRight(),
    };
  }

  #startNode(index: number): Node {
    const clock = NodeClock.create(this.#clock);
    const budget = LoadBudget.create({
      table: this.#table.connect(
        () => new Promise((resolve) => clock.run(resolve)),
      ),
      clock,
      policies: { limits: defaultLoadLimits, random: this.#random },
      onGrant: (engine) => this.#startLoad(node, engine),
      journal: silentJournal,
      meter: silentMeter,
    });
    const node: Node = {
      index,
      clock,
      budget,
      lease: this.#nextLease(),
      renewedAt: this.#clock.now(),
      alive: true,
    };
    const { enginesPerNode: local, owners: total } = this.#scenario;
    budget.send({ type: "owners", local, total });
    this.#renew(node);
    return node;
  }

  #nextLease(): LeaseId {
    this.#leases++;
    return brandString<LeaseId>(`lease-${this.#leases}`);
  }

  /** Renews the lease while the table is up; acquires a new one if the old one has expired. */
  #renew(node: Node): void {
    if (!node.alive) return;
    const now = this.#clock.now();
    if (!this.#scenario.faults.isDown(now)) {
      if (now - node.renewedAt >= leaseDurationMs) {
        node.lease = this.#nextLease();
      }
      node.renewedAt = now;
      node.budget.send({
        type: "lease",
        lease: node.lease,
        usableUntil: millis(now + leaseDurationMs - leaseMarginMs),
      });
      this.#scheduleLeaseRemoval(node, { lease: node.lease, renewedAt: now });
    }
    node.clock.schedule(millis(renewalMs), () => this.#renew(node));
  }

  /** Lets another node remove the lease once its session row stayed unchanged for the lease duration. */
  #scheduleLeaseRemoval(
    node: Node,
    seen: { lease: LeaseId; renewedAt: number },
  ): void {
    const delay = millis(leaseDurationMs + 200);
    this.#clock.schedule(delay, () => {
      const renewed =
        node.lease === seen.lease && node.renewedAt !== seen.renewedAt;
      const suspected = !node.alive || node.clock.paused;
      if (suspected && !renewed) this.#removeLease(seen.lease);
    });
  }

  #removeLease(removed: LeaseId): void {
    const remover = this.#nodes.find(
      (node) => node.alive && !node.clock.paused && node.lease !== removed,
    );
    if (
      remover === undefined ||
      this.#scenario.faults.isDown(this.#clock.now())
    ) {
      this.#clock.schedule(millis(500), () => this.#removeLease(removed));
      return;
    }
    const value = this.#table.peek(budgetRowKey)?.value;
    const row =
      value === undefined
        ? createBudgetRow()
        : parseBudgetRow(value).unsafeCoerce();
    this.#table.put(
      budgetRowKey,
      markReturning(row, { removed, by: remover.lease }),
    );
    remover.budget.send({ type: "lease-removed", lease: removed });
  }

  #requestLoad(): void {
    const { busyNodes = this.#nodes.length, enginesPerNode } = this.#scenario;
    const node = this.#nodes[Math.floor(this.#random() * busyNodes)];
    if (node === undefined || node.clock.paused) return;
    const slot = Math.floor(this.#random() * enginesPerNode);
    const engine = brandString<EngineId>(`${node.index}-${slot}`);
    this.#requestedLoads++;
    const pending = this.#pendingLoads.get(engine) ?? [];
    pending.push(this.#clock.now());
    this.#pendingLoads.set(engine, pending);
    node.budget.request(engine, true);
  }

  #startLoad(node: Node, engine: EngineId): void {
    const requestedAt = this.#pendingLoads.get(engine)?.shift();
    const now = this.#clock.now();
    this.#startTimes.push(now);
    if (requestedAt !== undefined) this.#stalls.push(now - requestedAt);
    this.#loadsInFlight++;
    this.#peakInFlightLoads = Math.max(
      this.#peakInFlightLoads,
      this.#loadsInFlight,
    );
    this.#peakHeldPermits = Math.max(
      this.#peakHeldPermits,
      this.#countHeldPermits(),
    );
    const { budget } = node;
    // One load in twenty is slow, so that some permits are in use while their lease is removed.
    const time = this.#random() < 0.05 ? 9000 * this.#random() : 250;
    this.#clock.schedule(millis(time), () => {
      this.#loadsInFlight--;
    });
    node.clock.schedule(millis(time), () => budget.release(engine, true));
  }

  #countHeldPermits(): number {
    const now = this.#clock.now();
    return this.#nodes
      .filter((node) => now < node.budget.state.usableUntil)
      .flatMap((node) => node.budget.state.permits)
      .filter((permit) => !permit.stopped).length;
  }

  /** Replaces a node as after a crash; its loads continue at the engines. */
  #restart(): void {
    const index = Math.floor(this.#random() * this.#nodes.length);
    const node = this.#nodes[index];
    if (node === undefined || node.clock.paused) return;
    node.alive = false;
    node.budget.stop();
    for (const engine of this.#pendingLoads.keys())
      if (engine.startsWith(`${index}-`)) this.#pendingLoads.delete(engine);
    this.#nodes[index] = this.#startNode(index);
  }

  #pause(): void {
    const index = Math.floor(this.#random() * this.#nodes.length);
    const node = this.#nodes[index];
    if (node === undefined || node.clock.paused) return;
    node.clock.pause(this.#random() * maxPauseMs);
  }

  /** Invokes the callback as a Poisson process with `rate` events per second. */
  #scheduleRandomly(rate: number, callback: () => void): void {
    if (rate <= 0) return;
    const next = () => {
      callback();
      this.#clock.schedule(
        millis(drawExponential(1000 / rate, this.#random)),
        next,
      );
    };
    this.#clock.schedule(
      millis(drawExponential(1000 / rate, this.#random)),
      next,
    );
  }
}

/** Counts the maximum number of start times within any window of the given length. */
export function countMaxInWindow(
  startTimes: readonly number[],
  window: number,
): number {
  let first = 0;
  let peak = 0;
  startTimes.forEach((at, last) => {
    while ((startTimes[first] as number) <= at - window) first++;
    peak = Math.max(peak, last - first + 1);
  });
  return peak;
}
