import type { Clock } from "../core/clock.ts";
import type { Region } from "../core/ids.ts";
import type { ChooseEngine } from "../core/routing/route.ts";
import type { EngineView } from "../core/routing/view.ts";
import { RoutingManager } from "../node/routing_manager.ts";
import type { Router } from "./simulated_router.ts";

/** Options of a router that wraps the `RoutingManager` of a node. */
export type ProductionRouterOptions = {
  readonly region: Region;
  readonly clock: Clock;
  readonly chooseEngine: ChooseEngine;
  readonly random: () => number;
};

/** Creates a router for one entry node that uses the `RoutingManager` of a real node. */
export function createProductionRouter(
  options: ProductionRouterOptions,
): Router {
  let views: readonly EngineView[] = [];
  const manager = RoutingManager.create({ ...options, views: () => views });
  return {
    choose: (_request, { views: currentViews, work, history }) => {
      views = currentViews;
      if (history.tried.length === 0) manager.deposit(work.expectedTokens);
      return manager.choose(work, history);
    },
    hedge: (_arrival, { history, waited, work, views: currentViews }) => {
      views = currentViews;
      return manager.hedge(work, { history, waited });
    },
    observe: (work) => manager.observe(work),
  };
}
