import { type Millis, millis } from "../clock.ts";
import type { AdapterName, ModelName, PlaceKey } from "../ids.ts";
import { formatPlaceKey } from "../ids.ts";
import type { EngineTraits } from "./configuration.ts";
import type { HeldModel } from "./servers.ts";

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

/** Time after a load in which a registration may not show it yet, in ms. */
const registrationLag = 4_000;

/** Whether a registration contradicts what the owner believes, so that the engine should be asked. */
export function contradicts(
  contents: EnginePlaces,
  models: readonly HeldModel[],
  now: Millis,
): boolean {
  const listed = readPlaces(models, now);
  for (const [key, place] of contents.places) {
    const isOld = now > place.readyAt + registrationLag;
    if (place.phase === "held" && isOld && !listed.places.has(key)) return true;
  }
  for (const key of listed.places.keys()) {
    if (!contents.places.has(key) && !contents.earlier.has(key)) return true;
  }
  for (const [model, readyAt] of contents.models) {
    if (now > readyAt + registrationLag && !listed.models.has(model)) {
      return true;
    }
  }
  return [...listed.models.keys()].some((name) => !contents.models.has(name));
}

/** Contents by the engine's own report, which shows every order that it accepted. */
export function replacePlaces(
  contents: EnginePlaces,
  report: {
    readonly models: readonly HeldModel[];
    readonly incoming: readonly PlaceKey[];
  },
  now: Millis,
): EnginePlaces {
  const { earlier } = contents;
  const replaced = { ...readPlaces(report.models, now), earlier };
  for (const [key, place] of contents.places) {
    const listed = replaced.places.get(key);
    if (listed !== undefined) listed.usedAt = place.usedAt;
    else if (report.incoming.includes(key) || place.readyAt > now) {
      replaced.places.set(key, place);
    }
  }
  for (const [model, readyAt] of contents.models) {
    if (readyAt > now) replaced.models.set(model, readyAt);
  }
  return replaced;
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
