import { millis } from "../../core/clock.ts";
import type { EngineLimits } from "../../core/engine/mod.ts";
import { defaultRouteCosts } from "../../core/routing/costs.ts";
import { chooseEngine } from "../../core/routing/route.ts";
import type { EngineHost } from "../engine_host.ts";
import type { Experiment, Figures } from "../experiment.ts";
import { drawBetween } from "../random.ts";
import { createRouter } from "../router.ts";
import { Simulation } from "../simulation.ts";
import { createWorkload, instrumentRepair } from "../workload.ts";

/** Requests/s; the flat popularity distribution causes continuous evictions. */
const RATE = 10;
const DURATION = 180_000;

/** Mean time between faults, in ms. */
const FAULT_PERIOD = 4_000;

/** Share of messages to an engine that are late, and the range of their delays in ms. */
const LATE_SHARE = 0.01;
const LATE_DELAY = { from: 100, to: 2_500 };

async function run(variant: string, seed: number): Promise<Figures> {
  const simulation = await Simulation.run({
    seed,
    arrivals: createWorkload(instrumentRepair, {
      seed,
      rate: RATE,
      duration: DURATION,
    }),
    regions: instrumentRepair.regions,
    limits: { fencing: variant as EngineLimits["fencing"], slots: 6 },
    engine: { reportLag: 500 },
    createRouter: ({ clock }) =>
      createRouter({ choose: chooseEngine, costs: defaultRouteCosts, clock }),
    drawDelay: (random) =>
      random() < LATE_SHARE ? drawBetween(LATE_DELAY, random) : 0.3,
    prepare: scheduleFaults,
    drainTime: 60_000,
  });
  return summarizeRun(simulation);
}

/** Schedules engine crashes and hangs, handovers, and short and long pauses of owners. */
function scheduleFaults({ clock, hosts, random }: Simulation): void {
  const faults: ((host: EngineHost) => void)[] = [
    (host) => host.model.crash(),
    (host) => host.model.silenceStreams(),
    (host) => host.handOver(),
    (host) => host.pauseOwner(drawBetween({ from: 500, to: 4_000 }, random)),
    (host) => host.pauseOwner(drawBetween({ from: 9_500, to: 14_000 }, random)),
  ];
  const injectFault = (): void => {
    const all = [...hosts.values()];
    const host = all[Math.floor(random() * all.length)] as EngineHost;
    const fault = faults[Math.floor(random() * faults.length)];
    fault?.(host);
    clock.schedule(millis(FAULT_PERIOD * (0.5 + random())), injectFault);
  };
  clock.schedule(millis(FAULT_PERIOD), injectFault);
}

function summarizeRun({ hosts, records, store }: Simulation): Figures {
  const requestedAdapters = new Map(
    records.map(({ requestId, arrival }) => [requestId, arrival.adapter]),
  );
  const figures = {
    "evictions in use": 0,
    "wrong adapters": 0,
    "answers with missing or double tokens": 0,
    "owner changes": 0,
    crashes: 0,
    loads: store.loadStartTimes.length,
    answers: 0,
    requests: records.length,
    "share answered": 0,
  };
  for (const { model, ownerChanges } of hosts.values()) {
    figures["evictions in use"] += model.unloadedInUse.length;
    figures["owner changes"] += ownerChanges;
    figures.crashes += model.crashes;
    for (const { requestId, adapter } of model.runs) {
      if (requestedAdapters.get(requestId) !== adapter)
        figures["wrong adapters"]++;
    }
  }
  for (const { whole, tokens, arrival } of records) {
    if (!whole) continue;
    figures.answers++;
    if (tokens !== arrival.tokens) {
      figures["answers with missing or double tokens"]++;
    }
  }
  figures["share answered"] = figures.answers / figures.requests;
  return figures;
}

const variants = ["checked", "ignored"] as const;

export const experiment: Experiment = {
  name: "eviction",
  summary: "Evictions during crashes, changes of owner and pauses (G1, G2)",
  variants,
  run,
  comparisons: [],
  targets: variants.flatMap((variant) =>
    [
      "evictions in use",
      "wrong adapters",
      "answers with missing or double tokens",
    ].map((figure) => ({
      figure,
      variant,
      target: { atMost: 0 },
      everyRun: true,
    })),
  ),
};
