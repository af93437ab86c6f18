import type { AdapterKey, EngineId } from "../ids.ts";
import { selectHomes, type WeightedEngine } from "./rendezvous.ts";

/** An engine that adapters can be placed on. */
export type PlacementEngine = WeightedEngine & {
  /** Adapter versions that placement may want there. */
  readonly capacity: number;
};

/** Copies beyond the share of demand: room for uneven load. */
const headroom = 1.5;
/** Share of one engine's demand above which a second copy is kept: 1 - `base` divided by `headroom`. */
const base = 0.5;
/** Change in copies that is needed before one is given up, so that a count near a step does not flap. */
const hysteresis = 0.5;

/** Copies of an adapter with a share of demand, given the copies it has now. */
export function countCopies(
  share: number,
  options: { engines: number; present: number },
): number {
  const { engines, present } = options;
  const wanted = base + headroom * share * engines;
  const copies = Math.ceil(wanted);
  const kept =
    copies < present && Math.ceil(wanted + hysteresis) >= present
      ? present
      : copies;
  return Math.max(1, Math.min(engines, kept));
}

/** Choices beyond the copies that are remembered, for engines without a place left. */
const spareChoices = 2;

/** Homes of adapters, remembered while the set of engines stays the same. */
export class HomeCache {
  #engines: readonly PlacementEngine[] = [];
  #homes = new Map<AdapterKey, EngineId[]>();

  static create(): HomeCache {
    return new HomeCache();
  }

  setEngines(engines: readonly PlacementEngine[]): void {
    this.#engines = engines;
    this.#homes.clear();
  }

  /** The first choices of an adapter, at least `copies` and two more. */
  list(adapter: AdapterKey, copies: number): readonly EngineId[] {
    const known = this.#homes.get(adapter);
    const count = Math.min(this.#engines.length, copies + spareChoices);
    if (known !== undefined && known.length >= count) return known;
    const homes = selectHomes(adapter, { engines: this.#engines, count });
    this.#homes.set(adapter, homes);
    return homes;
  }

  /** Forgets adapters that are no longer placed. */
  retain(adapters: ReadonlyMap<AdapterKey, unknown>): void {
    for (const adapter of this.#homes.keys())
      if (!adapters.has(adapter)) this.#homes.delete(adapter);
  }
}

/**
 * Places adapters on engines in the given order, most wanted first: each at as
 * many of its homes as it gets copies, passing over engines without a place left.
 */
export function placeAdapters(
  copies: ReadonlyMap<AdapterKey, number>,
  options: { engines: readonly PlacementEngine[]; homes: HomeCache },
): Map<EngineId, AdapterKey[]> {
  const placed = new Map<EngineId, AdapterKey[]>();
  const capacity = new Map<EngineId, number>();
  let left = 0;
  for (const { engine, capacity: count } of options.engines) {
    placed.set(engine, []);
    capacity.set(engine, count);
    left += count;
  }
  for (const [adapter, count] of copies) {
    if (left === 0) break;
    let missing = count;
    for (const engine of options.homes.list(adapter, count)) {
      const list = placed.get(engine) as AdapterKey[];
      if (missing === 0) break;
      if (list.length >= (capacity.get(engine) as number)) continue;
      list.push(adapter);
      missing--;
      left--;
    }
  }
  return placed;
}
