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
  /** Engine owners of all nodes, as the nodes are told. */
  readonly owners: number;
  readonly duration: Millis;
  /** Loads wanted a second over all nodes. */
  readonly demand: number;
  /** Nodes that get all of the demand; all of them when undefined. */
  readonly busyNodes?: number;
  readonly faults: TableFaults;
  /** Restarts and pauses of nodes a second. */
  readonly restarts: number;
  readonly pauses: number;
};

/** What the weight store and the callers saw. */
export type LoadBudgetResult = {
  /** Start times of loads. */
  readonly startTimes: readonly number[];
  readonly peakInFlightLoads: number;
  /** Most permits that nodes with a usable lease believed to hold at once. */
  readonly peakHeldPermits: number;
  /** Time from the wish for a load to its start, in ms. */
  readonly stalls: readonly number[];
  readonly requestedLoads: number;
  readonly reads: number;
  readonly writes: number;
  /** Whether the row accounts for every permit at the end. */
  readonly isRowValid: boolean;
};

const leaseDurationMs = 6000;
const leaseMarginMs = 1000;
const renewalMs = 2000;
const longestPauseMs = 12_000;

type Node = {
  readonly index: number;
  readonly clock: NodeClock;
  readonly budget: LoadBudget;
  lease: LeaseId;
  renewedAt: number;
  alive: boolean;
};

/** Runs share holders on virtual time, with a session lease per node. */
export class LoadBudgetSimulation {
  readonly #scenario: LoadBudgetScenario;
  readonly #clock = VirtualClock.create();
  readonly #random: () => number;
  readonly #table: TableSimulation;
  readonly #nodes: Node[] = [];
  readonly #waits = new Map<EngineId, number[]>();
  readonly #starts: number[] = [];
  readonly #stalls: number[] = [];
  #inFlight = 0;
  #peakInFlight = 0;
  #peakHeld = 0;
  #leases = 0;
  #wanted = 0;

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
    this.#repeat(demand, () => this.#wantLoad());
    this.#repeat(restarts, () => this.#restart());
    this.#repeat(pauses, () => this.#pause());
    await this.#clock.advance(duration);
    for (const node of this.#nodes) node.budget.stop();
    const row = parseBudgetRow(this.#table.peek(budgetRowKey)?.value);
    return {
      startTimes: this.#starts,
      peakInFlightLoads: this.#peakInFlight,
      peakHeldPermits: this.#peakHeld,
      stalls: this.#stalls,
      requestedLoads: this.#wanted,
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

  /** Renews the lease while the table answers; takes a new one after the old one has ended. */
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
      this.#watchLease(node, { lease: node.lease, renewedAt: now });
    }
    node.clock.schedule(millis(renewalMs), () => this.#renew(node));
  }

  /** Another node removes the session row once it stayed unchanged for the lease duration. */
  #watchLease(node: Node, seen: { lease: LeaseId; renewedAt: number }): void {
    const delay = millis(leaseDurationMs + 200);
    this.#clock.schedule(delay, () => {
      const renewed =
        node.lease === seen.lease && node.renewedAt !== seen.renewedAt;
      const suspected = !node.alive || node.clock.paused;
      if (suspected && !renewed) this.#removeLease(seen.lease);
    });
  }

  #removeLease(removed: LeaseId): void {
    const by = this.#nodes.find(
      (node) => node.alive && !node.clock.paused && node.lease !== removed,
    );
    if (by === undefined || this.#scenario.faults.isDown(this.#clock.now())) {
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
      markReturning(row, { removed, by: by.lease }),
    );
    by.budget.send({ type: "lease-removed", lease: removed });
  }

  #wantLoad(): void {
    const { busyNodes = this.#nodes.length, enginesPerNode } = this.#scenario;
    const node = this.#nodes[Math.floor(this.#random() * busyNodes)];
    if (node === undefined || node.clock.paused) return;
    const slot = Math.floor(this.#random() * enginesPerNode);
    const engine = brandString<EngineId>(`${node.index}-${slot}`);
    this.#wanted++;
    const waits = this.#waits.get(engine) ?? [];
    waits.push(this.#clock.now());
    this.#waits.set(engine, waits);
    node.budget.request(engine, true);
  }

  #startLoad(node: Node, engine: EngineId): void {
    const wantedAt = this.#waits.get(engine)?.shift();
    const now = this.#clock.now();
    this.#starts.push(now);
    if (wantedAt !== undefined) this.#stalls.push(now - wantedAt);
    this.#inFlight++;
    this.#peakInFlight = Math.max(this.#peakInFlight, this.#inFlight);
    this.#peakHeld = Math.max(this.#peakHeld, this.#countHeld());
    const { budget } = node;
    // One load in twenty is slow, so that permits in use are seen over a removal.
    const time = this.#random() < 0.05 ? 9000 * this.#random() : 250;
    this.#clock.schedule(millis(time), () => {
      this.#inFlight--;
    });
    node.clock.schedule(millis(time), () => budget.release(engine, true));
  }

  #countHeld(): number {
    const now = this.#clock.now();
    return this.#nodes
      .filter((node) => now < node.budget.state.usableUntil)
      .flatMap((node) => node.budget.state.permits)
      .filter((permit) => !permit.stopped).length;
  }

  /** Ends a node as a crash does; its loads go on at the engines. */
  #restart(): void {
    const index = Math.floor(this.#random() * this.#nodes.length);
    const node = this.#nodes[index];
    if (node === undefined || node.clock.paused) return;
    node.alive = false;
    node.budget.stop();
    for (const engine of this.#waits.keys())
      if (engine.startsWith(`${index}-`)) this.#waits.delete(engine);
    this.#nodes[index] = this.#startNode(index);
  }

  #pause(): void {
    const index = Math.floor(this.#random() * this.#nodes.length);
    const node = this.#nodes[index];
    if (node === undefined || node.clock.paused) return;
    node.clock.pause(this.#random() * longestPauseMs);
  }

  /** Calls back at random times, `rate` times a second on average. */
  #repeat(rate: number, callback: () => void): void {
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

/** Most loads that started within any window of this length. */
export function countMaxInWindow(
  starts: readonly number[],
  window: number,
): number {
  let first = 0;
  let peak = 0;
  starts.forEach((at, last) => {
    while ((starts[first] as number) <= at - window) first++;
    peak = Math.max(peak, last - first + 1);
  });
  return peak;
}
