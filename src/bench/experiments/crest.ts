import { defaultRouteCosts } from "../../core/routing/costs.ts";
import { chooseLeastLoaded } from "../../core/routing/route.ts";
import { createDefaultPolicies } from "../default_policies.ts";
import type { Experiment, Figures } from "../experiment.ts";
import { findMinShareRatio } from "../fairness.ts";
import { createRandom } from "../random.ts";
import type { RequestRecord } from "../request_record.ts";
import { createRouter } from "../router.ts";
import { Simulation } from "../simulation.ts";
import { type Arrival, chainHire, createWorkload } from "../workload.ts";

/** Requests/s that six engines can serve. */
const CAPACITY = 21;
/** Offered load as a multiple of the capacity. */
const LOAD_FACTORS = [0.8, 1, 1.5, 2, 3];
const DURATION = 90_000;
const WARM_UP = 30_000;
/** Share of requests reassigned to the largest of the four customers. */
const LARGEST_CUSTOMER_SHARE = 0.7;
/** Minimum share of the offered tokens for an adapter to count in the fairness figure. */
const MIN_DEMAND_SHARE = 0.01;

async function run(variant: string, seed: number): Promise<Figures> {
  const [policy, load] = variant.split(", ") as [string, string];
  const rate = CAPACITY * Number.parseFloat(load);
  const arrivals = skewCustomers(
    createWorkload(chainHire, { seed, rate, duration: DURATION }),
    seed,
  );
  const defaultPolicies = createDefaultPolicies({
    profile: chainHire,
    arrivals,
    seed,
  });
  const { records } = await Simulation.run({
    seed,
    arrivals,
    regions: chainHire.regions,
    drainTime: 60_000,
    ...(policy === "default"
      ? defaultPolicies
      : {
          createRouter: ({ clock }) =>
            createRouter({
              choose: chooseLeastLoaded,
              costs: defaultRouteCosts,
              clock,
            }),
        }),
  });
  return summarizeRecords(
    records.filter(({ arrival }) => arrival.at >= WARM_UP),
  );
}

function skewCustomers(arrivals: Arrival[], seed: number): Arrival[] {
  const random = createRandom(seed ^ 0xc057);
  const [largest] = chainHire.customers;
  return arrivals.map((arrival) =>
    largest !== undefined && random() < LARGEST_CUSTOMER_SHARE
      ? { ...arrival, customer: largest }
      : arrival,
  );
}

function summarizeRecords(records: readonly RequestRecord[]): Figures {
  const seconds = (DURATION - WARM_UP) / 1_000;
  const good = records.filter(isGood);
  const refused = records.filter(({ refusal }) => refusal !== undefined);
  return {
    "good tokens per second": sumTokens(good) / seconds,
    "good answers per second": good.length / seconds,
    "short good answers per second":
      good.filter(({ arrival }) => !arrival.kind.long).length / seconds,
    "share refused": refused.length / records.length,
    "share admitted but late":
      1 - (good.length + refused.length) / records.length,
    "least fair share, customers": findMinShareRatio(
      sumBy(records, ({ customer }) => customer),
      sumBy(good, ({ customer }) => customer),
    ),
    "least fair share, adapters": findMinAdapterShare(records, good),
    "refused as not run but run": refused.filter(
      ({ refusal, tokens }) => refusal?.outcome === "not-run" && tokens > 0,
    ).length,
  };
}

/** Whether the whole response arrived, with its first token before the deadline. */
function isGood({ whole, firstToken, arrival }: RequestRecord): boolean {
  return whole && (firstToken ?? Infinity) <= arrival.kind.deadline;
}

/** Finds the least fair share among adapters above the minimum demand; for rarer ones the weight store is the bottleneck, not the engines. */
function findMinAdapterShare(
  records: readonly RequestRecord[],
  good: readonly RequestRecord[],
): number {
  const offered = sumBy(records, ({ adapter }) => adapter);
  const total = sumTokens(records);
  for (const [adapter, tokens] of offered)
    if (tokens < MIN_DEMAND_SHARE * total) offered.delete(adapter);
  const served = sumBy(good, ({ adapter }) => adapter);
  for (const adapter of served.keys())
    if (!offered.has(adapter)) served.delete(adapter);
  return findMinShareRatio(offered, served);
}

function sumBy(
  records: readonly RequestRecord[],
  nameOf: (arrival: Arrival) => string,
): Map<string, number> {
  const sums = new Map<string, number>();
  for (const { arrival } of records) {
    const name = nameOf(arrival);
    sums.set(name, (sums.get(name) ?? 0) + arrival.tokens);
  }
  return sums;
}

function sumTokens(records: readonly RequestRecord[]): number {
  return records.reduce((sum, { arrival }) => sum + arrival.tokens, 0);
}

export const experiment: Experiment = {
  name: "crest",
  summary: "Goodput and fair shares at up to 3 times capacity (M3)",
  variants: [
    ...LOAD_FACTORS.map((load) => `default, ${load}x`),
    "least loaded, 1x",
    "least loaded, 3x",
  ],
  run,
  comparisons: LOAD_FACTORS.slice(0, -1).map((load) => ({
    figure: "good tokens per second",
    variant: "default, 3x",
    baseline: `default, ${load}x`,
    target: { atLeast: 0.95 },
  })),
  targets: [
    ...["least fair share, customers", "least fair share, adapters"].map(
      (figure) => ({
        figure,
        variant: "default, 3x",
        target: { atLeast: 0.5 },
      }),
    ),
    {
      figure: "refused as not run but run",
      variant: "default, 3x",
      target: { atMost: 0 },
      everyRun: true,
    },
  ],
};
