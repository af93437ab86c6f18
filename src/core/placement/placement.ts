import type { Millis } from "../clock.ts";
import type { Catalog } from "../config/catalog.ts";
import type { Decide, Decision } from "../decision.ts";
import {
  type AdapterKey,
  type EngineId,
  type NodeId,
  parseAdapterKey,
  type Region,
} from "../ids.ts";
import {
  countCopies,
  HomeCache,
  type PlacementEngine,
  placeAdapters,
} from "./copies.ts";
import {
  addDemand,
  coveredSeconds,
  createDemand,
  type Demand,
  estimateRate,
  listRates,
} from "./demand.ts";
import {
  createForecast,
  type Forecast,
  learnDrift,
  listExpected,
} from "./forecast.ts";
import { selectHomes } from "./rendezvous.ts";

/** Event that the placement of a node handles. */
export type PlacementEvent =
  /** Engines that this node places adapters on, which are those of its region. */
  | { readonly type: "engines"; readonly engines: readonly PlacementEngine[] }
  | { readonly type: "catalog"; readonly catalog: Catalog }
  /** A request arrived at this node; `hour` is in the local time of the sheet. */
  | {
      readonly type: "request-seen";
      readonly adapter: AdapterKey;
      readonly hour: number;
    }
  /** Request rates by adapter that another node of the region observed, in requests a second. */
  | {
      readonly type: "demand-received";
      readonly from: NodeId;
      readonly rates: readonly (readonly [AdapterKey, number])[];
    }
  /** Updates the placement; sent about once a second. */
  | {
      readonly type: "tick";
      readonly hour: number;
      readonly otherRegions?: OtherRegions;
    };

/** Adapters and demand of the other regions. */
export type OtherRegions = {
  readonly region: Region;
  /** All regions, this one included. */
  readonly regions: readonly Region[];
  readonly held: ReadonlySet<AdapterKey>;
  /** Request rates that the other regions observed, in requests a second. */
  readonly rates: ReadonlyMap<AdapterKey, number>;
};

/** Adapter versions that an engine should hold, most wanted first; sent when they change. */
export type PlacementCommand = {
  readonly type: "want";
  readonly engine: EngineId;
  readonly adapters: readonly AdapterKey[];
};

type ReceivedDemand = {
  readonly at: Millis;
  readonly rates: readonly (readonly [AdapterKey, number])[];
};

/** State of the placement; updated in place, since its maps are large. */
export type PlacementState = {
  engines: readonly PlacementEngine[];
  readonly demand: Demand;
  readonly receivedDemand: Map<NodeId, ReceivedDemand>;
  forecast: Forecast;
  copies: ReadonlyMap<AdapterKey, number>;
  readonly homes: HomeCache;
  readonly wanted: Map<EngineId, readonly AdapterKey[]>;
};

/** Time after which demand received from a node is dropped, in ms. */
const receivedDemandLifetime = 10_000;
/** Maximum number of nodes whose demand is tracked. */
const receivedDemandLimit = 64;
/** Number of adapters of the sheet that are considered per unit of engine capacity. */
const sheetCandidateFactor = 4;
/** Minimum total rate that the shares of the sheet are applied to, in requests a second, so that adapters are placed before the first request. */
const minForecastRate = 1;

/** Value of a local copy of an adapter that another region holds, relative to one that no region holds: it saves extra delay and traffic rather than a load. */
const remoteCopyValue = 0.25;
/** Factor on the value of adapters that are already placed, so that placements are stable. */
const retentionFactor = 2;
/** Rate below which adapters rank as equal, in requests a second. */
const minRate = 1e-6;

/** Creates the state of a node that has received no request. */
export function createPlacementState(now: Millis): PlacementState {
  return {
    engines: [],
    demand: createDemand(now),
    receivedDemand: new Map(),
    forecast: createForecast(undefined),
    copies: new Map(),
    homes: HomeCache.create(),
    wanted: new Map(),
  };
}

/** Decides which adapter versions each engine should hold. */
export const decidePlacement: Decide<
  PlacementState,
  PlacementEvent,
  PlacementCommand
> = (state, event, now) => {
  switch (event.type) {
    case "engines":
      // The cached homes stay valid while the engines are the same.
      if (!isSameSet(state.engines, event.engines)) {
        state.engines = event.engines;
        state.homes.setEngines(event.engines);
      }
      return { state, commands: [] };
    case "catalog":
      state.forecast = createForecast(event.catalog, state.forecast);
      return { state, commands: [] };
    case "request-seen":
      addDemand(state.demand, { adapter: event.adapter, now });
      learnDrift(state.forecast, {
        entry: state.forecast.catalog?.adapters.get(
          parseAdapterKey(event.adapter).name,
        ),
        hour: event.hour,
      });
      return { state, commands: [] };
    case "demand-received":
      if (
        state.receivedDemand.has(event.from) ||
        state.receivedDemand.size < receivedDemandLimit
      )
        state.receivedDemand.set(event.from, { at: now, rates: event.rates });
      return { state, commands: [] };
    case "tick":
      return updateWanted(state, { ...event, now });
  }
};

function updateWanted(
  state: PlacementState,
  options: { hour: number; now: Millis; otherRegions?: OtherRegions },
): Decision<PlacementState, PlacementCommand> {
  const rates = blendRates(state, options);
  const total = [...rates.values()].reduce((sum, rate) => sum + rate, 0);
  const engines = state.engines.length;
  const wanted = new Set([...state.wanted.values()].flat());
  const ranked = rankRates(rates, {
    otherRegions: options.otherRegions,
    isWanted: (adapter) => wanted.has(adapter),
  });
  state.copies = new Map(
    ranked.map(([adapter, rate]) => [
      adapter,
      countCopies(rate / total, {
        engines,
        present: state.copies.get(adapter) ?? 0,
      }),
    ]),
  );
  state.homes.retain(state.copies);
  const placed = placeAdapters(state.copies, state);
  const commands: PlacementCommand[] = [];
  for (const [engine, adapters] of placed) {
    if (isSameList(state.wanted.get(engine) ?? [], adapters)) continue;
    commands.push({ type: "want", engine, adapters });
  }
  state.wanted.clear();
  for (const [engine, adapters] of placed) state.wanted.set(engine, adapters);
  return { state, commands };
}

/**
 * Sorts adapters by the value of a local copy, highest first. Values are
 * rounded to powers of two and are higher for adapters that are already placed,
 * so that small changes do not move adapters. A copy of an adapter that another
 * region holds has a lower value, since its requests can be served there; in
 * its home region it has the value of the demand of all regions.
 */
function rankRates(
  rates: ReadonlyMap<AdapterKey, number>,
  options: {
    otherRegions: OtherRegions | undefined;
    isWanted: (adapter: AdapterKey) => boolean;
  },
): [AdapterKey, number][] {
  const { otherRegions, isWanted } = options;
  const computeValue = (adapter: AdapterKey, rate: number): number => {
    if (otherRegions === undefined) return rate;
    if (isHomeRegion(adapter, otherRegions))
      return rate + (otherRegions.rates.get(adapter) ?? 0);
    return otherRegions.held.has(adapter) ? rate * remoteCopyValue : rate;
  };
  return [...rates]
    .map(([adapter, rate]) => {
      const lead = isWanted(adapter) ? retentionFactor : 1;
      return {
        adapter,
        rate,
        rank: rankOf(lead * computeValue(adapter, rate)),
      };
    })
    .sort((a, b) => b.rank - a.rank || (a.adapter < b.adapter ? -1 : 1))
    .map(({ adapter, rate }) => [adapter, rate]);
}

function isHomeRegion(
  adapter: AdapterKey,
  otherRegions: OtherRegions,
): boolean {
  const engines = otherRegions.regions.map((region) => ({
    engine: region,
    weight: 1,
  }));
  const [home] = selectHomes(adapter, { engines, count: 1 });
  return home === otherRegions.region;
}

function rankOf(rate: number): number {
  return Math.round(Math.log2(Math.max(rate, minRate)));
}

/** Combines observed rates with those of the sheet into the rates to plan for. */
function blendRates(
  state: PlacementState,
  options: {
    hour: number;
    now: Millis;
    otherRegions?: OtherRegions | undefined;
  },
): Map<AdapterKey, number> {
  const rates = sumRates(state, options.now);
  const total = [...rates.values()].reduce((sum, rate) => sum + rate, 0);
  const limit = state.engines.reduce((sum, { capacity }) => sum + capacity, 0);
  const shares = listExpected(state.forecast, {
    ...options,
    limit: sheetCandidateFactor * limit,
  });
  const covered = coveredSeconds(state.demand, options.now);
  const blended = new Map<AdapterKey, number>();
  const blend = (adapter: AdapterKey) => {
    const share = shares.get(adapter) ?? 0;
    const expected = share * Math.max(total, minForecastRate);
    const observed = rates.get(adapter) ?? 0;
    blended.set(adapter, estimateRate({ observed, expected, covered }));
  };
  for (const adapter of rates.keys()) blend(adapter);
  for (const adapter of shares.keys()) blend(adapter);
  for (const adapter of options.otherRegions?.rates.keys() ?? [])
    blend(adapter);
  return blended;
}

function sumRates(state: PlacementState, now: Millis): Map<AdapterKey, number> {
  const rates = listRates(state.demand, now);
  for (const [node, received] of state.receivedDemand) {
    if (now - received.at > receivedDemandLifetime) {
      state.receivedDemand.delete(node);
      continue;
    }
    for (const [adapter, rate] of received.rates)
      rates.set(adapter, (rates.get(adapter) ?? 0) + rate);
  }
  return rates;
}

function isSameSet(
  before: readonly PlacementEngine[],
  after: readonly PlacementEngine[],
): boolean {
  return (
    before.length === after.length &&
    before.every((entry, index) => {
      const other = after[index];
      return (
        other?.engine === entry.engine &&
        other.weight === entry.weight &&
        other.capacity === entry.capacity
      );
    })
  );
}

function isSameList(
  before: readonly AdapterKey[],
  after: readonly AdapterKey[],
): boolean {
  return (
    before.length === after.length &&
    before.every((adapter, index) => adapter === after[index])
  );
}
