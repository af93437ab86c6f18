import { Right } from "purify-ts";
import { type Clock, type Millis, millis } from "../core/clock.ts";
import type { EngineId } from "../core/ids.ts";
import type { RouteCosts } from "../core/routing/costs.ts";
import type { ChooseEngine, RoutePolicies } from "../core/routing/route.ts";
import type { Router } from "./simulated_router.ts";

/** Time for which a router keeps track of the attempts it sent, in ms. */
const SENT_HISTORY = 2_000;

/** Options of a router that wraps a routing function. */
export type RouterOptions = {
  readonly choose: ChooseEngine;
  readonly costs: RouteCosts;
  readonly clock: Clock;
  readonly policies?: Partial<RoutePolicies>;
};

/** Creates a router for one entry node that counts its own attempts per engine. */
export function createRouter({
  choose,
  costs,
  clock,
  policies = {},
}: RouterOptions): Router {
  const sent = new Map<EngineId, { at: Millis; change: number }[]>();
  const recordChange = (engine: EngineId, change: number): void => {
    const now = clock.now();
    const recent = (sent.get(engine) ?? []).filter(
      ({ at }) => at > now - SENT_HISTORY,
    );
    recent.push({ at: now, change });
    sent.set(engine, recent);
  };
  const sentSince = (engine: EngineId, since: Millis): number =>
    (sent.get(engine) ?? [])
      .filter(({ at }) => at >= since)
      .reduce((sum, { change }) => sum + change, 0);
  return {
    choose: (request, options) =>
      choose(request, {
        ...options,
        policies: { costs, sentSince, ...policies },
      }),
    onSubmit: (engine) => recordChange(engine, 1),
    onEnd: (engine) => recordChange(engine, -1),
  };
}

/** Creates a router that sends all requests to one engine. */
export function createFixedRouter(engine: EngineId): Router {
  return {
    choose: () => Right({ engine, expectedWait: millis(0), needsLoad: false }),
  };
}
