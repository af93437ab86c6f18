import { millis } from "../../core/clock.ts";
import { defaultRouteCosts } from "../../core/routing/costs.ts";
import { chooseLeastLoaded } from "../../core/routing/route.ts";
import { createDefaultPolicies } from "../default_policies.ts";
import type { EngineHost } from "../engine_host.ts";
import type { Experiment, Figures } from "../experiment.ts";
import { drawBetween } from "../random.ts";
import { createRouter } from "../router.ts";
import { Simulation } from "../simulation.ts";
import { Distribution } from "../statistics.ts";
import { chainHire, createWorkload } from "../workload.ts";

/** All adapters fit into the slots, so that no request waits for a load. */
const profile = { ...chainHire, adapters: 12 };
/** Requests/s; six engines can serve about 21. */
const RATE = 10;
const DURATION = 180_000;
const WARM_UP = 30_000;

/** Factor by which a slow engine is slower, and for how long in ms. */
const SLOWDOWN = 5;
const SLOW_DURATION = { from: 2_000, to: 10_000 };
/** Time between the end of one slowdown and the start of the next, in ms. */
const SLOWDOWN_GAP = 1_000;

async function run(variant: string, seed: number): Promise<Figures> {
  const [policy, situation] = variant.split(", ") as [string, string];
  const arrivals = createWorkload(profile, {
    seed,
    rate: RATE,
    duration: DURATION,
  });
  const defaultPolicies = createDefaultPolicies({ profile, arrivals, seed });
  const simulation = await Simulation.run({
    seed,
    arrivals,
    regions: profile.regions,
    createRouter:
      policy === "default"
        ? defaultPolicies.createRouter
        : ({ clock }) =>
            createRouter({
              choose: chooseLeastLoaded,
              costs: defaultRouteCosts,
              clock,
            }),
    prepare: (simulation) => {
      if (policy === "default") defaultPolicies.prepare(simulation);
      if (situation === "one slow") scheduleSlowdowns(simulation);
    },
  });
  return summarizeRun(simulation);
}

/** Slows down one randomly chosen engine at a time. */
function scheduleSlowdowns({ clock, hosts, random }: Simulation): void {
  const all = [...hosts.values()];
  const next = (): void => {
    const host = all[Math.floor(random() * all.length)] as EngineHost;
    const time = drawBetween(SLOW_DURATION, random);
    host.model.batch.slowdown = SLOWDOWN;
    clock.schedule(millis(time), () => {
      host.model.batch.slowdown = 1;
      clock.schedule(millis(SLOWDOWN_GAP), next);
    });
  };
  clock.schedule(millis(WARM_UP), next);
}

function summarizeRun({ records, hosts }: Simulation): Figures {
  const first = Distribution.create();
  const whole = Distribution.create();
  let delivered = 0;
  for (const record of records) {
    delivered += record.tokens;
    const { arrival, firstToken, endedAt } = record;
    if (arrival.at < WARM_UP || arrival.kind.long) continue;
    if (firstToken !== undefined) first.record(firstToken);
    if (endedAt !== undefined && record.whole)
      whole.record(endedAt - arrival.at);
  }
  let generated = 0;
  for (const { model } of hosts.values()) generated += model.batch.tokens;
  const refused = records.filter(({ refusal }) => refusal !== undefined);
  return {
    "short first token p50 ms": first.percentile(50),
    "short first token p99 ms": first.percentile(99),
    "short whole answer p99 ms": whole.percentile(99),
    "extra tokens": generated / delivered - 1,
    "share refused": refused.length / records.length,
  };
}

function compare(policy: string, target: { atMost: number } | undefined) {
  return ["short first token p99 ms", "short whole answer p99 ms"].map(
    (figure) => ({
      figure,
      variant: `${policy}, one slow`,
      baseline: `${policy}, none slow`,
      ...(target === undefined ? {} : { target }),
    }),
  );
}

export const experiment: Experiment = {
  name: "stragglers",
  summary: "Latency while one engine in six is slow (M5)",
  variants: ["default", "least loaded"].flatMap((policy) =>
    ["none slow", "one slow"].map((situation) => `${policy}, ${situation}`),
  ),
  run,
  comparisons: [
    ...compare("default", { atMost: 1.5 }),
    ...compare("least loaded", undefined),
  ],
  targets: [
    {
      figure: "extra tokens",
      variant: "default, one slow",
      target: { atMost: 0.05 },
    },
  ],
};
