import { defaultSessionSettings } from "../../core/lease/state.ts";
import { ClusterSimulation } from "../cluster_simulation.ts";
import type { Experiment, Figures } from "../experiment.ts";
import { createRandom } from "../random.ts";

/** Interval between checks of the nodes, in ms. */
const samplingInterval = 100;
/** Maximum duration of a run, in ms; reported when a state is not reached. */
const timeout = 60_000;

const sizes: Record<
  string,
  { readonly centres: number; readonly nodesPerCentre: number }
> = {
  "9 nodes": { centres: 3, nodesPerCentre: 3 },
  "60 nodes": { centres: 3, nodesPerCentre: 20 },
};

/** Starts all nodes at once and measures when membership is complete and every engine has an owner. */
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
  let completeAt = timeout;
  let ownedAt = timeout;
  while (
    simulation.clock.now() < timeout &&
    (completeAt === timeout || ownedAt === timeout)
  ) {
    await simulation.run(samplingInterval);
    const now = simulation.clock.now();
    if (simulation.countComplete() === count)
      completeAt = Math.min(completeAt, now);
    const owners = simulation.nodes.flatMap(({ session }) => session.owned());
    if (new Set(owners).size === 2 * count) ownedAt = Math.min(ownedAt, now);
  }
  return {
    "all nodes known ms": completeAt,
    "all engines owned ms": ownedAt,
  };
}

export const experiment: Experiment = {
  name: "cold_start",
  summary:
    "Time until nodes that start at once discover each other and own all engines",
  variants: Object.keys(sizes),
  run,
  comparisons: [],
};
