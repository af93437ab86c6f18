import { type Millis, millis } from "../clock.ts";
import type {
  AdapterName,
  MachineName,
  ModelAdapterKey,
  ModelName,
} from "../ids.ts";
import { formatModelAdapterKey } from "../ids.ts";
import type { EngineTraits } from "./configuration.ts";
import type { AvailableAdapter } from "./engine_backlog.ts";
import type { HeldModel } from "./servers.ts";

/** One adapter that an engine holds, gets or gives up; each takes a place. */
export type AdapterSlot = {
  readonly key: ModelAdapterKey;
  readonly model: ModelName;
  readonly adapter: AdapterName;
  version: number;
  phase: "loading" | "held" | "unloading";
  /** Time at which the load is expected to be complete. */
  readyAt: Millis;
  usedAt: Millis;
  /** Nodes whose last report listed a request for the adapter. */
  readonly usedBy: Set<MachineName>;
  /** The last of those nodes has reported that its requests have ended. */
  isReleased: boolean;
  /** Time at which the engine accepted the load. */
  orderedAt: Millis;
  /**
   * The engine has shown that it holds the adapter. Until then it may still be
   * on its way, and an order to unload it would be answered and free nothing.
   */
  isConfirmed: boolean;
  /** Time of the first report of those that did not show the adapter. */
  missingSince: Millis | undefined;
};

/** Contents of one engine as its owner believes them to be. */
export type EngineContents = {
  readonly adapterSlots: Map<ModelAdapterKey, AdapterSlot>;
  /** Base models with the time at which each is expected to be complete. */
  readonly models: Map<ModelName, Millis>;
  /** Adapters held earlier by this incarnation; they load faster. */
  readonly previouslyHeld: Set<ModelAdapterKey>;
};

/** Contents of an engine that reports what it holds. */
export function createEngineContents(
  models: readonly HeldModel[],
  now: Millis,
): EngineContents {
  const contents: EngineContents = {
    adapterSlots: new Map(),
    models: new Map(),
    previouslyHeld: new Set(),
  };
  for (const { name, adapters } of models) {
    contents.models.set(name, now);
    for (const { name: adapter, version } of adapters) {
      const key = formatModelAdapterKey(name, adapter);
      const readyAt = now;
      contents.adapterSlots.set(key, {
        key,
        model: name,
        adapter,
        version,
        phase: "held",
        readyAt,
        usedAt: now,
        usedBy: new Set(),
        isReleased: false,
        orderedAt: now,
        isConfirmed: true,
        missingSince: undefined,
      });
    }
  }
  return contents;
}

/** Time after a load in which a registration may not show it yet, in ms. */
const registrationLag = 4_000;

/** Whether a registration contradicts what the owner believes, so that the engine should be asked. */
export function contradictsRegistration(
  contents: EngineContents,
  models: readonly HeldModel[],
  now: Millis,
): boolean {
  const listed = createEngineContents(models, now);
  for (const [key, place] of contents.adapterSlots) {
    const isOld = now > place.readyAt + registrationLag;
    if (place.phase === "held" && isOld && !listed.adapterSlots.has(key))
      return true;
  }
  for (const key of listed.adapterSlots.keys()) {
    if (!contents.adapterSlots.has(key) && !contents.previouslyHeld.has(key))
      return true;
  }
  for (const [model, readyAt] of contents.models) {
    if (now > readyAt + registrationLag && !listed.models.has(model)) {
      return true;
    }
  }
  return [...listed.models.keys()].some((name) => !contents.models.has(name));
}

/** Marks adapters that a registration lists as loaded. */
export function confirmRegistered(
  contents: EngineContents,
  models: readonly HeldModel[],
): void {
  for (const { name, adapters } of models) {
    for (const { name: adapter, version } of adapters) {
      const place = contents.adapterSlots.get(
        formatModelAdapterKey(name, adapter),
      );
      if (place?.phase === "held" && version >= place.version) {
        place.isConfirmed = true;
      }
    }
  }
}

/** Contents by the engine's own report, which shows every order that it accepted. */
export function mergeStatusReport(
  contents: EngineContents,
  report: {
    readonly models: readonly HeldModel[];
    readonly incoming: readonly IncomingAdapter[];
  },
  now: Millis,
): EngineContents {
  const { previouslyHeld: earlier } = contents;
  const replaced = { ...createEngineContents(report.models, now), earlier };
  for (const { model, adapter, version } of report.incoming) {
    const key = formatModelAdapterKey(model, adapter);
    const known = contents.adapterSlots.get(key);
    const readyAt = millis(Math.max(now + incomingRest, known?.readyAt ?? 0));
    replaced.adapterSlots.set(key, {
      key,
      model,
      adapter,
      version,
      phase: "loading",
      readyAt,
      usedAt: readyAt,
      usedBy: known?.usedBy ?? new Set(),
      isReleased: false,
      orderedAt: known?.orderedAt ?? now,
      isConfirmed: false,
      missingSince: undefined,
    });
  }
  for (const [key, place] of contents.adapterSlots) {
    const listed = replaced.adapterSlots.get(key);
    if (listed === undefined) {
      place.missingSince ??= now;
      const isGone = now >= place.missingSince + reportSkew;
      if (!isGone) replaced.adapterSlots.set(key, place);
      continue;
    }
    // Runs that the unload waits for keep the adapter listed.
    if (place.phase === "unloading") {
      replaced.adapterSlots.set(key, place);
      continue;
    }
    // A report tells nothing about use: an adapter that was ready stays as old as it was.
    const readyAt =
      listed.phase === "held"
        ? millis(Math.min(place.readyAt, now))
        : listed.readyAt;
    const usedAt = millis(Math.max(place.usedAt, readyAt));
    const { usedBy, isReleased } = place;
    const known = { readyAt, usedAt, usedBy, isReleased };
    replaced.adapterSlots.set(key, { ...listed, ...known });
  }
  for (const [model, readyAt] of contents.models) {
    if (readyAt > now) replaced.models.set(model, readyAt);
  }
  return replaced;
}

/** An adapter on its way to an engine. */
export type IncomingAdapter = {
  readonly model: ModelName;
  readonly adapter: AdapterName;
  readonly version: number;
};

/**
 * Time for which reports have to miss an adapter before its place is free: one
 * that has just been loaded may be listed neither as on its way nor as held,
 * since the parts of a report are of different age, in ms.
 */
export const reportSkew = 500;
/** Expected rest of a load that a report shows as under way, in ms. */
const incomingRest = 100;

/** Adapters that an engine may hold beside its base models. */
export function countAdapterCapacity(
  contents: EngineContents,
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
  return Math.max(0, Math.min(traits.maxAdapters, byMemory));
}

/** Loads that are expected to be under way. */
export function countLoading(contents: EngineContents, now: Millis): number {
  let count = 0;
  for (const { phase, readyAt } of contents.adapterSlots.values()) {
    if (phase === "loading" && readyAt > now) count++;
  }
  return count;
}

/** Picks the adapter that makes room for another; undefined if each is in use. */
export type EvictionPolicy = (
  places: Iterable<AdapterSlot>,
  now: Millis,
) => AdapterSlot | undefined;

/** Time since its last known use before an adapter may be given up, in ms. */
const idleBeforeEviction = 520;
/** The same for an adapter that every node has reported as no longer in use. */
const idleOnceReleased = 160;

/** The held adapter whose last use is longest ago. */
export const chooseLeastRecentlyUsed: EvictionPolicy = (places, now) => {
  let victim: AdapterSlot | undefined;
  for (const place of places) {
    if (place.phase !== "held" || !place.isConfirmed) continue;
    const idle = place.isReleased ? idleOnceReleased : idleBeforeEviction;
    if (now < place.usedAt + idle) continue;
    if (victim === undefined || place.usedAt < victim.usedAt) victim = place;
  }
  return victim;
};

/** Notes whether a node has requests for an adapter. */
export function recordSlotUse(
  place: AdapterSlot,
  { node, isUsing }: { node: MachineName; isUsing: boolean },
  now: Millis,
): void {
  if (isUsing) {
    place.usedAt = now;
    place.usedBy.add(node);
    place.isReleased = false;
    return;
  }
  if (!place.usedBy.delete(node)) return;
  place.usedAt = now;
  place.isReleased = place.usedBy.size === 0;
}

/** Adapters that requests may be sent for, with the time until each is ready. */
export function listAvailableAdapters(
  contents: EngineContents,
  now: Millis,
): AvailableAdapter[] {
  const available: AvailableAdapter[] = [];
  for (const {
    key,
    version,
    phase,
    readyAt,
  } of contents.adapterSlots.values()) {
    if (phase === "unloading" || !Number.isFinite(readyAt)) continue;
    const readyIn = Math.max(0, Math.ceil(readyAt - now));
    available.push({ key, version, readyIn });
  }
  return available;
}
