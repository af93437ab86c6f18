import { defaultSessionSettings } from "../../core/lease/state.ts";
import { type ClusterNode, ClusterSimulation } from "../cluster_simulation.ts";
import type { Experiment, Figures } from "../experiment.ts";
import { createRandom } from "../random.ts";
import { Distribution } from "../statistics.ts";

const changeCount = 100;
/** Maximum time between the end of one change and the start of the next, in ms. */
const changeInterval = 6_000;
/** Interval between checks of the nodes, in ms. */
const samplingInterval = 5;
/** Maximum time to wait for a change, in ms; recorded when it is exceeded. */
const timeout = 15_000;

/** Applies changes sequentially and measures when each is in force on all nodes. */
async function run(variant: string, seed: number): Promise<Figures> {
  const random = createRandom(seed);
  const simulation = await ClusterSimulation.create({
    seed,
    centres: 3,
    nodesPerCentre: 3,
    enginesPerNode: 1,
    session: defaultSessionSettings,
    random,
  });
  const perNode = Distribution.create();
  const everywhere = Distribution.create();
  for (let base = 0; base < changeCount; base++) {
    const pick = () =>
      simulation.nodes[Math.floor(random() * 9)] as ClusterNode;
    if (variant === "faults") {
      simulation.table.lostAnswers = 1;
      pick().silent = true;
    }
    await measureChange(simulation, {
      node: pick(),
      base,
      perNode,
      everywhere,
    });
    await simulation.run(changeInterval * random());
  }
  return {
    "median per node ms": perNode.percentile(50),
    "99th percentile per node ms": perNode.percentile(99),
    "median everywhere ms": everywhere.percentile(50),
    "worst everywhere ms": everywhere.percentile(100),
  };
}

async function measureChange(
  simulation: ClusterSimulation,
  change: {
    readonly node: ClusterNode;
    readonly base: number;
    readonly perNode: Distribution;
    readonly everywhere: Distribution;
  },
): Promise<void> {
  const { node, base } = change;
  const adapters = [{ name: "chains", versions: [`v${base}`] }];
  const sheet = { adapters };
  const since = simulation.clock.now();
  const attempt = `attempt-${base}`;
  void node.configuration.apply({ base, sheet, operator: "bench", attempt });
  const waiting = new Set(simulation.nodes);
  while (waiting.size > 0) {
    await simulation.run(samplingInterval);
    const elapsed = simulation.clock.now() - since;
    for (const waitingNode of waiting) {
      const revision = waitingNode.configuration.revision() ?? 0;
      if (revision <= base && elapsed < timeout) continue;
      change.perNode.record(elapsed);
      waiting.delete(waitingNode);
    }
  }
  change.everywhere.record(simulation.clock.now() - since);
}

export const experiment: Experiment = {
  name: "propagation",
  summary:
    "Time until a configuration is in force on nine nodes of three regions",
  variants: ["plain", "faults"],
  run,
  comparisons: [
    {
      figure: "99th percentile per node ms",
      variant: "faults",
      baseline: "plain",
    },
  ],
  targets: [
    {
      figure: "99th percentile per node ms",
      variant: "faults",
      target: { atMost: 3_000 },
    },
  ],
};
