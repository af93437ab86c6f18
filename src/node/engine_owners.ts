import type { Clock } from "../core/clock.ts";
import {
  createEngineDecision,
  createEngineState,
  type EngineLimits,
  type EnginePolicies,
} from "../core/engine/mod.ts";
import type { EngineId } from "../core/ids.ts";
import type { OwnershipEvent } from "../core/lease/state.ts";
import type { EngineLink } from "../ports/engine.ts";
import type { Journal, Meter } from "../ports/journal.ts";
import type { EngineDirectory } from "./engine_directory.ts";
import { EngineOwner, type PermitSource } from "./engine_owner.ts";
import type { SuspectListener } from "./suspect_listener.ts";

/** An engine in the node's data centre. */
export type LocalEngine = {
  readonly engine: EngineId;
  readonly limits: EngineLimits;
  readonly link: EngineLink;
};

/** Options of the engine owners of a node. */
export type EngineOwnersOptions = {
  readonly engines: readonly LocalEngine[];
  readonly directory: EngineDirectory;
  readonly policies: EnginePolicies;
  readonly permits: PermitSource;
  readonly suspects: SuspectListener;
  readonly clock: Clock;
  readonly random: () => number;
  readonly journal: Journal;
  readonly meter: Meter;
};

/** Creates the owner of an engine when the node first acquires it, and passes later events on to that owner. */
export class EngineOwners {
  readonly #options: EngineOwnersOptions;
  readonly #leaving = new Set<EngineId>();
  #draining = false;

  static create(options: EngineOwnersOptions): EngineOwners {
    return new EngineOwners(options);
  }

  private constructor(options: EngineOwnersOptions) {
    this.#options = options;
  }

  /** Sends a change of ownership to the owner of the engine, which is created if necessary. */
  handleOwnership(engine: EngineId, event: OwnershipEvent): void {
    const { directory, journal } = this.#options;
    const known = directory.owners.get(engine);
    if (event.type === "ownership-lost") {
      journal.record("engineReleased", { engine });
      known?.send(event);
      return;
    }
    const owner = known ?? this.#createOwner(engine);
    if (owner?.state.ownership?.fence !== event.fence) {
      journal.record("engineOwned", { engine, fence: event.fence });
    }
    owner?.send(event);
  }

  /** Passes a permit on to the owner of the engine; releases it if the engine has no owner here. */
  handleGrant(engine: EngineId): void {
    const { directory, permits } = this.#options;
    const owner = directory.owners.get(engine);
    if (owner === undefined) permits.release(engine, false);
    else owner.send({ type: "permit-granted" });
  }

  /** Stops new work for an engine whose server is leaving. */
  markLeaving(engine: EngineId): void {
    this.#leaving.add(engine);
    this.#options.directory.owners.get(engine)?.send({ type: "leaving" });
  }

  /** Refuses queued and new work at all engines; running streams continue. */
  drain(): void {
    this.#draining = true;
    for (const owner of this.#options.directory.owners.values()) {
      owner.send({ type: "drain" });
    }
  }

  #createOwner(engine: EngineId): EngineOwner | undefined {
    const options = this.#options;
    const localEngine = options.engines.find(
      (candidate) => candidate.engine === engine,
    );
    if (localEngine === undefined) return undefined;
    const identity = { engine, limits: localEngine.limits };
    const owner = EngineOwner.create({
      ...options,
      identity,
      initial: createEngineState(identity),
      decide: createEngineDecision(options.policies, options.random),
      link: localEngine.link,
    });
    options.directory.add(engine, owner);
    if (this.#leaving.has(engine)) owner.send({ type: "leaving" });
    if (this.#draining) owner.send({ type: "drain" });
    return owner;
  }
}
