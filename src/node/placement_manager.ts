import { createActor } from "xstate";
import { type Cancel, type Clock, type Millis, millis } from "../core/clock.ts";
import type { Catalog } from "../core/config/catalog.ts";
import type { AdapterKey, NodeId, Region } from "../core/ids.ts";
import { summarizeDemand } from "../core/placement/demand.ts";
import {
  createPlacementState,
  decidePlacement,
  type OtherRegions,
  type PlacementCommand,
  type PlacementEvent,
  type PlacementState,
} from "../core/placement/placement.ts";
import type { EngineView } from "../core/routing/view.ts";
import type { ClusterPort } from "../ports/cluster.ts";
import { createDecisionLogic, type DecisionActor } from "./decision_actor.ts";
import type { EngineDirectory } from "./engine_directory.ts";

/** Interval between two placements, in ms. */
const tickIntervalMillis = 1_000;
/** Maximum number of adapters whose demand a node publishes. */
const maxPublishedAdapters = 64;
/** Slots of each engine that placement leaves free for loads on demand. */
const reservedSlots = 1;

/** Time for which demand published by a node of another region is used, in ms. */
const remoteDemandTtlMillis = 10_000;

type RemoteDemand = {
  readonly at: Millis;
  readonly rates: readonly (readonly [AdapterKey, number])[];
};

/** Options of the placement manager. */
export type PlacementManagerOptions = {
  readonly region: Region;
  readonly clock: Clock;
  readonly directory: EngineDirectory;
  readonly cluster: ClusterPort;
  /** Local hour of the day, from 0 to 24. */
  readonly readHour: () => number;
};

/** Measures demand, places adapters on the engines of the region and sends the placement to the local engine owners. */
export class PlacementManager {
  readonly #options: PlacementManagerOptions;
  readonly #actor: DecisionActor<PlacementState, PlacementEvent>;
  /** Latest demand published by nodes of other regions. */
  readonly #remoteDemand = new Map<NodeId, RemoteDemand>();
  #cancelTick: Cancel | undefined;

  static create(options: PlacementManagerOptions): PlacementManager {
    const manager = new PlacementManager(options);
    manager.#scheduleTick();
    return manager;
  }

  private constructor(options: PlacementManagerOptions) {
    this.#options = options;
    this.#actor = createActor(
      createDecisionLogic<PlacementState, PlacementEvent, PlacementCommand>({
        initial: createPlacementState(options.clock.now()),
        decide: decidePlacement,
        clock: options.clock,
        // Placements are sent to the owners on each tick, since ownership changes as well.
        perform: () => {},
      }),
    );
    this.#actor.start();
  }

  /** Records a request for the adapter at this node. */
  recordDemand(adapter: AdapterKey): void {
    const hour = this.#options.readHour();
    this.#actor.send({ type: "request-seen", adapter, hour });
  }

  /** Handles the demand published by another node. */
  receiveDemand(
    from: NodeId,
    rates: readonly (readonly [AdapterKey, number])[],
  ): void {
    const member = this.#options.cluster
      .members()
      .find(({ node }) => node === from);
    if (member === undefined) return;
    if (member.region === this.#options.region) {
      this.#actor.send({ type: "demand-received", from, rates });
    } else {
      this.#remoteDemand.set(from, { at: this.#options.clock.now(), rates });
    }
  }

  /** Sets the catalog of the configuration in force. */
  setCatalog(catalog: Catalog): void {
    this.#actor.send({ type: "catalog", catalog });
  }

  stop(): void {
    this.#cancelTick?.();
    this.#actor.stop();
  }

  #scheduleTick(): void {
    this.#cancelTick = this.#options.clock.schedule(
      millis(tickIntervalMillis),
      () => {
        this.#tick();
        this.#scheduleTick();
      },
    );
  }

  #tick(): void {
    const { directory, region, clock, cluster, readHour } = this.#options;
    const views = directory.views();
    const engines = views
      .filter((view) => view.region === region && view.state !== "leaving")
      .map(({ engine, slots }) => ({
        engine,
        weight: slots,
        capacity: Math.max(1, slots - reservedSlots),
      }));
    this.#actor.send({ type: "engines", engines });
    const otherRegions = this.#describeOtherRegions(views);
    this.#actor.send({ type: "tick", hour: readHour(), otherRegions });
    const { demand, wanted } = this.#actor.getSnapshot().context;
    for (const [engine, owner] of directory.owners) {
      const adapters = wanted.get(engine);
      if (adapters === undefined || owner.state.placement === adapters)
        continue;
      owner.send({ type: "placement", adapters });
    }
    cluster.publishDemand(
      summarizeDemand(demand, {
        now: clock.now(),
        limit: maxPublishedAdapters,
      }),
    );
  }

  /** Summarizes the loaded adapters and the demand of the other regions, which decide where further copies are useful. */
  #describeOtherRegions(views: readonly EngineView[]): OtherRegions {
    const { region, clock, cluster } = this.#options;
    const regions = new Set(cluster.members().map((member) => member.region));
    regions.add(region);
    const held = new Set<AdapterKey>();
    for (const view of views) {
      if (view.region === region) continue;
      for (const adapter of view.held) held.add(adapter);
    }
    const rates = new Map<AdapterKey, number>();
    for (const [node, demand] of this.#remoteDemand) {
      if (clock.now() - demand.at > remoteDemandTtlMillis) {
        this.#remoteDemand.delete(node);
        continue;
      }
      for (const [adapter, rate] of demand.rates) {
        rates.set(adapter, (rates.get(adapter) ?? 0) + rate);
      }
    }
    return { region, regions: [...regions].sort(), held, rates };
  }
}
