import type { CatalogEntry } from "../../core/config/catalog.ts";
import { chooseEngine } from "../../core/routing/route.ts";
import type { Experiment, Figures } from "../experiment.ts";
import { createSheet, placeByDemand } from "../placement.ts";
import { createProductionRouter } from "../production_router.ts";
import { createRandom } from "../random.ts";
import type { RequestRecord } from "../request_record.ts";
import { Simulation } from "../simulation.ts";
import { Distribution } from "../statistics.ts";
import {
  type Arrival,
  chainHire,
  createAdapterKey,
  createWorkload,
} from "../workload.ts";

/** Requests/s; six engines can serve about 21. */
const RATE = 10;
const DURATION = 150_000;
const WARM_UP = 30_000;

/** Busy hours in the sheet: one half of the adapters before 17:00, the other half after. */
const AFTERNOON = [{ from: 9, to: 17 }];
const EVENING = [{ from: 17, to: 24 }];
/** Hour at the start of the run; the evening demand is 40 minutes late, so requests are still for afternoon adapters. */
const START_HOUR = 17.3;

/** Time of the step in ms, and the ranks of the adapters that get half of the demand from then on. */
const STEP_TIME = 90_000;
const STEP_RANKS = { from: 1_000, count: 8 };

const situations = ["sheet right", "sheet late", "step"];

async function run(situation: string, seed: number): Promise<Figures> {
  const arrivals = createArrivals(situation, seed);
  const isEvening = (rank: number) => rank % 2 === 1;
  const sheet = createSheet(chainHire, {
    seed,
    error: 1,
    busyOf: (rank): CatalogEntry["busy"] => {
      if (situation === "step") return [{ from: 0, to: 24 }];
      return isEvening(rank) ? EVENING : AFTERNOON;
    },
  });
  const startHour = situation === "sheet right" ? 15 : START_HOUR;
  const { records } = await Simulation.run({
    seed,
    arrivals,
    regions: chainHire.regions,
    createRouter: ({ clock, region, random }) =>
      createProductionRouter({ region, clock, chooseEngine, random }),
    prepare: (simulation) =>
      placeByDemand(simulation, {
        arrivals,
        profile: chainHire,
        sheet,
        startHour,
      }),
  });
  return {
    "cold share, first 10 s": computeColdShare(records, {
      from: 0,
      to: 10_000,
    }),
    "cold share, before step": computeColdShare(records, {
      from: WARM_UP,
      to: STEP_TIME,
    }),
    "cold share, 0 to 3 s after": computeColdShare(records, {
      from: STEP_TIME,
      to: STEP_TIME + 3_000,
    }),
    "cold share, 3 to 10 s after": computeColdShare(records, {
      from: STEP_TIME + 3_000,
      to: STEP_TIME + 10_000,
    }),
    "cold share, 10 to 60 s after": computeColdShare(records, {
      from: STEP_TIME + 10_000,
      to: DURATION,
    }),
    "short first token p99 ms, 3 to 60 s after": computeFirstTokenP99(records),
  };
}

function createArrivals(situation: string, seed: number): Arrival[] {
  const random = createRandom(seed ^ 0x57e9);
  const arrivals = createWorkload(chainHire, {
    seed,
    rate: RATE,
    duration: DURATION,
  });
  if (situation !== "step") {
    // Only afternoon adapters (even ranks) are in demand.
    return arrivals.map((arrival) => {
      const rank = parseRank(arrival);
      return { ...arrival, adapter: createAdapterKey(rank - (rank % 2)) };
    });
  }
  return arrivals.map((arrival) => {
    if (arrival.at < STEP_TIME || random() < 0.5) return arrival;
    const rank = STEP_RANKS.from + Math.floor(random() * STEP_RANKS.count);
    return { ...arrival, adapter: createAdapterKey(rank) };
  });
}

function parseRank({ adapter }: Arrival): number {
  return Number.parseInt(adapter.slice("adapter-".length), 10);
}

function computeColdShare(
  records: readonly RequestRecord[],
  { from, to }: { from: number; to: number },
): number {
  const window = records.filter(
    ({ arrival }) => arrival.at >= from && arrival.at < to,
  );
  return window.filter(({ warm }) => warm === false).length / window.length;
}

function computeFirstTokenP99(records: readonly RequestRecord[]): number {
  const first = Distribution.create();
  for (const { arrival, firstToken } of records)
    if (
      arrival.at >= STEP_TIME + 3_000 &&
      !arrival.kind.long &&
      firstToken !== undefined
    )
      first.record(firstToken);
  return first.percentile(99);
}

export const experiment: Experiment = {
  name: "demand_shift",
  summary:
    "A sheet that is 40 minutes ahead of the demand, and a step in demand",
  variants: situations,
  run,
  comparisons: [
    {
      figure: "cold share, before step",
      variant: "sheet late",
      baseline: "sheet right",
    },
    {
      figure: "cold share, 10 to 60 s after",
      variant: "step",
      baseline: "sheet right",
    },
  ],
};
