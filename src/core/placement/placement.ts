import type { Millis } from "../clock.ts";
import type { Catalog } from "../config/catalog.ts";
import type { Decide, Decision } from "../decision.ts";
import {
  type AdapterKey,
  type EngineId,
  type NodeId,
  parseAdapterKey,
} from "../ids.ts";
import {
  countCopies,
  HomeCache,
  type PlacementEngine,
  placeAdapters,
} from "./copies.ts";
import { addDemand, createDemand, type Demand, listRates } from "./demand.ts";
import {
  createForecast,
  type Forecast,
  learnDrift,
  listExpected,
} from "./forecast.ts";

/** Message to the placement of a node. */
export type PlacementEvent =
  /** Engines that this node places adapters on: those of its region. */
  | { readonly type: "engines"; readonly engines: readonly PlacementEngine[] }
  | { readonly type: "catalog"; readonly catalog: Catalog }
  /** A request arrived here; `hour` is the local time of the sheet. */
  | {
      readonly type: "request-seen";
      readonly adapter: AdapterKey;
      readonly hour: number;
    }
  /** Requests a second that another node of the region sees. */
  | {
      readonly type: "demand-heard";
      readonly from: NodeId;
      readonly rates: readonly (readonly [AdapterKey, number])[];
    }
  /** Sent every second or so. */
  | { readonly type: "tick"; readonly hour: number };

/** Adapter versions that an engine should hold, most wanted first; sent when they change. */
export type PlacementCommand = {
  readonly type: "want";
  readonly engine: EngineId;
  readonly adapters: readonly AdapterKey[];
};

type HeardDemand = {
  readonly at: Millis;
  readonly rates: readonly (readonly [AdapterKey, number])[];
};

/** State of the placement; changed in place, since its maps are large. */
export type PlacementState = {
  engines: readonly PlacementEngine[];
  readonly demand: Demand;
  readonly heard: Map<NodeId, HeardDemand>;
  forecast: Forecast;
  copies: ReadonlyMap<AdapterKey, number>;
  readonly homes: HomeCache;
  readonly wanted: Map<EngineId, readonly AdapterKey[]>;
};

/** Time for which demand heard from a node counts, in ms. */
const heardTime = 10_000;
/** Nodes whose demand is taken into account. */
const heardLimit = 64;
/** Weight of the sheet against observation, in seconds of observation; observation fills 10 s. */
const sheetSeconds = 2;
const observedSeconds = 10;
/** Requests a second that the sheet is taken to foretell before any were seen. */
const presumedRate = 1;

/** Rate below which adapters are not told apart, in requests a second. */
const lowestRate = 1e-6;

/** State of a node that has seen no request. */
export function createPlacementState(now: Millis): PlacementState {
  return {
    engines: [],
    demand: createDemand(now),
    heard: new Map(),
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
      // Homes are remembered while the engines stay the same.
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
    case "demand-heard":
      if (state.heard.has(event.from) || state.heard.size < heardLimit)
        state.heard.set(event.from, { at: now, rates: event.rates });
      return { state, commands: [] };
    case "tick":
      return updateWanted(state, { hour: event.hour, now });
  }
};

function updateWanted(
  state: PlacementState,
  options: { hour: number; now: Millis },
): Decision<PlacementState, PlacementCommand> {
  const rates = blendRates(state, options);
  const total = [...rates.values()].reduce((sum, rate) => sum + rate, 0);
  const engines = state.engines.length;
  const ranked = rankRates(rates);
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

/** Most wanted first, by powers of two, so that small changes do not reorder the list. */
function rankRates(
  rates: ReadonlyMap<AdapterKey, number>,
): [AdapterKey, number][] {
  return [...rates]
    .map(([adapter, rate]) => ({ adapter, rate, rank: rankOf(rate) }))
    .sort((a, b) => b.rank - a.rank || (a.adapter < b.adapter ? -1 : 1))
    .map(({ adapter, rate }) => [adapter, rate]);
}

function rankOf(rate: number): number {
  return Math.round(Math.log2(Math.max(rate, lowestRate)));
}

/**
 * Requests a second by adapter. The sheet counts like two seconds of
 * observation, so that observed demand outweighs it within seconds.
 */
function blendRates(
  state: PlacementState,
  options: { hour: number; now: Millis },
): Map<AdapterKey, number> {
  const rates = sumRates(state, options.now);
  const total = [...rates.values()].reduce((sum, rate) => sum + rate, 0);
  const limit = state.engines.reduce((sum, { places }) => sum + places, 0);
  const expected = listExpected(state.forecast, { ...options, limit });
  const observed = Math.min(
    observedSeconds,
    (options.now - state.demand.since) / 1000,
  );
  const blended = new Map<AdapterKey, number>();
  const blend = (adapter: AdapterKey) => {
    const share = expected.get(adapter) ?? 0;
    const foretold = share * Math.max(total, presumedRate) * sheetSeconds;
    const seen = (rates.get(adapter) ?? 0) * observed;
    blended.set(adapter, (foretold + seen) / (sheetSeconds + observed));
  };
  for (const adapter of rates.keys()) blend(adapter);
  for (const adapter of expected.keys()) blend(adapter);
  return blended;
}

function sumRates(state: PlacementState, now: Millis): Map<AdapterKey, number> {
  const rates = listRates(state.demand, now);
  for (const [node, heard] of state.heard) {
    if (now - heard.at > heardTime) {
      state.heard.delete(node);
      continue;
    }
    for (const [adapter, rate] of heard.rates)
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
        other.places === entry.places
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
