import { type Millis, millis } from "../../src/core/clock.ts";
import {
  type AdapterKey,
  brandString,
  type Customer,
  type EngineId,
  type NodeId,
  type Region,
} from "../../src/core/ids.ts";
import { defaultRouteCosts } from "../../src/core/routing/costs.ts";
import type {
  RouteContext,
  RouteRequest,
} from "../../src/core/routing/route.ts";
import type { EngineView } from "../../src/core/routing/view.ts";

/** Region of the entry node in routing tests. */
export const homeRegion = brandString<Region>("tatry");
/** Another region in routing tests. */
export const otherRegion = brandString<Region>("sudety");

/** Adapter key of a short name. */
export function adapterOf(name: string): AdapterKey {
  return brandString<AdapterKey>(`${name}@1`);
}

/** Engine id of a short name. */
export function engineOf(name: string): EngineId {
  return brandString<EngineId>(name);
}

/** Creates the view of an idle engine; `held` lists short adapter names. */
export function createView(
  name: string,
  {
    held = [],
    loading = [],
    ...rest
  }: Partial<Omit<EngineView, "held" | "loading">> & {
    held?: string[];
    loading?: string[];
  } = {},
): EngineView {
  return {
    engine: engineOf(name),
    region: homeRegion,
    owner: brandString<NodeId>(`owner-of-${name}`),
    state: "ok",
    slots: 8,
    batch: 4,
    queued: 0,
    running: 0,
    held: new Set(held.map(adapterOf)),
    loading: new Set(loading.map(adapterOf)),
    timeToFirstToken: millis(50),
    interTokenTime: millis(20),
    serviceTime: millis(2000),
    heardAt: millis(0),
    ...rest,
  };
}

/** Creates a request for an adapter with a deadline in 10 s. */
export function createRequest(
  name: string,
  rest: Partial<RouteRequest> = {},
): RouteRequest {
  return {
    adapter: adapterOf(name),
    customer: brandString<Customer>("firm"),
    deadlineAt: millis(10_000),
    expectedTokens: 100,
    region: homeRegion,
    tried: new Set(),
    ...rest,
  };
}

/** Creates the context of a routing decision at time zero. */
export function createContext(
  views: readonly EngineView[],
  rest: Partial<RouteContext["policies"]> & { now?: Millis } = {},
): RouteContext {
  const { now = millis(0), ...policies } = rest;
  return {
    views,
    now,
    random: () => 0,
    policies: { costs: defaultRouteCosts, ...policies },
  };
}
