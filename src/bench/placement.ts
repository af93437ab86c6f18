import { type Millis, millis } from "../core/clock.ts";
import type { Catalog, CatalogEntry } from "../core/config/catalog.ts";
import {
  type AdapterKey,
  type AdapterName,
  brandNumber,
  brandString,
  type EngineId,
  parseAdapterKey,
  type Region,
} from "../core/ids.ts";
import { HomeCache, placeAdapters } from "../core/placement/copies.ts";
import { summarizeDemand } from "../core/placement/demand.ts";
import {
  createPlacementState,
  decidePlacement,
  type PlacementEvent,
  type PlacementState,
} from "../core/placement/placement.ts";
import { createRandom } from "./random.ts";
import { type Simulation, typicalEngineLimits } from "./simulation.ts";
import {
  type Arrival,
  createAdapterKey,
  type UserProfile,
} from "./workload.ts";

/** Adapter slots per engine that placement leaves free for loads on demand. */
const ON_DEMAND_SLOTS = 1;
/** Interval between placement decisions, in ms. */
const PLACEMENT_INTERVAL = 1_000;
/** Number of adapters whose demand a region publishes to the others. */
const PUBLISHED_ADAPTERS = 64;
const MS_PER_HOUR = 3_600_000;

/** Creates the sheet of a user: true popularity with random errors, like estimates of planners. */
export function createSheet(
  profile: UserProfile,
  options: {
    seed: number;
    /** Standard deviation of the logarithm of the error. */
    error: number;
    busyOf?: (rank: number) => CatalogEntry["busy"];
  },
): Catalog {
  const random = createRandom(options.seed ^ 0x5ee7);
  const adapters = new Map<AdapterName, CatalogEntry>();
  for (let rank = 0; rank < profile.adapters; rank++) {
    const { name, version } = parseAdapterKey(createAdapterKey(rank));
    const noise = Math.exp(options.error * drawNormal(random));
    adapters.set(name, {
      name,
      versions: [version],
      busy: options.busyOf?.(rank) ?? [{ from: 0, to: 24 }],
      weight: noise / (rank + 1) ** profile.zipfExponent,
    });
  }
  return {
    revision: brandNumber(1),
    digest: brandString("sheet"),
    adapters,
  };
}

function drawNormal(random: () => number): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random()));
  return radius * Math.cos(2 * Math.PI * random());
}

/** Places adapters with the placement decision of the nodes, from the requests that each region receives. */
export function placeByDemand(
  simulation: Simulation,
  options: {
    arrivals: readonly Arrival[];
    profile: UserProfile;
    sheet: Catalog;
    /** Hour of the day at the start of the run. */
    startHour: number;
  },
): void {
  const { clock, hosts } = simulation;
  const states = new Map<Region, PlacementState>();
  const hourAt = (at: number) => (options.startHour + at / MS_PER_HOUR) % 24;
  for (const region of options.profile.regions) {
    let state = createPlacementState(clock.now());
    const send = (event: PlacementEvent): void => {
      const decision = decidePlacement(state, event, clock.now());
      state = decision.state;
      states.set(region, state);
      for (const { engine, adapters } of decision.commands)
        hosts.get(engine)?.place(adapters);
    };
    send({
      type: "engines",
      engines: listEngines(simulation).filter(({ engine }) =>
        engine.startsWith(region),
      ),
    });
    send({ type: "catalog", catalog: options.sheet });
    for (const { at, adapter, region: from } of options.arrivals)
      if (from === region)
        clock.schedule(millis(at), () =>
          send({ type: "request-seen", adapter, hour: hourAt(at) }),
        );
    const tick = (): void => {
      send({
        type: "tick",
        hour: hourAt(clock.now()),
        otherRegions: {
          region,
          regions: options.profile.regions,
          held: listRemoteAdapters(simulation, region),
          rates: sumRemoteRates(states, { except: region, now: clock.now() }),
        },
      });
      clock.schedule(millis(PLACEMENT_INTERVAL), tick);
    };
    tick();
  }
}

/** Places the adapters of the sheet once, by weight, and returns the engines of each adapter. */
export function placeFromSheet(
  simulation: Simulation,
  options: { sheet: Catalog; profile: UserProfile },
): Map<AdapterKey, EngineId[]> {
  const homes = new Map<AdapterKey, EngineId[]>();
  const ranked = [...options.sheet.adapters.values()]
    .sort((a, b) => b.weight - a.weight)
    .map(({ name }) => brandString<AdapterKey>(`${name}@1`));
  for (const region of options.profile.regions) {
    const engines = listEngines(simulation).filter(({ engine }) =>
      engine.startsWith(region),
    );
    const cache = HomeCache.create();
    cache.setEngines(engines);
    const copies = new Map(ranked.map((adapter) => [adapter, 1]));
    const placed = placeAdapters(copies, { engines, homes: cache });
    for (const [engine, adapters] of placed) {
      simulation.hosts.get(engine)?.place(adapters);
      for (const adapter of adapters)
        homes.set(adapter, [...(homes.get(adapter) ?? []), engine]);
    }
  }
  return homes;
}

/** Requests per second and adapter in the other regions. */
function sumRemoteRates(
  states: ReadonlyMap<Region, PlacementState>,
  { except, now }: { except: Region; now: Millis },
): Map<AdapterKey, number> {
  const rates = new Map<AdapterKey, number>();
  for (const [region, { demand }] of states) {
    if (region === except) continue;
    const options = { now, limit: PUBLISHED_ADAPTERS };
    for (const [adapter, rate] of summarizeDemand(demand, options))
      rates.set(adapter, (rates.get(adapter) ?? 0) + rate);
  }
  return rates;
}

/** Adapters that are loaded on engines outside a region. */
function listRemoteAdapters(
  { hosts }: Simulation,
  region: Region,
): Set<AdapterKey> {
  const held = new Set<AdapterKey>();
  for (const [engine, host] of hosts) {
    if (engine.startsWith(region)) continue;
    for (const adapter of host.summarize().held) held.add(adapter);
  }
  return held;
}

function listEngines({ hosts }: Simulation) {
  return [...hosts.keys()].map((engine) => ({
    engine,
    weight: 1,
    capacity: typicalEngineLimits.slots - ON_DEMAND_SLOTS,
  }));
}
