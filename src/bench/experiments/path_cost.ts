import type { Experiment, Figures } from "../experiment.ts";
import { startChild } from "../path_cost/child.ts";
import {
  LoadGenerator,
  LoadMeasurements,
} from "../path_cost/load_generator.ts";

/** Paths of a request; `entry` passes through two nodes, which share one process. */
const paths = ["direct", "node", "entry"] as const;
type RequestPath = (typeof paths)[number];

type LoadPlan = {
  readonly streams: number;
  /** Duration of an engine step in ms; each stream gets one token per step. */
  readonly stepTime: number;
  readonly rounds: number;
  readonly answers: number;
  /** Mean length of a response; lengths differ, so that the streams are staggered. */
  readonly tokens: number;
};

const plans: Readonly<Record<string, LoadPlan>> = {
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

/** Measures the paths alternately in several rounds, with one set of processes. */
async function run(variant: string): Promise<Figures> {
  const plan = plans[variant] as LoadPlan;
  const engine = await startChild("./engine_process.ts", plan);
  const origin = engine.origins.direct as string;
  const node = await startChild("./node_process.ts", { engine: origin });
  const origins = { ...engine.origins, ...node.origins };
  const results = new Map<RequestPath, LoadMeasurements>();
  const cpu = new Map<RequestPath, number>();
  const clients = new Map<RequestPath, LoadGenerator>();
  for (const path of paths) {
    const client = await LoadGenerator.open(
      origins[path] as string,
      plan.streams,
    );
    await client.run(
      { answers: 2, tokens: 10, stepTime: 0 },
      new LoadMeasurements(),
    );
    clients.set(path, client);
    results.set(path, new LoadMeasurements());
  }
  for (let round = 0; round < plan.rounds; round++) {
    for (const path of paths) {
      const before = await node.readCpuTime();
      await clients.get(path)?.run(plan, results.get(path) as LoadMeasurements);
      const used = (await node.readCpuTime()) - before;
      cpu.set(path, (cpu.get(path) ?? 0) + used);
    }
  }
  for (const client of clients.values()) client.close();
  await node.stop();
  await engine.stop();
  return summarizePaths(results, cpu);
}

function summarizePaths(
  results: ReadonlyMap<RequestPath, LoadMeasurements>,
  cpu: ReadonlyMap<RequestPath, number>,
): Figures {
  const direct = results.get("direct") as LoadMeasurements;
  const figures: Record<string, number> = {};
  for (const [path, result] of results) {
    const { firstToken, gap, elapsed } = result;
    const tokens = result.tokens + result.warmUpTokens;
    figures[`${path} first token p50 ms`] = firstToken.percentile(50);
    figures[`${path} first token p99 ms`] = firstToken.percentile(99);
    figures[`${path} gap p50 ms`] = gap.percentile(50);
    figures[`${path} gap p99 ms`] = gap.percentile(99);
    figures[`${path} tokens/s`] = (tokens / elapsed) * 1000;
    figures[`${path} incomplete`] = result.incomplete;
    if (path === "direct") continue;
    const used = cpu.get(path) ?? 0;
    figures[`${path} cpu us/token`] = (used * 1000) / tokens;
    figures[`${path} cpu share`] = used / elapsed;
    figures[`${path} tokens/cpu-s`] = tokens / (used / 1000);
    for (const percent of [50, 99]) {
      const added = (pick: (one: LoadMeasurements) => typeof gap) =>
        pick(result).percentile(percent) - pick(direct).percentile(percent);
      figures[`${path} added first p${percent} ms`] = added(
        (one) => one.firstToken,
      );
      figures[`${path} added gap p${percent} ms`] = added((one) => one.gap);
    }
  }
  return figures;
}

/** Cost of the path through one node, and through an entry node and the owner. */
export const experiment: Experiment = {
  name: "path_cost",
  summary: "Latency and CPU time that nodes add to a direct call to the engine",
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
