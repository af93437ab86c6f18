import type { GatewayConfiguration } from "./configuration.ts";

/** Number of priorities that an engine knows; 0 is the most urgent one. */
const engineLevels = 10;

/**
 * Maps the operator's priorities to those of engines, in the same order. With few
 * of them, each has a second level for requests that are late.
 */
export class PriorityScale {
  /** Priorities in use, most urgent first. */
  readonly #priorities: readonly number[];

  private constructor(priorities: Iterable<number>) {
    this.#priorities = [...new Set(priorities)].sort((a, b) => a - b);
  }

  static create(priorities: Iterable<number>): PriorityScale {
    return new PriorityScale(priorities);
  }

  /** Finds the engine's level for a priority; `isLate` requests follow the others of their priority. */
  findLevel(priority: number, isLate: boolean): number {
    const count = Math.max(1, this.#priorities.length);
    const rank = this.#priorities.filter((other) => other < priority).length;
    const levelsEach = count * 2 <= engineLevels ? 2 : 1;
    if (count > engineLevels)
      return Math.min(
        engineLevels - 1,
        Math.floor((rank * engineLevels) / count),
      );
    const level = rank * levelsEach + (isLate ? levelsEach - 1 : 0);
    return Math.min(engineLevels - 1, level);
  }
}

const scales = new WeakMap<GatewayConfiguration, PriorityScale>();

/** Finds the scale of the priorities of routes and organisations; made once for a configuration. */
export function findPriorityScale(
  configuration: GatewayConfiguration,
): PriorityScale {
  const known = scales.get(configuration);
  if (known !== undefined) return known;
  const scale = PriorityScale.create(listPriorities(configuration));
  scales.set(configuration, scale);
  return scale;
}

function* listPriorities({
  routes,
  organisations,
}: GatewayConfiguration): Generator<number> {
  for (const group of routes.values())
    for (const { priority } of group) yield priority;
  for (const { priority } of organisations?.byName.values() ?? [])
    if (priority !== undefined) yield priority;
}
