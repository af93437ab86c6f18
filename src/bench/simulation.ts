import { Nothing } from "purify-ts";
import { VirtualClock } from "../adapters/time/virtual_clock.ts";
import { type Clock, millis } from "../core/clock.ts";
import {
  defaultEnginePolicies,
  type EngineLimits,
  type EnginePolicies,
} from "../core/engine/mod.ts";
import {
  brandString,
  type Digest,
  type EngineId,
  type NodeId,
  type Region,
  type RequestId,
} from "../core/ids.ts";
import type { EngineView } from "../core/routing/view.ts";
import { DraftRequest } from "../node/draft_request.ts";
import type { AnswerSink, EngineAccess } from "../ports/access.ts";
import { silentJournal } from "../ports/journal.ts";
import {
  EngineSimulator,
  type EngineSimulatorOptions,
} from "../standins/engine_simulator.ts";
import { WeightStore } from "../standins/weight_store.ts";
import { EngineHost } from "./engine_host.ts";
import { SharedPermits } from "./permits.ts";
import { createRandom } from "./random.ts";
import { RequestRecord } from "./request_record.ts";
import type { Router } from "./simulated_router.ts";
import {
  type Arrival,
  computeDeadline,
  createRequestBody,
} from "./workload.ts";

/** One simulated installation and its workload. */
export type SimulationOptions = {
  readonly seed: number;
  readonly arrivals: readonly Arrival[];
  readonly regions: readonly Region[];
  /** Creates the router of one entry node. */
  readonly createRouter: (entry: {
    node: NodeId;
    region: Region;
    clock: Clock;
    random: () => number;
  }) => Router;
  readonly policies?: EnginePolicies;
  readonly limits?: Partial<EngineLimits>;
  /** Speed and faults of the simulated engines. */
  readonly engine?: Partial<
    Omit<EngineSimulatorOptions, "id" | "clock" | "store" | "limits">
  >;
  readonly enginesPerRegion?: number;
  readonly nodesPerRegion?: number;
  /** Time for which the simulation continues after the last arrival, in ms. */
  readonly drainTime?: number;
  /** Interval between updates of the engine views, in ms. */
  readonly viewInterval?: number;
  /** Draws the one-way delay between an owner and its engine, in ms. */
  readonly drawDelay?: (random: () => number) => number;
  /** Runs before the start, for example to schedule faults and placement changes. */
  readonly prepare?: (simulation: Simulation) => void;
};

/** One-way network delays in ms. */
const SAME_REGION_DELAY = 0.3;
const CROSS_REGION_DELAY = 15;

/** Time after which an entry node fails an attempt whose owner is paused, in ms. */
const OWNER_TIMEOUT = 3_000;

/** Engine limits of current installations. */
export const typicalEngineLimits: EngineLimits = {
  slots: 8,
  batch: 16,
  queue: 256,
  fencing: "checked",
};

/** Simulation of entry nodes, owners and engines on one virtual clock. */
export class Simulation {
  readonly clock = VirtualClock.create();
  readonly store = WeightStore.create(this.clock);
  readonly hosts = new Map<EngineId, EngineHost>();
  readonly records: RequestRecord[] = [];
  readonly random: () => number;
  readonly #options: SimulationOptions;
  readonly #regions = new Map<EngineId, Region>();
  readonly #routers = new Map<Region, Router[]>();
  #views: readonly EngineView[] = [];

  private constructor(options: SimulationOptions) {
    this.#options = options;
    this.random = createRandom(options.seed ^ 0x5eed);
    const permits = SharedPermits.create(this.clock, (engine) =>
      this.hosts.get(engine)?.grantPermit(),
    );
    for (const region of options.regions) {
      for (let index = 0; index < (options.enginesPerRegion ?? 2); index++) {
        this.#addEngine({ region, index, permits });
      }
      this.#routers.set(region, this.#createRouters(region));
    }
  }

  /** Runs a simulation to its end and returns it with its results. */
  static async run(options: SimulationOptions): Promise<Simulation> {
    const simulation = new Simulation(options);
    options.prepare?.(simulation);
    simulation.#refreshViews();
    simulation.#scheduleArrival(0);
    const last = options.arrivals[options.arrivals.length - 1]?.at ?? 0;
    await simulation.clock.advance(
      millis(last + (options.drainTime ?? 30_000)),
    );
    return simulation;
  }

  #addEngine(options: {
    region: Region;
    index: number;
    permits: SharedPermits;
  }): void {
    const { policies = defaultEnginePolicies, drawDelay } = this.#options;
    const engine = brandString<EngineId>(`${options.region}-${options.index}`);
    const limits = { ...typicalEngineLimits, ...this.#options.limits };
    const { clock, store, random } = this;
    const model = EngineSimulator.create({
      id: engine,
      clock,
      store,
      limits,
      ...this.#options.engine,
    });
    const host = EngineHost.create({
      identity: { engine, limits },
      model,
      clock,
      policies,
      random,
      permits: options.permits,
      suspects: { suspect() {}, clear() {} },
      journal: silentJournal,
      drawDelay: () => drawDelay?.(random) ?? SAME_REGION_DELAY,
    });
    this.hosts.set(engine, host);
    this.#regions.set(engine, options.region);
  }

  #createRouters(region: Region): Router[] {
    const count = this.#options.nodesPerRegion ?? 3;
    return Array.from({ length: count }, (_, index) =>
      this.#options.createRouter({
        node: brandString<NodeId>(`${region}-node-${index}`),
        region,
        clock: this.clock,
        random: this.random,
      }),
    );
  }

  #refreshViews(): void {
    const heardAt = this.clock.now();
    this.#views = [...this.hosts].map(([engine, host]) => ({
      ...host.summarize(),
      engine,
      region: this.#regions.get(engine) as Region,
      owner: brandString<NodeId>(`owner-of-${engine}`),
      heardAt,
    }));
    const period = millis(this.#options.viewInterval ?? 200);
    this.clock.schedule(period, () => this.#refreshViews());
  }

  #scheduleArrival(index: number): void {
    const arrival = this.#options.arrivals[index];
    if (arrival === undefined) return;
    const delay = millis(arrival.at - this.clock.now());
    this.clock.schedule(delay, () => {
      this.#startRequest(arrival, index);
      this.#scheduleArrival(index + 1);
    });
  }

  #startRequest(arrival: Arrival, index: number): void {
    const requestId = brandString<RequestId>(`request-${index}`);
    const routers = this.#routers.get(arrival.region) as Router[];
    const router = routers[index % routers.length] as Router;
    const record = RequestRecord.create(arrival, requestId);
    this.records.push(record);
    const deadlineAt = computeDeadline(arrival);
    const work = {
      requestId,
      adapter: arrival.adapter,
      customer: arrival.customer,
      priority: arrival.kind.priority,
      expectedTokens: arrival.tokens,
      arrivedAt: this.clock.now(),
      deadlineAt,
      digest: brandString<Digest>(`${arrival.adapter}/${index}`),
      prefix: brandString<Digest>(arrival.kind.name),
    };
    DraftRequest.create({
      call: {
        work,
        path: "/v1/completions",
        body: createRequestBody(arrival),
        isolated: false,
      },
      sink: record.createSink(this.clock),
      access: this.#createAccess(record, router),
      policies: {
        choose: (history) =>
          router.choose(
            {
              adapter: arrival.adapter,
              customer: arrival.customer,
              deadlineAt,
              expectedTokens: arrival.tokens,
              region: arrival.region,
              tried: new Set(history.tried),
            },
            {
              views: this.#views,
              now: this.clock.now(),
              random: this.random,
              work,
              history,
            },
          ),
        hedge: (history, waited) =>
          router.hedge?.(arrival, {
            history,
            waited,
            work,
            views: this.#views,
          }) ?? Nothing,
        takeRetry: () => true,
        random: this.random,
      },
      clock: this.clock,
      journal: silentJournal,
      onClose() {},
      observer: router.observe?.(work) ?? {
        onSubmit: (engine) => router.onSubmit?.(engine),
        onFirstToken() {},
        onRefusal() {},
        onClose() {},
      },
    });
  }

  /** Creates the access to the owners, with network delay. */
  #createAccess(record: RequestRecord, router: Router): EngineAccess {
    return {
      submit: (engine, submission, sink) => {
        const host = this.hosts.get(engine) as EngineHost;
        const isLocal = this.#regions.get(engine) === record.arrival.region;
        const delay = isLocal ? SAME_REGION_DELAY : CROSS_REGION_DELAY;
        const attempt = record.startAttempt({ engine, delay, router, sink });
        attempt.startedAt = this.clock.now();
        this.clock.schedule(millis(delay), () => {
          if (attempt.closed) return;
          const slot = host.state.slots.get(record.arrival.adapter);
          record.recordAdapterState(slot?.phase === "loaded");
          attempt.control = host.submit(
            submission,
            attempt.createSink(this.clock),
          );
          this.#scheduleOwnerCheck(host, attempt);
        });
        return attempt;
      },
    };
  }

  /** Fails an attempt once a periodic check finds its owner paused. */
  #scheduleOwnerCheck(
    host: EngineHost,
    attempt: { closed: boolean; failPeerLost(sink?: AnswerSink): void },
  ): void {
    this.clock.schedule(millis(OWNER_TIMEOUT), () => {
      if (attempt.closed) return;
      if (host.paused) attempt.failPeerLost();
      else this.#scheduleOwnerCheck(host, attempt);
    });
  }
}
