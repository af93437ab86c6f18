import { Right } from "purify-ts";
import { type Clock, type Millis, millis } from "../core/clock.ts";
import type { EngineId } from "../core/ids.ts";
import type { RouteCosts } from "../core/routing/costs.ts";
import type { ChooseEngine, RoutePolicies } from "../core/routing/route.ts";
import type { Router } from "./simulation.ts";

/** Time for which a router remembers what it sent, in ms. */
const MEMORY = 2_000;

/** Options of a router around a routing function. */
export type RouterOptions = {
  readonly choose: ChooseEngine;
  readonly costs: RouteCosts;
  readonly clock: Clock;
  readonly policies?: Partial<RoutePolicies>;
};

/** Router of one entry node that counts what it sent itself. */
export function createRouter({
  choose,
  costs,
  clock,
  policies = {},
}: RouterOptions): Router {
  const sent = new Map<EngineId, { at: Millis; change: number }[]>();
  const note = (engine: EngineId, change: number): void => {
    const now = clock.now();
    const kept = (sent.get(engine) ?? []).filter(({ at }) => at > now - MEMORY);
    kept.push({ at: now, change });
    sent.set(engine, kept);
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
    onSubmit: (engine) => note(engine, 1),
    onEnd: (engine) => note(engine, -1),
  };
}

/** Router that sends everything to one engine. */
export function createFixedRouter(engine: EngineId): Router {
  return {
    choose: () => Right({ engine, expectedWait: millis(0), needsLoad: false }),
  };
}
