import type { Experiment, Figures } from "../experiment.ts";
import { startChild } from "../path_cost/child.ts";
import {
  LoadGenerator,
  LoadMeasurements,
} from "../path_cost/load_generator.ts";

/** Ways of a request; `entry` goes through two nodes, which share one process. */
const ways = ["direct", "node", "entry"] as const;
type Way = (typeof ways)[number];

type Plan = {
  readonly streams: number;
  /** Step of the engine in ms; one token per stream and step. */
  readonly stepTime: number;
  readonly rounds: number;
  readonly answers: number;
  /** Mean length of an answer; the lengths differ, so that streams spread in time. */
  readonly tokens: number;
};

const plans: Readonly<Record<string, Plan>> = {
  "streams 1": { streams: 1, stepTime: 3, rounds: 5, answers: 40, tokens: 4 },
  "streams 16": { streams: 16, stepTime: 3, rounds: 5, answers: 10, tokens: 8 },
  "streams 128": {
    streams: 128,
    stepTime: 10,
    rounds: 3,
    answers: 2,
    tokens: 80,
  },
  saturated: { streams: 128, stepTime: 0, rounds: 2, answers: 1, tokens: 400 },
};

/** Measures all ways in turn, round by round, in one set of processes. */
async function run(variant: string): Promise<Figures> {
  const plan = plans[variant] as Plan;
  const engine = await startChild("./engine_process.ts", plan);
  const origin = engine.origins.direct as string;
  const node = await startChild("./node_process.ts", { engine: origin });
  const origins = { ...engine.origins, ...node.origins };
  const results = new Map<Way, LoadMeasurements>();
  const cpu = new Map<Way, number>();
  const clients = new Map<Way, LoadGenerator>();
  for (const way of ways) {
    const client = await LoadGenerator.open(
      origins[way] as string,
      plan.streams,
    );
    await client.run(
      { answers: 2, tokens: 10, stepTime: 0 },
      new LoadMeasurements(),
    );
    clients.set(way, client);
    results.set(way, new LoadMeasurements());
  }
  for (let round = 0; round < plan.rounds; round++) {
    for (const way of ways) {
      const before = await node.readCpuTime();
      await clients.get(way)?.run(plan, results.get(way) as LoadMeasurements);
      const used = (await node.readCpuTime()) - before;
      cpu.set(way, (cpu.get(way) ?? 0) + used);
    }
  }
  for (const client of clients.values()) client.close();
  await node.stop();
  await engine.stop();
  return summarizeWays(results, cpu);
}

function summarizeWays(
  results: ReadonlyMap<Way, LoadMeasurements>,
  cpu: ReadonlyMap<Way, number>,
): Figures {
  const direct = results.get("direct") as LoadMeasurements;
  const figures: Record<string, number> = {};
  for (const [way, result] of results) {
    const { firstToken, gap, elapsed } = result;
    const tokens = result.tokens + result.leadTokens;
    figures[`${way} first token p50 ms`] = firstToken.percentile(50);
    figures[`${way} first token p99 ms`] = firstToken.percentile(99);
    figures[`${way} gap p50 ms`] = gap.percentile(50);
    figures[`${way} gap p99 ms`] = gap.percentile(99);
    figures[`${way} tokens/s`] = (tokens / elapsed) * 1000;
    figures[`${way} incomplete`] = result.incomplete;
    if (way === "direct") continue;
    const used = cpu.get(way) ?? 0;
    figures[`${way} cpu us/token`] = (used * 1000) / tokens;
    figures[`${way} cpu share`] = used / elapsed;
    figures[`${way} tokens/cpu-s`] = tokens / (used / 1000);
    for (const percent of [50, 99]) {
      const added = (pick: (one: LoadMeasurements) => typeof gap) =>
        pick(result).percentile(percent) - pick(direct).percentile(percent);
      figures[`${way} added first p${percent} ms`] = added(
        (one) => one.firstToken,
      );
      figures[`${way} added gap p${percent} ms`] = added((one) => one.gap);
    }
  }
  return figures;
}

/** Cost of the way through one node and through entry plus owner. */
export const experiment: Experiment = {
  name: "path_cost",
  summary:
    "Latency and processor time that nodes add to a direct call to the engine",
  variants: Object.keys(plans),
  run,
  comparisons: [],
  targets: [
    {
      figure: "node added first p50 ms",
      variant: "streams 128",
      target: { atMost: 2 },
    },
    {
      figure: "node added first p99 ms",
      variant: "streams 128",
      target: { atMost: 4 },
    },
    {
      figure: "node added gap p99 ms",
      variant: "streams 128",
      target: { atMost: 1 },
    },
    {
      figure: "entry added first p50 ms",
      variant: "streams 128",
      target: { atMost: 2 },
    },
    {
      figure: "entry added first p99 ms",
      variant: "streams 128",
      target: { atMost: 4 },
    },
    {
      figure: "entry added gap p99 ms",
      variant: "streams 128",
      target: { atMost: 1 },
    },
    {
      figure: "node tokens/s",
      variant: "saturated",
      target: { atLeast: 50_000 },
    },
  ],
};
