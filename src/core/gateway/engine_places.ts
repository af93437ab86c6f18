import { type Millis, millis } from "../clock.ts";
import type { AdapterName, ModelName, PlaceKey } from "../ids.ts";
import { formatPlaceKey } from "../ids.ts";
import type { EngineTraits } from "./configuration.ts";
import type { BackendServer, HeldModel } from "./servers.ts";

/** One adapter that an engine holds, gets or gives up; each takes a place. */
export type Place = {
  readonly key: PlaceKey;
  readonly model: ModelName;
  readonly adapter: AdapterName;
  version: number;
  phase: "loading" | "held" | "unloading";
  /** Time at which the load is expected to be complete. */
  readyAt: Millis;
  usedAt: Millis;
};

/** Contents of one engine as its owner believes them to be. */
export type EnginePlaces = {
  readonly places: Map<PlaceKey, Place>;
  /** Base models with the time at which each is expected to be complete. */
  readonly models: Map<ModelName, Millis>;
  /** Adapters held earlier by this incarnation; they load faster. */
  readonly earlier: Set<PlaceKey>;
};

/** Contents of an engine that reports what it holds. */
export function readPlaces(
  models: readonly HeldModel[],
  now: Millis,
): EnginePlaces {
  const contents: EnginePlaces = {
    places: new Map(),
    models: new Map(),
    earlier: new Set(),
  };
  for (const { name, adapters } of models) {
    contents.models.set(name, now);
    for (const { name: adapter, version } of adapters) {
      const key = formatPlaceKey(name, adapter);
      const readyAt = now;
      const usedAt = millis(now - unknownUseAge);
      const phase = "held";
      contents.places.set(key, {
        key,
        model: name,
        adapter,
        version,
        phase,
        readyAt,
        usedAt,
      });
    }
  }
  return contents;
}

/** Assumed age of the last use of an adapter that was found on an engine, in ms. */
const unknownUseAge = 1_000;

/** Time after a load during which an engine's report may not show it yet, in ms. */
const reportLag = 2_500;

/**
 * Corrects the contents by what the engine reported: a complete load that is
 * not listed was lost, an adapter that is listed and unknown takes a place.
 */
export function correctPlaces(
  contents: EnginePlaces,
  models: BackendServer["models"],
  now: Millis,
): void {
  const listed = readPlaces(models, now);
  for (const [key, place] of listed.places) {
    const known = contents.places.get(key);
    if (known === undefined) {
      if (!contents.earlier.has(key)) contents.places.set(key, place);
    } else if (known.phase === "held" && place.version > known.version) {
      known.version = place.version;
    }
  }
  for (const [key, place] of contents.places) {
    const isOld = now > place.readyAt + reportLag;
    if (place.phase === "held" && isOld && !listed.places.has(key)) {
      contents.places.delete(key);
    }
  }
  for (const [model, readyAt] of contents.models) {
    if (now > readyAt + reportLag && !listed.models.has(model)) {
      contents.models.delete(model);
    }
  }
  for (const [model, readyAt] of listed.models) {
    if (!contents.models.has(model)) contents.models.set(model, readyAt);
  }
}

/** Adapters that an engine may hold beside its base models. */
export function countCapacity(
  contents: EnginePlaces,
  traits: EngineTraits,
): number {
  let weights = 0;
  let largest = 0;
  for (const { name, weightsMb, adapterMb } of traits.models) {
    if (contents.models.has(name)) weights += weightsMb;
    largest = Math.max(largest, adapterMb);
  }
  const room = traits.weightsMb - weights;
  const byMemory = largest > 0 ? Math.floor(room / largest) : room;
  return Math.max(0, Math.min(traits.adapterPlaces, byMemory));
}

/** Loads under way. */
export function countLoading(contents: EnginePlaces, now: Millis): number {
  let count = 0;
  for (const { phase, readyAt } of contents.places.values()) {
    if (phase === "loading" && readyAt > now) count++;
  }
  return count;
}

/** Picks the adapter that makes room for another; undefined if each is in use. */
export type VictimPolicy = (
  places: Iterable<Place>,
  now: Millis,
) => Place | undefined;

/** Time since its last known use before an adapter may be given up, in ms. */
const idleBeforeEviction = 1_500;

/** The held adapter whose last use is longest ago. */
export const chooseLeastRecent: VictimPolicy = (places, now) => {
  let victim: Place | undefined;
  for (const place of places) {
    if (place.phase !== "held") continue;
    if (now < place.usedAt + idleBeforeEviction) continue;
    if (victim === undefined || place.usedAt < victim.usedAt) victim = place;
  }
  return victim;
};
