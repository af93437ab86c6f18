import { type Clock, type Millis, millis } from "../core/clock.ts";
import {
  createEngineDecision,
  createEngineState,
  type EngineIdentity,
  type EnginePolicies,
  type EngineState,
  type EngineSummary,
  summarizeEngine,
} from "../core/engine/mod.ts";
import { type AdapterKey, brandNumber } from "../core/ids.ts";
import { EngineOwner, type PermitSource } from "../node/engine_owner.ts";
import type { SuspectListener } from "../node/suspect_listener.ts";
import type { AnswerSink, Submission } from "../ports/access.ts";
import type { StreamControl } from "../ports/engine.ts";
import { type Journal, silentMeter } from "../ports/journal.ts";
import type { EngineSimulator } from "../standins/engine_simulator.ts";
import { NodeClock } from "./node_clock.ts";
import { SimulatedLink } from "./simulated_link.ts";

/** Session lease as in section 7 of the design page, in ms. */
const LEASE_DURATION = 6_000;
const RENEWAL_INTERVAL = 2_000;
const LEASE_MARGIN = 1_000;

/** Maximum time between the writing of an order and its arrival at the engine, in ms. */
const MAX_ORDER_DELAY = 3_000;

/** Time from the last renewal of a paused owner to the takeover, counted here from the start of its pause, in ms. */
const TAKEOVER_DELAY = 9_000;

/** Options of a simulated engine and its owner. */
export type EngineHostOptions = {
  readonly identity: EngineIdentity;
  readonly model: EngineSimulator;
  readonly clock: Clock;
  readonly policies: EnginePolicies;
  readonly random: () => number;
  readonly permits: PermitSource;
  readonly suspects: SuspectListener;
  readonly journal: Journal;
  readonly drawDelay: () => number;
};

type OwnerInstance = {
  readonly owner: EngineOwner;
  readonly node: NodeClock;
  readonly fence: number;
  /** Another owner has a higher fencing number; the node notices at its next renewal. */
  superseded: boolean;
};

/** Simulated engine with its owner and the lease that determines the owner. */
export class EngineHost {
  readonly model: EngineSimulator;
  readonly #options: EngineHostOptions;
  #instance: OwnerInstance;
  #placement: readonly AdapterKey[] = [];
  /** Number of ownership changes. */
  ownerChanges = 0;

  private constructor(options: EngineHostOptions) {
    this.#options = options;
    this.model = options.model;
    this.#instance = this.#createOwner(1);
  }

  static create(options: EngineHostOptions): EngineHost {
    return new EngineHost(options);
  }

  get state(): EngineState {
    return this.#instance.owner.state;
  }

  /** Whether the node of the owner is paused. */
  get paused(): boolean {
    return this.#instance.node.paused;
  }

  summarize(): EngineSummary {
    return summarizeEngine(this.state, this.#options.clock.now());
  }

  submit(submission: Submission, sink: AnswerSink): StreamControl {
    const { owner, node } = this.#instance;
    let control: StreamControl | undefined;
    node.run(() => {
      control = owner.submit(submission, sink);
    });
    return {
      cancel: () => node.run(() => control?.cancel()),
      pause: () => control?.pause(),
      resume: () => control?.resume(),
    };
  }

  grantPermit(): void {
    const { owner, node } = this.#instance;
    node.run(() => owner.send({ type: "permit-granted" }));
  }

  /** Sets the adapters that placement assigns to the engine. */
  place(adapters: readonly AdapterKey[]): void {
    const { owner, node } = this.#instance;
    this.#placement = adapters;
    node.run(() => owner.send({ type: "placement", adapters }));
  }

  /** Pauses the owner for `duration` ms; another owner takes over if the pause exceeds `TAKEOVER_DELAY`. */
  pauseOwner(duration: number): void {
    const paused = this.#instance;
    paused.node.pause(duration);
    this.#options.clock.schedule(millis(TAKEOVER_DELAY), () => {
      if (paused === this.#instance && paused.node.paused) this.#replaceOwner();
    });
  }

  /** Planned ownership change: the old owner stops sending orders first. */
  handOver(): void {
    if (this.#instance.node.paused) return;
    const old = this.#instance;
    old.owner.send({ type: "ownership-lost" });
    this.#replaceOwner();
  }

  #replaceOwner(): void {
    this.ownerChanges++;
    this.#instance.superseded = true;
    this.#instance = this.#createOwner(this.#instance.fence + 1);
  }

  #createOwner(fence: number): OwnerInstance {
    const { clock, identity, model, drawDelay, ...rest } = this.#options;
    const node = NodeClock.create(clock);
    const link = SimulatedLink.create({
      engine: model,
      clock,
      node,
      drawDelay,
    });
    const owner = EngineOwner.create({
      identity,
      initial: createEngineState(identity),
      decide: createEngineDecision(rest.policies, rest.random),
      clock: node,
      link,
      permits: rest.permits,
      suspects: rest.suspects,
      journal: rest.journal,
      meter: silentMeter,
    });
    const instance: OwnerInstance = { owner, node, fence, superseded: false };
    const settleDelay =
      fence === 1 ? 0 : LEASE_DURATION + LEASE_MARGIN + MAX_ORDER_DELAY;
    this.#renew(instance, millis(clock.now() + settleDelay));
    owner.send({ type: "placement", adapters: this.#placement });
    return instance;
  }

  /** Renews the lease every `RENEWAL_INTERVAL` ms until another owner has taken over. */
  #renew(instance: OwnerInstance, settledAt: Millis): void {
    const { clock } = this.#options;
    if (instance.superseded) {
      instance.owner.send({ type: "ownership-lost" });
      return;
    }
    const until = millis(clock.now() + LEASE_DURATION - LEASE_MARGIN);
    instance.owner.send({
      type: "ownership",
      fence: brandNumber(instance.fence),
      orderUntil: until,
      dispatchUntil: until,
      settledAt,
    });
    instance.node.schedule(millis(RENEWAL_INTERVAL), () =>
      this.#renew(instance, settledAt),
    );
  }
}
