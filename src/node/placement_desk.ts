import { createActor } from "xstate";
import { type Cancel, type Clock, millis } from "../core/clock.ts";
import type { Catalog } from "../core/config/catalog.ts";
import type { AdapterKey, NodeId, Region } from "../core/ids.ts";
import { summarizeDemand } from "../core/placement/demand.ts";
import {
  createPlacementState,
  decidePlacement,
  type PlacementCommand,
  type PlacementEvent,
  type PlacementState,
} from "../core/placement/placement.ts";
import type { ClusterPort } from "../ports/cluster.ts";
import { createDecisionLogic, type DecisionActor } from "./decision_actor.ts";
import type { EngineDirectory } from "./engine_directory.ts";

/** Time between two placements, in ms. */
const tickIntervalMillis = 1_000;
/** Adapters whose demand a node tells the others. */
const publishedAdapters = 64;
/** Slots of an engine that placement leaves to loads on demand. */
const freeSlots = 1;

/** What the placement desk needs. */
export type PlacementDeskOptions = {
  readonly region: Region;
  readonly clock: Clock;
  readonly directory: EngineDirectory;
  readonly cluster: ClusterPort;
  /** Hour of the day at the sheet's place, from 0 to 24. */
  readonly readHour: () => number;
};

/** Counts demand, places adapters on the engines of the region, and tells the owners here. */
export class PlacementDesk {
  readonly #options: PlacementDeskOptions;
  readonly #actor: DecisionActor<PlacementState, PlacementEvent>;
  #cancelTick: Cancel | undefined;

  static create(options: PlacementDeskOptions): PlacementDesk {
    const desk = new PlacementDesk(options);
    desk.#scheduleTick();
    return desk;
  }

  private constructor(options: PlacementDeskOptions) {
    this.#options = options;
    this.#actor = createActor(
      createDecisionLogic<PlacementState, PlacementEvent, PlacementCommand>({
        initial: createPlacementState(options.clock.now()),
        decide: decidePlacement,
        clock: options.clock,
        // Owners are told once a tick, since ownership changes as well.
        perform: () => {},
      }),
    );
    this.#actor.start();
  }

  /** A request for the adapter arrived here. */
  noteDemand(adapter: AdapterKey): void {
    const hour = this.#options.readHour();
    this.#actor.send({ type: "request-seen", adapter, hour });
  }

  /** Another node told of its demand. */
  hearDemand(
    from: NodeId,
    rates: readonly (readonly [AdapterKey, number])[],
  ): void {
    this.#actor.send({ type: "demand-heard", from, rates });
  }

  /** Another configuration is in force. */
  useCatalog(catalog: Catalog): void {
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
    const engines = directory
      .views()
      .filter((view) => view.region === region && view.state !== "leaving")
      .map(({ engine, slots }) => ({
        engine,
        weight: slots,
        places: Math.max(1, slots - freeSlots),
      }));
    this.#actor.send({ type: "engines", engines });
    this.#actor.send({ type: "tick", hour: readHour() });
    const { demand, wanted } = this.#actor.getSnapshot().context;
    for (const [engine, owner] of directory.owners) {
      const adapters = wanted.get(engine);
      if (adapters === undefined || owner.state.placement === adapters)
        continue;
      owner.send({ type: "placement", adapters });
    }
    cluster.publishDemand(
      summarizeDemand(demand, { now: clock.now(), limit: publishedAdapters }),
    );
  }
}
