import { type Millis, millis } from "../../src/core/clock.ts";
import type { EngineTraits } from "../../src/core/gateway/configuration.ts";
import type { IncomingAdapter } from "../../src/core/gateway/engine_contents.ts";
import type {
  EngineOrder,
  OrderAnswer,
} from "../../src/core/gateway/orders.ts";
import type { HeldModel } from "../../src/core/gateway/servers.ts";
import {
  type AdapterName,
  brandString,
  type ModelName,
} from "../../src/core/ids.ts";

export const model: ModelName = brandString("base");

export const traits: EngineTraits = {
  slots: 128,
  cacheTokens: 150_000,
  models: [
    { name: model, weightsMb: 34_300, adapterMb: 40, loadTime: millis(2_000) },
  ],
  weightsMb: 35_700,
  maxAdapters: 4,
  loadsPerSecond: 3.5,
};

/** Maximum number of adapters that load at a time. */
const maxConcurrentLoads = 4;
/** Age of the held adapters and of the loading adapters in a report, in ms. */
const heldLag = 100;
const incomingLag = 20;

type Snapshot = {
  readonly at: Millis;
  readonly held: readonly AdapterName[];
  readonly incoming: readonly AdapterName[];
  readonly orderCount: number;
};

/** Simulated engine with the delays and conflicts that its controller must tolerate. */
export class SimulatedEngine {
  readonly held = new Set<AdapterName>();
  readonly incoming = new Map<AdapterName, Millis>();
  readonly running = new Map<AdapterName, Millis>();
  /** Adapters that are unloaded once their requests have ended. */
  readonly leaving = new Set<AdapterName>();
  readonly #history: Snapshot[] = [];
  orderCount = 0;
  /** Maximum number of slots taken at a time. */
  maxSlotsTaken = 0;

  /** Completes loads, requests and unloads that are due. */
  advance(now: Millis): void {
    for (const [adapter, readyAt] of this.incoming) {
      if (now < readyAt) continue;
      this.incoming.delete(adapter);
      this.held.add(adapter);
    }
    for (const [adapter, endsAt] of this.running) {
      if (now < endsAt) continue;
      this.running.delete(adapter);
      if (this.leaving.delete(adapter)) this.held.delete(adapter);
    }
    this.maxSlotsTaken = Math.max(
      this.maxSlotsTaken,
      this.held.size + this.incoming.size,
    );
    this.#history.push({
      at: now,
      held: [...this.held],
      incoming: [...this.incoming.keys()],
      orderCount: this.orderCount,
    });
  }

  order(order: EngineOrder, options: { now: Millis; loadTime: number }) {
    const adapter = order.adapter as AdapterName;
    const conflict: OrderAnswer = { kind: "conflict", detail: "409" };
    if (order.expectedCount !== this.orderCount) return conflict;
    if (this.leaving.size > 0) return conflict;
    return order.operation === "load"
      ? this.#load(adapter, options)
      : this.#unload(adapter);
  }

  #load(
    adapter: AdapterName,
    { now, loadTime }: { now: Millis; loadTime: number },
  ): OrderAnswer {
    if (this.held.has(adapter)) return { kind: "done" };
    if (this.incoming.size >= maxConcurrentLoads) {
      return { kind: "conflict", detail: "409" };
    }
    this.orderCount++;
    this.incoming.set(adapter, millis(now + loadTime));
    return { kind: "accepted" };
  }

  #unload(adapter: AdapterName): OrderAnswer {
    // A loading adapter counts as absent: the order succeeds and frees no slot.
    this.orderCount++;
    if (!this.held.has(adapter)) return { kind: "done" };
    if (this.running.has(adapter)) {
      this.leaving.add(adapter);
      return { kind: "accepted" };
    }
    this.held.delete(adapter);
    return { kind: "done" };
  }

  /** Creates a status report whose parts differ in age. */
  report(now: Millis): {
    models: HeldModel[];
    incoming: IncomingAdapter[];
    busy: boolean;
    orderCount: number;
  } {
    const old = this.#find(millis(now - heldLag));
    const recent = this.#find(millis(now - incomingLag));
    const adapters = (old?.held ?? []).map((name) => ({ name, version: 1 }));
    return {
      models: [{ name: model, version: 1, adapters }],
      incoming: (recent?.incoming ?? []).map((adapter) => ({
        model,
        adapter,
        version: 1,
      })),
      busy: false,
      orderCount: old?.orderCount ?? 0,
    };
  }

  #find(at: Millis): Snapshot | undefined {
    return this.#history.findLast((snapshot) => snapshot.at <= at);
  }
}
