import { createSeededRandom } from "../../src/adapters/random/seeded_random.ts";
import { VirtualClock } from "../../src/adapters/time/virtual_clock.ts";
import { type Millis, millis } from "../../src/core/clock.ts";
import {
  type EngineBacklog,
  estimateBacklogDelay,
  estimateBacklogWait,
  estimateOwnPrompt,
} from "../../src/core/gateway/engine_backlog.ts";
import { chooseShortestWait } from "../../src/core/gateway/engine_ranking.ts";
import { expectEngineWait } from "../../src/core/gateway/expected_wait.ts";
import {
  estimateDistance,
  findPlace,
  type NodeLocation,
} from "../../src/core/gateway/server_distance.ts";
import { createServerHealth } from "../../src/core/gateway/server_health.ts";
import {
  createPaceTable,
  learnFirstEvent,
  learnRun,
  type PaceTable,
  readPromptRates,
  readSharedSlowness,
  readSlowness,
  recordSharedPace,
} from "../../src/core/gateway/server_pace.ts";
import type { BackendServer } from "../../src/core/gateway/servers.ts";
import {
  collectRatio,
  type PaceDeviations,
  type PaceLedger,
  recordPaceReport,
  takePaceNews,
} from "../../src/core/gateway/shared_pace.ts";
import { brandString, type MachineName } from "../../src/core/ids.ts";
import { answerTokens, Engine, shortPrompt } from "./paced_engine.ts";
import { dataCentres, locate, service } from "./paced_servers.ts";

/** Interval at which nodes hear of the requests of the others, in ms. */
const reportInterval = 250;
/** Interval of the crests of one data centre, in ms. */
const crestInterval = 20_000;
/** Prompt tokens of the requests with long prompts, and their share. */
const longPrompt = 9_000;
const longPromptShare = 0.04;

/** Time that a request is expected to take to its first event, as a node estimates it, in ms. */
export type WaitPolicy = (
  node: EngineNode,
  server: BackendServer,
  promptTokens: number,
) => Millis;

type EngineNode = {
  readonly location: NodeLocation;
  readonly machine: MachineName;
  readonly deviations: PaceDeviations;
  readonly paces: PaceTable;
  readonly own: Map<string, number>;
  /** Requests of all nodes, as last heard of. */
  readonly reported: Map<string, EngineBacklog>;
  readonly now: () => Millis;
  runTime: number;
};

/** Estimates as before paces were learned. */
export const fixedPace: WaitPolicy = (node, server, promptTokens) =>
  estimateBacklogWait(
    findBacklog(node, server),
    describe(node, server),
    promptTokens,
  );

/** Estimates with the learned pace. */
export const learnedPace: WaitPolicy = (node, server, promptTokens) => {
  const { queue, prompt } = expectEngineWait(
    {
      backlog: findBacklog(node, server),
      pace: describe(node, server),
      slowness: readSlowness(node.paces, server, node.now()),
      load: millis(0),
      distance: millis(0),
    },
    promptTokens,
  );
  return millis(queue + prompt);
};

/** Estimates with the learned pace, which the nodes share. */
export const sharedPace: WaitPolicy = (...request) => learnedPace(...request);

function describe(node: EngineNode, { slots, service }: BackendServer) {
  const rates = readPromptRates(node.paces, service);
  return { slots, runTime: node.runTime, rates };
}

function findBacklog(node: EngineNode, { id }: BackendServer): EngineBacklog {
  const reported = node.reported.get(id);
  const own = node.own.get(id) ?? 0;
  const none = { requests: 0, tokens: 0, running: 0 };
  const { requests, tokens, running } = reported ?? none;
  return { requests: requests + own, tokens, running };
}

type EngineLoad = {
  readonly speeds: readonly number[];
  readonly slots: number;
  readonly nodes: number;
  /** Requests a second in all data centres. */
  readonly rate: number;
  /** Number of data centres over which engines and nodes are spread; 1 by default. */
  readonly places?: number;
  /** Part of the rate by which the data centres crest one after another. */
  readonly swing?: number;
  /** Length of the run, of which the first fifth is not counted, in ms. */
  readonly duration: number;
  /** Changes of the engines' speeds. */
  readonly changes?: readonly {
    readonly at: number;
    readonly engine: number;
    readonly speed: number;
  }[];
};

/** What callers and engines saw. */
export type EngineResult = {
  /** Mean and 95th percentile of the time to the first event, in ms. */
  readonly mean: number;
  readonly p95: number;
  /** Largest part of an engine's slots that was in use, relative to the mean of all. */
  readonly busiest: number;
  /** Share of the requests that each engine got. */
  readonly shares: readonly number[];
  /** Share of the requests that ran in another region. */
  readonly spilled: number;
  /** Datagrams a second that each node sends to share paces. */
  readonly datagrams: number;
};

/** Runs nodes before engines of uneven speed on virtual time. */
export function runEngines(policy: WaitPolicy, load: EngineLoad): EngineResult {
  return new EngineFleet(policy, load).run();
}

class EngineFleet {
  readonly #clock = VirtualClock.create();
  readonly #random = createSeededRandom(7);
  readonly #policy: WaitPolicy;
  readonly #load: EngineLoad;
  readonly #engines: readonly Engine[];
  readonly #nodes: readonly EngineNode[];
  readonly #times: number[] = [];
  readonly #counts = new Map<Engine, number>();
  readonly #ledger: PaceLedger = new Map();
  #datagrams = 0;
  #spilled = 0;

  constructor(policy: WaitPolicy, load: EngineLoad) {
    this.#policy = policy;
    this.#load = load;
    const { slots, places = 1 } = load;
    this.#engines = load.speeds.map((speed, index) =>
      Engine.create(this.#clock, {
        id: `e${index}`,
        speed,
        slots,
        dataCentre: dataCentres[index % places] as string,
      }),
    );
    this.#nodes = Array.from({ length: load.nodes }, (_, index) => ({
      location: locate(index % places),
      machine: brandString<MachineName>(`n${index}`),
      deviations: new Map(),
      paces: createPaceTable(),
      own: new Map(),
      reported: new Map(),
      now: () => this.#clock.now(),
      runTime: 400,
    }));
  }

  run(): EngineResult {
    const { duration, changes = [] } = this.#load;
    for (const { at, engine, speed } of changes)
      this.#clock.schedule(millis(at), () => {
        (this.#engines[engine] as Engine).speed = speed;
      });
    for (const node of this.#nodes) {
      const delay = millis(this.#random() * reportInterval);
      this.#clock.schedule(delay, () => this.#report(node));
    }
    this.#arrive();
    this.#clock.schedule(millis(this.#warmUp), () => {
      for (const engine of this.#engines) engine.busy = 0;
    });
    this.#clock.advanceSync(millis(duration));
    return this.#summarize();
  }

  get #warmUp(): number {
    return this.#load.duration / 5;
  }

  #report(node: EngineNode): void {
    node.own.clear();
    for (const { server, backlog } of this.#engines)
      node.reported.set(server.id, backlog);
    const now = this.#clock.now();
    const news = takePaceNews(this.#ledger, node.machine, now);
    // Each engine may have another owner.
    this.#datagrams += news.length;
    for (const { server, logSlowness } of news) {
      const paced = { ...server, service };
      recordSharedPace(node.paces, paced, { logSlowness, now });
    }
    this.#clock.schedule(millis(reportInterval), () => this.#report(node));
  }

  #arrive(): void {
    const gap = (-Math.log(1 - this.#random()) * 1_000) / this.#load.rate;
    this.#clock.schedule(millis(gap), () => this.#arrive());
    const node = this.#drawNode();
    const promptTokens =
      this.#random() < longPromptShare ? longPrompt : shortPrompt;
    this.#send(node, this.#choose(node, promptTokens), promptTokens);
  }

  /** Draws the node of a request; those of a data centre at its crest get more. */
  #drawNode(): EngineNode {
    const { swing = 0, places = 1 } = this.#load;
    for (;;) {
      const index = Math.floor(this.#random() * this.#nodes.length);
      const place = (index % places) / places;
      const phase = 2 * Math.PI * (this.#clock.now() / crestInterval + place);
      const share = (1 + swing * Math.sin(phase)) / (1 + swing);
      if (this.#random() < share) return this.#nodes[index] as EngineNode;
    }
  }

  #choose(node: EngineNode, promptTokens: number): Engine {
    const byId = new Map(
      this.#engines.map((engine) => [engine.server.id, engine]),
    );
    const servers = this.#engines.map(({ server }) => server);
    const server = chooseShortestWait(servers, {
      ...node.location,
      health: createServerHealth(),
      now: this.#clock.now(),
      estimateWait: (id) =>
        this.#policy(node, (byId.get(id) as Engine).server, promptTokens),
      offset: this.#random(),
    });
    return byId.get((server as BackendServer).id) as Engine;
  }

  #send(node: EngineNode, engine: Engine, promptTokens: number): void {
    const { server } = engine;
    const learns = this.#policy !== fixedPace;
    const expected = expectDelay(node, server, promptTokens);
    node.own.set(server.id, (node.own.get(server.id) ?? 0) + 1);
    const sentAt = this.#clock.now();
    const isCounted = sentAt >= this.#warmUp;
    const place = findPlace(server, node.location);
    if (isCounted && place === "other-region") this.#spilled++;
    if (isCounted)
      this.#counts.set(engine, (this.#counts.get(engine) ?? 0) + 1);
    let firstAt = sentAt;
    const onFirst = () => {
      const now = this.#clock.now();
      firstAt = now;
      const elapsed = millis(now - sentAt);
      const way = estimateDistance(server, node.location);
      if (isCounted) this.#times.push(elapsed + way);
      if (!learns) return;
      learnFirstEvent(node.paces, server, { expected, elapsed, now });
    };
    const onEnd = () => {
      const now = this.#clock.now();
      const runTime = millis(now - firstAt);
      node.runTime += 0.05 * (runTime - node.runTime);
      if (!learns) return;
      const sample = { answerTokens, runTime, now };
      const logRatio = learnRun(node.paces, server, sample);
      if (logRatio !== undefined) this.#collect(node, server, logRatio);
    };
    engine.run(promptTokens, onFirst, onEnd);
  }

  /** Reports what one answer showed to the owner of the engine. */
  #collect(node: EngineNode, server: BackendServer, logRatio: number): void {
    if (this.#policy !== sharedPace) return;
    const now = this.#clock.now();
    const shared = Math.log(readSharedSlowness(node.paces, server, now));
    const report = collectRatio(node.deviations, server, { logRatio, shared });
    if (report === undefined) return;
    this.#datagrams++;
    recordPaceReport(this.#ledger, report, now);
  }

  #summarize(): EngineResult {
    const times = this.#times.sort((a, b) => a - b);
    const busy = this.#engines.map((engine) => engine.busy);
    const counts = this.#engines.map((engine) => this.#counts.get(engine) ?? 0);
    return {
      mean: sum(times) / times.length,
      p95: times[Math.floor(times.length * 0.95)] ?? 0,
      busiest: (Math.max(...busy) * busy.length) / sum(busy),
      shares: counts.map((count) => count / sum(counts)),
      spilled: this.#spilled / sum(counts),
      datagrams:
        (this.#datagrams * 1_000) / this.#load.duration / this.#nodes.length,
    };
  }
}

/** Time to the first event at the mean engine. */
function expectDelay(
  node: EngineNode,
  server: BackendServer,
  promptTokens: number,
) {
  const pace = describe(node, server);
  const backlog = findBacklog(node, server);
  const delay = estimateBacklogDelay(backlog, pace, promptTokens);
  const own = estimateOwnPrompt(pace.rates, promptTokens);
  return {
    ...delay,
    prompts: delay.prompts + own.prompts,
    tokens: delay.tokens + own.tokens,
  };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
