import type { Clock } from "../core/clock.ts";
import type { Region } from "../core/ids.ts";
import type { ChooseEngine } from "../core/routing/route.ts";
import type { EngineView } from "../core/routing/view.ts";
import { RoutingManager } from "../node/routing_manager.ts";
import type { Router } from "./simulation.ts";

/** Options of a router around the product's route desk. */
export type ProductionRouterOptions = {
  readonly region: Region;
  readonly clock: Clock;
  readonly chooseEngine: ChooseEngine;
  readonly random: () => number;
};

/** Router of one entry node that uses the route desk of the product. */
export function createProductionRouter(
  options: ProductionRouterOptions,
): Router {
  let views: readonly EngineView[] = [];
  const desk = RoutingManager.create({ ...options, views: () => views });
  return {
    choose: (_request, { views: heard, work, history }) => {
      views = heard;
      if (history.tried.length === 0) desk.deposit(work.expectedTokens);
      return desk.choose(work, history);
    },
    hedge: (_arrival, { history, waited, work, views: heard }) => {
      views = heard;
      return desk.hedge(work, { history, waited });
    },
    observe: (work) => desk.observe(work),
  };
}
