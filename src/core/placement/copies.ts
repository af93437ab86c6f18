import type { AdapterKey, EngineId } from "../ids.ts";
import { selectHomes, type WeightedEngine } from "./rendezvous.ts";

/** An engine that adapters can be placed on. */
export type PlacementEngine = WeightedEngine & {
  /** Maximum number of adapter versions placed on the engine. */
  readonly capacity: number;
};

/** Factor on the copies that a share of demand needs, to allow for uneven load. */
const headroom = 1.5;
/** Copies added to the scaled share of demand; a second copy is kept above (1 - `base`) / `headroom` of one engine's demand. */
const base = 0.5;
/** Decrease in wanted copies that is needed before one is removed, so that a count near a step does not oscillate. */
const hysteresis = 0.5;

/** Returns the number of copies of an adapter with a share of demand, given its present number. */
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

/** Homes cached beyond the number of copies, to replace engines without capacity left. */
const spareChoices = 2;

/** Cache of the homes of adapters, valid while the set of engines stays the same. */
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

  /** Returns the homes of an adapter, at least `copies` and `spareChoices` more. */
  list(adapter: AdapterKey, copies: number): readonly EngineId[] {
    const known = this.#homes.get(adapter);
    const count = Math.min(this.#engines.length, copies + spareChoices);
    if (known !== undefined && known.length >= count) return known;
    const homes = selectHomes(adapter, { engines: this.#engines, count });
    this.#homes.set(adapter, homes);
    return homes;
  }

  /** Removes adapters that are no longer placed. */
  retain(adapters: ReadonlyMap<AdapterKey, unknown>): void {
    for (const adapter of this.#homes.keys())
      if (!adapters.has(adapter)) this.#homes.delete(adapter);
  }
}

/**
 * Places adapters on engines in the given order, most wanted first: each on as
 * many of its homes as it has copies, skipping engines without capacity left.
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
