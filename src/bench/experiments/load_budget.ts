import { millis } from "../../core/clock.ts";
import type { Experiment, Figures } from "../experiment.ts";
import {
  countMaxInWindow,
  type LoadBudgetScenario,
  LoadBudgetSimulation,
} from "../load_budget_simulation.ts";
import { Distribution } from "../statistics.ts";

const DURATION = 120_000;

const sizes = {
  "9 nodes, 6 owners": { nodes: 9, enginesPerNode: 1, owners: 6 },
  "610 nodes, 3050 owners": { nodes: 610, enginesPerNode: 5, owners: 3_050 },
};

/** The table is down for 8 of every 40 s, and one response in ten is lost. */
const faulty = {
  faults: {
    isDown: (now: number) => now % 40_000 > 32_000,
    lostAnswers: 0.1,
  },
  restarts: 0.1,
  pauses: 0.1,
};

const faultFree = {
  faults: { isDown: () => false, lostAnswers: 0 },
  restarts: 0,
  pauses: 0,
};

const situations = {
  "1.5 loads/s": { ...faultFree, demand: 1.5 },
  "4 loads/s": { ...faultFree, demand: 4 },
  "4 loads/s, faults": { ...faulty, demand: 4 },
};

async function run(variant: string, seed: number): Promise<Figures> {
  const [size, situation] = variant.split(": ") as [
    keyof typeof sizes,
    keyof typeof situations,
  ];
  const { nodes, ...rest } = sizes[size];
  const scenario: LoadBudgetScenario = {
    seed,
    // With 9 nodes, only 6 own an engine; the other nodes are not simulated.
    nodes: Math.min(nodes, rest.owners),
    ...rest,
    ...situations[situation],
    duration: millis(DURATION),
  };
  const result = await LoadBudgetSimulation.run(scenario);
  const stalls = Distribution.create();
  for (const stall of result.stalls) stalls.record(stall);
  return {
    "most loads in 1 s": countMaxInWindow(result.startTimes, 1_000),
    "most loads in 10 s": countMaxInWindow(result.startTimes, 10_000),
    "most loads in flight": result.peakInFlightLoads,
    "most permits held": result.peakHeldPermits,
    "loads per second": (1_000 * result.startTimes.length) / DURATION,
    "stall p50 ms": stalls.percentile(50),
    "stall p99 ms": stalls.percentile(99),
    "table reads per second": (1_000 * result.reads) / DURATION,
    "table writes per second": (1_000 * result.writes) / DURATION,
  };
}

const variants = Object.keys(sizes).flatMap((size) =>
  Object.keys(situations).map((situation) => `${size}: ${situation}`),
);

export const experiment: Experiment = {
  name: "load_budget",
  summary:
    "Loads under a load budget divided between nodes, with and without faults",
  variants,
  run,
  comparisons: [],
  targets: variants.flatMap((variant) => [
    {
      figure: "most loads in 1 s",
      variant,
      target: { atMost: 3 + 8 },
      everyRun: true,
    },
    {
      figure: "most loads in flight",
      variant,
      target: { atMost: 8 },
      everyRun: true,
    },
  ]),
};
