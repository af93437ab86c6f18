import type { AdapterKey, EngineId } from "../../core/ids.ts";
import { defaultRouteCosts } from "../../core/routing/costs.ts";
import {
  chooseFromSheet,
  chooseLeastLoaded,
} from "../../core/routing/route.ts";
import {
  createDefaultPolicies,
  sheetErrorDeviation,
} from "../default_policies.ts";
import type { Experiment, Figures } from "../experiment.ts";
import { createSheet, placeFromSheet } from "../placement.ts";
import type { RequestRecord } from "../request_record.ts";
import { createRouter } from "../router.ts";
import { Simulation, type SimulationOptions } from "../simulation.ts";
import { Distribution } from "../statistics.ts";
import {
  chainHire,
  createWorkload,
  instrumentRepair,
  type UserProfile,
} from "../workload.ts";

/** Requests/s; six engines can serve about 21 of chain hire. */
const users: Record<string, { profile: UserProfile; rate: number }> = {
  "chain hire": { profile: chainHire, rate: 12 },
  "instrument repair": { profile: instrumentRepair, rate: 8 },
};
const policies = ["least loaded", "static sheet", "default"];

const DURATION = 180_000;
const WARM_UP = 30_000;

async function run(variant: string, seed: number): Promise<Figures> {
  const [user, policy] = variant.split(", ") as [string, string];
  const { profile, rate } = users[user] as (typeof users)[string];
  const arrivals = createWorkload(profile, { seed, rate, duration: DURATION });
  const simulation = await Simulation.run({
    seed,
    arrivals,
    regions: profile.regions,
    drainTime: 10_000,
    ...createPolicy(policy, { profile, arrivals, seed }),
  });
  const measured = simulation.records.filter(
    ({ arrival }) => arrival.at >= WARM_UP,
  );
  return {
    ...summarizeRecords(measured),
    "loads per second":
      simulation.store.loadStartTimes.filter((at) => at >= WARM_UP).length /
      ((DURATION - WARM_UP) / 1_000),
  };
}

type PolicyInputs = {
  profile: UserProfile;
  arrivals: SimulationOptions["arrivals"];
  seed: number;
};

function createPolicy(
  policy: string,
  { profile, arrivals, seed }: PolicyInputs,
): Pick<SimulationOptions, "createRouter" | "prepare"> {
  const costs = defaultRouteCosts;
  const sheet = createSheet(profile, { seed, error: sheetErrorDeviation });
  if (policy === "least loaded")
    return {
      createRouter: ({ clock }) =>
        createRouter({ choose: chooseLeastLoaded, costs, clock }),
    };
  if (policy === "static sheet") {
    let homes = new Map<AdapterKey, EngineId[]>();
    const sheetHomes = (adapter: AdapterKey) => homes.get(adapter) ?? [];
    return {
      createRouter: ({ clock }) =>
        createRouter({
          choose: chooseFromSheet,
          costs,
          clock,
          policies: { sheetHomes },
        }),
      prepare: (simulation) => {
        homes = placeFromSheet(simulation, { sheet, profile });
      },
    };
  }
  return createDefaultPolicies({ profile, arrivals, seed });
}

function summarizeRecords(records: readonly RequestRecord[]): Figures {
  const cold = records.filter(({ warm }) => warm === false);
  // Long requests also wait for batch capacity, which does not count as a stall.
  const short = cold.filter(({ arrival }) => !arrival.kind.long);
  const stalls = Distribution.create();
  const all = Distribution.create();
  for (const { firstToken } of short)
    if (firstToken !== undefined) stalls.record(firstToken);
  for (const { firstToken } of records)
    if (firstToken !== undefined) all.record(firstToken);
  const refused = records.filter(({ refusal }) => refusal !== undefined);
  return {
    "share that waits for a load": cold.length / records.length,
    "short cold first token p50 ms": stalls.percentile(50),
    "short cold first token p99 ms": stalls.percentile(99),
    "first token p50 ms": all.percentile(50),
    "first token p99 ms": all.percentile(99),
    "share refused": refused.length / records.length,
  };
}

export const experiment: Experiment = {
  name: "cold_stalls",
  summary: "Requests that wait for an adapter to load (M1)",
  variants: Object.keys(users).flatMap((user) =>
    policies.map((policy) => `${user}, ${policy}`),
  ),
  run,
  comparisons: Object.keys(users).flatMap((user) => [
    {
      figure: "share that waits for a load",
      variant: `${user}, least loaded`,
      baseline: `${user}, default`,
      target: { atLeast: 4 },
    },
    {
      figure: "share that waits for a load",
      variant: `${user}, static sheet`,
      baseline: `${user}, default`,
      target: { atLeast: 2 },
    },
  ]),
  targets: Object.keys(users).map((user) => ({
    figure: "short cold first token p99 ms",
    variant: `${user}, default`,
    target: { atMost: 1_000 },
  })),
};
