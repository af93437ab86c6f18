import {
  baselineEnginePolicies,
  defaultEnginePolicies,
  type EnginePolicies,
} from "../../core/engine/mod.ts";
import { defaultRouteCosts } from "../../core/routing/costs.ts";
import { chooseEngine } from "../../core/routing/route.ts";
import type { Comparison, Experiment, Figures } from "../experiment.ts";
import type { RequestRecord } from "../request_record.ts";
import { createRouter } from "../router.ts";
import { Simulation } from "../simulation.ts";
import { Distribution } from "../statistics.ts";
import {
  type Arrival,
  chainHire,
  createWorkload,
  type UserProfile,
} from "../workload.ts";

type Load = {
  readonly profile: UserProfile;
  /** Requests/s, short and long; six engines can serve about 21. */
  readonly rate: number;
};

const loads: Record<string, Load> = {
  /** All adapters fit into the slots, so that no request waits for a load. */
  warm: { profile: { ...chainHire, adapters: 12 }, rate: 17 },
  today: { profile: chainHire, rate: 12 },
  /** Cold adapters use most of the 3 loads/s of the weight store. */
  busy: { profile: chainHire, rate: 15 },
  saturated: { profile: chainHire, rate: 25 },
};

const kinds: Record<string, { policies: EnginePolicies; long: boolean }> = {
  "without long": { policies: defaultEnginePolicies, long: false },
  "with long": { policies: defaultEnginePolicies, long: true },
  "fcfs with long": { policies: baselineEnginePolicies, long: true },
};

const DURATION = 150_000;
const WARM_UP = 40_000;

/** Runs a variant named `LOAD, KIND`. */
async function run(variant: string, seed: number): Promise<Figures> {
  const [loadName, kindName] = variant.split(", ") as [string, string];
  const { profile, rate } = loads[loadName] as Load;
  const { policies, long } = kinds[kindName] as (typeof kinds)[string];
  const arrivals = createWorkload(profile, { seed, rate, duration: DURATION });
  const { records } = await Simulation.run({
    seed,
    arrivals: long ? arrivals : arrivals.filter(isShort),
    regions: profile.regions,
    policies,
    createRouter: ({ clock }) =>
      createRouter({ choose: chooseEngine, costs: defaultRouteCosts, clock }),
    drainTime: 0,
  });
  return summarizeRecords(records);
}

function isShort({ kind }: Arrival): boolean {
  return !kind.long;
}

function summarizeRecords(records: readonly RequestRecord[]): Figures {
  const short = records.filter(
    ({ arrival }) => isShort(arrival) && arrival.at >= WARM_UP,
  );
  // Includes long requests from the warm-up, since they are still being served later.
  const long = records.filter(({ arrival }) => !isShort(arrival));
  const firstTokens = Distribution.create();
  for (const { firstToken } of short) {
    if (firstToken !== undefined) firstTokens.record(firstToken);
  }
  const longTokens = long.reduce((sum, { tokens }) => sum + tokens, 0);
  return {
    "short first token p50 ms": firstTokens.percentile(50),
    "short first token p99 ms": firstTokens.percentile(99),
    "short refused share":
      short.filter(({ refusal }) => refusal !== undefined).length /
      short.length,
    "long tokens per second": (1_000 * longTokens) / DURATION,
  };
}

function compareLoad(load: string): Comparison[] {
  return [
    {
      figure: "short first token p99 ms",
      variant: `${load}, with long`,
      baseline: `${load}, without long`,
      target: { atMost: 1.5 },
    },
    {
      figure: "long tokens per second",
      variant: `${load}, with long`,
      baseline: `${load}, fcfs with long`,
      target: { atLeast: 0.85 },
    },
  ];
}

export const experiment: Experiment = {
  name: "short_long",
  summary: "Short work queued behind long work (M4)",
  variants: Object.keys(loads).flatMap((load) =>
    Object.keys(kinds).map((kind) => `${load}, ${kind}`),
  ),
  run,
  comparisons: Object.keys(loads).flatMap(compareLoad),
};
