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

/** Slot of an engine with the adapter that it holds, loads or unloads. */
export type AdapterSlot = {
  readonly key: ModelAdapterKey;
  readonly model: ModelName;
  readonly adapter: AdapterName;
  version: number;
  phase: "loading" | "held" | "unloading";
  /** Time at which the load is expected to be complete. */
  readyAt: Millis;
  usedAt: Millis;
  /** Nodes whose last report listed requests for the adapter. */
  readonly usedBy: Set<MachineName>;
  /** The last of those nodes has reported that its requests ended. */
  isReleased: boolean;
  /** Time at which the engine accepted the load. */
  orderedAt: Millis;
  /**
   * The engine has shown that it holds the adapter. Until then the load may
   * still be running, and an unload order would succeed without freeing a slot.
   */
  isConfirmed: boolean;
  /** Time of the first of the latest reports that did not list the adapter. */
  missingSince: Millis | undefined;
  /** Says nothing about the time of other loads: the engine replaces an older version once no request runs on it, or has lost the adapter. */
  isAtypical: boolean;
  /** Requests in a row that the engine answered with not holding the adapter. */
  denials: number;
};

/** Contents of one engine, as tracked by its owner. */
export type EngineContents = {
  readonly adapterSlots: Map<ModelAdapterKey, AdapterSlot>;
  /** Base models with the expected end of their loads. */
  readonly models: Map<ModelName, Millis>;
  /** Base models whose load the engine has accepted and not yet been seen to complete. */
  readonly loadingModels: Set<ModelName>;
  /** Base models whose unload the engine has accepted and not yet completed. */
  readonly unloadingModels: Set<ModelName>;
  /** Versions of adapters that this incarnation held before; they load faster. */
  readonly previouslyHeld: Map<ModelAdapterKey, number>;
};

/** Creates the contents of an engine from the models that it reports. */
export function createEngineContents(
  models: readonly HeldModel[],
  now: Millis,
): EngineContents {
  const contents: EngineContents = {
    adapterSlots: new Map(),
    models: new Map(),
    loadingModels: new Set(),
    unloadingModels: new Set(),
    previouslyHeld: new Map(),
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
        isAtypical: false,
        denials: 0,
      });
    }
  }
  return contents;
}

/** Time after a load within which a registration may not list it yet, in ms. */
const maxRegistrationLag = 4_000;

/** Whether a registration contradicts the tracked contents, so that a status report is needed. */
export function contradictsRegistration(
  contents: EngineContents,
  models: readonly HeldModel[],
  now: Millis,
): boolean {
  const listed = createEngineContents(models, now);
  for (const [key, slot] of contents.adapterSlots) {
    const isOld = now > slot.readyAt + maxRegistrationLag;
    if (slot.phase === "held" && isOld && !listed.adapterSlots.has(key))
      return true;
  }
  for (const key of listed.adapterSlots.keys()) {
    if (!contents.adapterSlots.has(key) && !contents.previouslyHeld.has(key))
      return true;
  }
  for (const [model, readyAt] of contents.models) {
    if (now > readyAt + maxRegistrationLag && !listed.models.has(model)) {
      return true;
    }
  }
  return [...listed.models.keys()].some((name) => !contents.models.has(name));
}

/** Confirms the adapters that a registration lists. */
export function confirmRegistered(
  contents: EngineContents,
  models: readonly HeldModel[],
): void {
  for (const { name, adapters } of models) {
    for (const { name: adapter, version } of adapters) {
      const slot = contents.adapterSlots.get(
        formatModelAdapterKey(name, adapter),
      );
      if (slot?.phase === "held" && version >= slot.version) {
        slot.isConfirmed = true;
      }
    }
  }
}

/** Merges the engine's status report, which reflects every order that it accepted, into the contents. */
export function mergeStatusReport(
  contents: EngineContents,
  report: {
    readonly models: readonly HeldModel[];
    readonly incoming: readonly IncomingAdapter[];
    readonly busy: boolean;
  },
  now: Millis,
): EngineContents {
  const { previouslyHeld } = contents;
  const merged = {
    ...createEngineContents(report.models, now),
    previouslyHeld,
  };
  for (const { model, adapter, version } of report.incoming) {
    const key = formatModelAdapterKey(model, adapter);
    const known = contents.adapterSlots.get(key);
    const readyAt = millis(
      Math.max(now + remainingLoadTime, known?.readyAt ?? 0),
    );
    merged.adapterSlots.set(key, {
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
      isAtypical: known?.isAtypical ?? false,
      denials: known?.denials ?? 0,
    });
  }
  for (const [key, slot] of contents.adapterSlots) {
    const listed = merged.adapterSlots.get(key);
    if (listed === undefined) {
      slot.missingSince ??= now;
      const isGone = now >= slot.missingSince + reportSkew;
      if (!isGone) merged.adapterSlots.set(key, slot);
      continue;
    }
    // The adapter stays listed while the unload waits for running requests.
    if (slot.phase === "unloading") {
      merged.adapterSlots.set(key, slot);
      continue;
    }
    // A report does not list uses, so the time of the last known use is kept for eviction.
    const readyAt =
      listed.phase === "held"
        ? millis(Math.min(slot.readyAt, now))
        : listed.readyAt;
    const usedAt = millis(Math.max(slot.usedAt, readyAt));
    const { usedBy, isReleased } = slot;
    const known = { readyAt, usedAt, usedBy, isReleased };
    merged.adapterSlots.set(key, { ...listed, ...known });
  }
  for (const model of contents.loadingModels) {
    if (merged.models.has(model)) continue;
    const readyAt = contents.models.get(model) ?? now;
    // A model that loads is in no list; it takes its memory while the engine is busy.
    if (!report.busy && now > readyAt + reportSkew) continue;
    merged.models.set(
      model,
      millis(Math.max(readyAt, now + remainingLoadTime)),
    );
    merged.loadingModels.add(model);
  }
  for (const model of contents.unloadingModels) {
    if (merged.models.has(model)) merged.unloadingModels.add(model);
  }
  return merged;
}

/** An adapter that an engine is loading. */
export type IncomingAdapter = {
  readonly model: ModelName;
  readonly adapter: AdapterName;
  readonly version: number;
};

/**
 * Time for which reports must omit an adapter before its slot is free, in ms.
 * The parts of a report differ in age, so one that was just loaded may be
 * listed neither as loading nor as held.
 */
export const reportSkew = 500;
/** Expected remaining time of a load that a report lists as running, in ms. */
const remainingLoadTime = 100;

/** Number of adapters that fit beside the loaded base models. */
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
  const freeMb = traits.weightsMb - weights;
  const byMemory = largest > 0 ? Math.floor(freeMb / largest) : freeMb;
  return Math.max(0, Math.min(traits.maxAdapters, byMemory));
}

/** Number of loads that are expected to be running. */
export function countLoading(contents: EngineContents, now: Millis): number {
  let count = 0;
  for (const { phase, readyAt } of contents.adapterSlots.values()) {
    if (phase === "loading" && readyAt > now) count++;
  }
  return count;
}

/** Selects the adapter to evict; undefined if all are in use. */
export type EvictionPolicy = (
  slots: Iterable<AdapterSlot>,
  now: Millis,
) => AdapterSlot | undefined;

/** Time since its last known use before an adapter may be evicted, in ms. */
const minIdleTime = 520;
/** The same for an adapter that every node has reported as no longer in use. */
const minIdleTimeReleased = 160;

/** Selects the held adapter that was used least recently. */
export const chooseLeastRecentlyUsed: EvictionPolicy = (slots, now) => {
  let victim: AdapterSlot | undefined;
  for (const slot of slots) {
    if (slot.phase !== "held" || !slot.isConfirmed) continue;
    const idle = slot.isReleased ? minIdleTimeReleased : minIdleTime;
    if (now < slot.usedAt + idle) continue;
    if (victim === undefined || slot.usedAt < victim.usedAt) victim = slot;
  }
  return victim;
};

/** Records whether a node has requests for an adapter. */
export function recordSlotUse(
  slot: AdapterSlot,
  { node, isUsing }: { node: MachineName; isUsing: boolean },
  now: Millis,
): void {
  if (isUsing) {
    slot.usedAt = now;
    slot.usedBy.add(node);
    slot.isReleased = false;
    return;
  }
  if (!slot.usedBy.delete(node)) return;
  slot.usedAt = now;
  slot.isReleased = slot.usedBy.size === 0;
}

/** Lists the adapters that requests may use, with the time until each is ready. */
export function listAvailableAdapters(
  contents: EngineContents,
  now: Millis,
): AvailableAdapter[] {
  const available: AvailableAdapter[] = [];
  for (const {
    key,
    model,
    version,
    phase,
    readyAt,
  } of contents.adapterSlots.values()) {
    if (phase === "unloading" || !Number.isFinite(readyAt)) continue;
    if (contents.unloadingModels.has(model)) continue;
    const readyIn = Math.max(0, Math.ceil(readyAt - now));
    available.push({ key, version, readyIn });
  }
  return available;
}
