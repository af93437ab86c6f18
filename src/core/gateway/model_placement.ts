import { type Millis, millis } from "../clock.ts";
import type { ModelName } from "../ids.ts";
import type { EngineModel, EngineTraits } from "./configuration.ts";

/** The engines of a service, as seen by the owner of one of them. */
export type FleetView = {
  readonly engines: number;
  /** Number of engines that hold each model, this one included. */
  readonly holders: ReadonlyMap<ModelName, number>;
  /** Models of which this engine must not drop its copy while they are in use. */
  readonly reserved: ReadonlySet<ModelName>;
  /** Requests that run or wait at this engine. */
  readonly load: number;
};

/** Requests in the recent past, weighted by age. */
type RecentCount = { readonly value: number; readonly at: Millis };

/** Demand for base models at one engine; owned by its controller and updated in place. */
export type ModelDemand = {
  /** Requests for models that this engine does not hold. */
  readonly unmet: Map<ModelName, RecentCount>;
  readonly lastUsedAt: Map<ModelName, Millis>;
  /** Earliest time of the next load from the weight store. */
  nextLoadAt: Millis;
};

/** A model to load, and the models to unload first. */
export type ModelChange = {
  readonly target: ModelName;
  readonly victims: readonly ModelName[];
};

/** Time in which the weight of a request falls to 1/e, in ms. */
const demandWindow = 4_000;
/** Usual time that a request runs, in ms. */
const runTime = 1_500;
/** Number of recent requests that justify replacing a model. */
const minDemand = 3;
/** Ratio of the new load of an engine to its present one that justifies replacing a model. */
const minGain = 1.5;
/** Time without use after which any copy of a model may be dropped, in ms. */
const unusedTime = 8_000;
/** Time for which a loaded model is kept, in ms. */
const minHoldTime = 6_000;

/** Creates the demand of an engine that no request has named yet. */
export function createModelDemand(now: Millis): ModelDemand {
  return { unmet: new Map(), lastUsedAt: new Map(), nextLoadAt: now };
}

/** Records requests for a model that the engine does not hold. */
export function recordUnmetDemand(
  demand: ModelDemand,
  { model, requests }: { readonly model: ModelName; requests: number },
  now: Millis,
): void {
  const value = getUnmetDemand(demand, model, now) + requests;
  demand.unmet.set(model, { value, at: now });
}

function getUnmetDemand(
  demand: ModelDemand,
  model: ModelName,
  now: Millis,
): number {
  const count = demand.unmet.get(model);
  if (count === undefined) return 0;
  return count.value * Math.exp((count.at - now) / demandWindow);
}

/** Records that a load from the weight store was ordered; the engines share its rate. */
export function recordModelLoad(
  demand: ModelDemand,
  {
    model,
    traits,
    fleet,
  }: {
    readonly model: ModelName;
    readonly traits: EngineTraits;
    readonly fleet: FleetView;
  },
  now: Millis,
): void {
  demand.unmet.delete(model);
  demand.lastUsedAt.set(model, now);
  const interval = (1_000 * fleet.engines) / traits.loadsPerSecond;
  demand.nextLoadAt = millis(now + Math.max(minHoldTime, interval));
}

/** What an engine holds, for the choice of its next model. */
export type ModelInventory = {
  readonly traits: EngineTraits;
  /** Held models with the end of their loads. */
  readonly held: ReadonlyMap<ModelName, Millis>;
  /** Memory that the adapters of each held model take, in MB. */
  readonly adapterMb: (model: ModelName) => number;
};

/**
 * Chooses the model that the engine should load next; undefined if it should
 * keep what it holds. A model replaces others only if its unmet demand clearly
 * exceeds the load of the engine, and never the last copy of a model in use.
 */
export function planModelChange(
  inventory: ModelInventory,
  demand: ModelDemand,
  { fleet, now }: { readonly fleet: FleetView; readonly now: Millis },
): ModelChange | undefined {
  const { held } = inventory;
  if (held.size === 0)
    return chooseFirstModel(inventory, demand, { fleet, now });
  const wanted = listUnmet(inventory, demand, now);
  for (const { model, value } of wanted) {
    const freeMb = computeFreeMemory(inventory, []);
    if (model.weightsMb <= freeMb) return { target: model.name, victims: [] };
    if (now < demand.nextLoadAt || value < minDemand) continue;
    const concurrency = (value / demandWindow) * runTime;
    if (concurrency < minGain * fleet.load) continue;
    const victims = chooseVictims(inventory, demand, { model, fleet, now });
    if (victims !== undefined) return { target: model.name, victims };
  }
  return undefined;
}

/** The models with unmet demand that the engine does not hold, most wanted first. */
function listUnmet(
  { traits, held }: ModelInventory,
  demand: ModelDemand,
  now: Millis,
): { model: EngineModel; value: number }[] {
  return traits.models
    .filter(({ name }) => !held.has(name))
    .map((model) => ({ model, value: getUnmetDemand(demand, model.name, now) }))
    .filter(({ value }) => value > 0.5)
    .sort((a, b) => b.value - a.value);
}

/** An empty engine gets the model that lacks engines most, else the most widely held one. */
function chooseFirstModel(
  inventory: ModelInventory,
  demand: ModelDemand,
  { fleet, now }: { readonly fleet: FleetView; readonly now: Millis },
): ModelChange | undefined {
  const { traits } = inventory;
  const fitting = traits.models.filter(
    ({ weightsMb }) => weightsMb <= traits.weightsMb,
  );
  const score = ({ name }: EngineModel) => {
    const unmet = getUnmetDemand(demand, name, now);
    return (
      (unmet >= minDemand ? unmet * fleet.engines : 0) +
      countHolders(fleet, name)
    );
  };
  const [best] = [...fitting].sort((a, b) => score(b) - score(a));
  return best === undefined ? undefined : { target: best.name, victims: [] };
}

function countHolders(fleet: FleetView, model: ModelName): number {
  return fleet.holders.get(model) ?? 0;
}

/** Chooses the least recently used models whose removal makes room; undefined if not enough may go. */
function chooseVictims(
  inventory: ModelInventory,
  demand: ModelDemand,
  {
    model,
    fleet,
    now,
  }: {
    readonly model: EngineModel;
    readonly fleet: FleetView;
    readonly now: Millis;
  },
): ModelName[] | undefined {
  const getLastUse = (name: ModelName) =>
    demand.lastUsedAt.get(name) ?? Number.NEGATIVE_INFINITY;
  const removable = [...inventory.held]
    .filter(([name, readyAt]) => {
      if (readyAt > now) return false;
      const isUnused = now >= getLastUse(name) + unusedTime;
      return isUnused || !fleet.reserved.has(name);
    })
    .map(([name]) => name)
    .sort((a, b) => getLastUse(a) - getLastUse(b));
  const victims: ModelName[] = [];
  for (const name of removable) {
    victims.push(name);
    if (model.weightsMb <= computeFreeMemory(inventory, victims))
      return victims;
  }
  return undefined;
}

/** Memory that is free once the given models are gone, in MB. */
function computeFreeMemory(
  { traits, held, adapterMb }: ModelInventory,
  without: readonly ModelName[],
): number {
  let freeMb = traits.weightsMb;
  for (const { name, weightsMb } of traits.models) {
    if (!held.has(name) || without.includes(name)) continue;
    freeMb -= weightsMb + adapterMb(name);
  }
  return freeMb;
}
