import { defaultSessionSettings } from "../../core/lease/state.ts";
import { ClusterSimulation } from "../cluster_simulation.ts";
import type { Experiment, Figures } from "../experiment.ts";
import { createRandom } from "../random.ts";

const step = 100;
const limit = 60_000;

const sizes: Record<
  string,
  { readonly centres: number; readonly nodesPerCentre: number }
> = {
  "9 nodes": { centres: 3, nodesPerCentre: 3 },
  "60 nodes": { centres: 3, nodesPerCentre: 20 },
};

/** Starts all nodes at once and times when all know each other and every engine has an owner. */
async function run(variant: string, seed: number): Promise<Figures> {
  const size = sizes[variant] as (typeof sizes)[string];
  const count = size.centres * size.nodesPerCentre;
  const simulation = await ClusterSimulation.create({
    seed,
    ...size,
    enginesPerNode: 2,
    session: defaultSessionSettings,
    random: createRandom(seed),
    warmUp: 0,
  });
  let complete = limit;
  let owned = limit;
  while (
    simulation.clock.now() < limit &&
    (complete === limit || owned === limit)
  ) {
    await simulation.run(step);
    const now = simulation.clock.now();
    if (simulation.countComplete() === count)
      complete = Math.min(complete, now);
    const owners = simulation.nodes.flatMap(({ session }) => session.owned());
    if (new Set(owners).size === 2 * count) owned = Math.min(owned, now);
  }
  return { "all nodes known ms": complete, "all engines owned ms": owned };
}

export const experiment: Experiment = {
  name: "cold_start",
  summary:
    "Time until nodes that start at once know each other and own all engines",
  variants: Object.keys(sizes),
  run,
  comparisons: [],
};
