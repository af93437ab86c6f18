import type { EngineOrder } from "../../src/core/gateway/orders.ts";
import type { HeldModel } from "../../src/core/gateway/servers.ts";
import {
  type AdapterName,
  brandString,
  type ModelName,
} from "../../src/core/ids.ts";

/** Size of the weights of each model, in MB, and the usual time of a load, in ms. */
export const modelMb = 34_300;
export const loadTime = 2_000;

/** Simulated engine that holds base models and their adapters. */
export class ModelEngine {
  readonly models = new Set<ModelName>();
  /** Adapters held, with their model. */
  readonly adapters = new Map<AdapterName, ModelName>();
  running: { model: ModelName; endsAt: number }[] = [];
  orderCount = 0;
  /** Orders to load more than the memory holds. */
  violations = 0;
  readonly #weightsMb: number;
  /** The order in progress and the time at which it is complete. */
  #current: { order: EngineOrder; endsAt: number } | undefined;

  constructor(weightsMb: number) {
    this.#weightsMb = weightsMb;
  }

  /** Completes what is due. */
  advance(now: number): void {
    this.running = this.running.filter(({ endsAt }) => endsAt > now);
    const current = this.#current;
    if (current === undefined || now < current.endsAt) return;
    this.#current = undefined;
    const { operation, model } = current.order;
    if (operation === "load") this.models.add(model);
    else this.#drop(model);
  }

  /** Carries out an order; a load of a model takes `extraTime` longer than usual. */
  accept(
    order: EngineOrder,
    { now, extraTime }: { readonly now: number; readonly extraTime: number },
  ): "accepted" | "done" | "conflict" {
    if (this.#current !== undefined) return "conflict";
    if (order.expectedCount !== this.orderCount) return "conflict";
    if (order.adapter !== undefined) return this.#acceptAdapter(order);
    const isLoad = order.operation === "load";
    if (this.models.has(order.model) === isLoad) return "done";
    this.orderCount++;
    const heldMb = (this.models.size + 1) * modelMb;
    if (isLoad && heldMb > this.#weightsMb) this.violations++;
    const lastEnd = Math.max(now, ...this.running.map(({ endsAt }) => endsAt));
    const endsAt = isLoad ? now + loadTime + extraTime : lastEnd;
    this.#current = { order, endsAt };
    return "accepted";
  }

  /** Restarts without models. */
  restart(): void {
    this.models.clear();
    this.adapters.clear();
    this.running = [];
    this.#current = undefined;
    this.orderCount = 0;
  }

  report() {
    return {
      models: describeModels([...this.models], this.adapters),
      incoming: [],
      busy: this.#current !== undefined,
      orderCount: this.orderCount,
    };
  }

  #acceptAdapter({
    operation,
    model,
    adapter,
  }: EngineOrder): "accepted" | "done" | "conflict" {
    if (adapter === undefined || !this.models.has(model)) return "conflict";
    this.orderCount++;
    if (operation === "load") this.adapters.set(adapter, model);
    else this.adapters.delete(adapter);
    return operation === "load" ? "accepted" : "done";
  }

  #drop(model: ModelName): void {
    this.models.delete(model);
    for (const [adapter, of] of this.adapters) {
      if (of === model) this.adapters.delete(adapter);
    }
  }
}

/** Describes models with their adapters as an engine reports them. */
export function describeModels(
  names: readonly ModelName[],
  adapters: ReadonlyMap<AdapterName, ModelName> = new Map(),
): HeldModel[] {
  return names.map((name) => ({
    name,
    version: 1,
    adapters: [...adapters]
      .filter(([, model]) => model === name)
      .map(([adapter]) => ({ name: adapter, version: 1 })),
  }));
}

/** Name of a model of the fleet. */
export function nameModel(index: number): ModelName {
  return brandString(`m${index}`);
}

/** Maximum number of loads that started within any span of `window` ms. */
export function countMaxLoads(
  starts: readonly number[],
  window: number,
): number {
  const counts = starts.map(
    (start) => starts.filter((at) => at >= start && at < start + window).length,
  );
  return Math.max(0, ...counts);
}
