import { chooseEngine } from "../core/routing/route.ts";
import { createSheet, placeByDemand } from "./placement.ts";
import { createProductionRouter } from "./production_router.ts";
import type { SimulationOptions } from "./simulation.ts";
import type { Arrival, UserProfile } from "./workload.ts";

/** Standard deviation of the logarithm of the errors in the sheet; 1 corresponds to a factor of 2.7. */
export const sheetErrorDeviation = 1;

/** Routing, admission and placement as a node uses them by default, for a simulation. */
export function createDefaultPolicies(options: {
  profile: UserProfile;
  arrivals: readonly Arrival[];
  seed: number;
}): Required<Pick<SimulationOptions, "createRouter" | "prepare">> {
  const { profile, seed } = options;
  const sheet = createSheet(profile, { seed, error: sheetErrorDeviation });
  return {
    createRouter: ({ clock, region, random }) =>
      createProductionRouter({ region, clock, chooseEngine, random }),
    prepare: (simulation) =>
      placeByDemand(simulation, { ...options, sheet, startHour: 12 }),
  };
}
