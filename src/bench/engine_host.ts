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
import {
  EngineOwner,
  type PermitSource,
  type SuspectListener,
} from "../node/engine_owner.ts";
import type { AnswerSink, Submission } from "../ports/access.ts";
import type { StreamControl } from "../ports/engine.ts";
import { type Journal, silentMeter } from "../ports/journal.ts";
import type { EngineModel } from "../standins/engine_model.ts";
import { NodeClock } from "./node_clock.ts";
import { SimulatedLink } from "./simulated_link.ts";

/** Session lease as in section 7 of the design, in ms. */
const LEASE = 6_000;
const RENEWAL = 2_000;
const MARGIN = 1_000;

/** Longest time from the writing of an order to its arrival, in ms. */
const LONGEST_ORDER = 3_000;

/** Time between the last renewal of a paused owner and the takeover, in ms. */
const TAKEOVER = 9_000;

/** What a simulated engine needs. */
export type EngineHostOptions = {
  readonly identity: EngineIdentity;
  readonly model: EngineModel;
  readonly clock: Clock;
  readonly policies: EnginePolicies;
  readonly random: () => number;
  readonly permits: PermitSource;
  readonly suspects: SuspectListener;
  readonly journal: Journal;
  readonly drawDelay: () => number;
};

type Tenancy = {
  readonly owner: EngineOwner;
  readonly node: NodeClock;
  readonly fence: number;
  /** Another owner has a higher fencing number; the node learns of it when it renews. */
  replaced: boolean;
};

/** Engine model with its owner, and the lease that decides who the owner is. */
export class EngineHost {
  readonly model: EngineModel;
  readonly #options: EngineHostOptions;
  #tenancy: Tenancy;
  #placement: readonly AdapterKey[] = [];
  /** Number of changes of owner. */
  ownerChanges = 0;

  private constructor(options: EngineHostOptions) {
    this.#options = options;
    this.model = options.model;
    this.#tenancy = this.#createTenancy(1);
  }

  static create(options: EngineHostOptions): EngineHost {
    return new EngineHost(options);
  }

  get state(): EngineState {
    return this.#tenancy.owner.state;
  }

  /** The owner does not react. */
  get paused(): boolean {
    return this.#tenancy.node.paused;
  }

  summarize(): EngineSummary {
    return summarizeEngine(this.state, this.#options.clock.now());
  }

  submit(submission: Submission, sink: AnswerSink): StreamControl {
    const { owner, node } = this.#tenancy;
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
    const { owner, node } = this.#tenancy;
    node.run(() => owner.send({ type: "permit-granted" }));
  }

  /** Names the adapters that placement wants on the engine. */
  setPlacement(adapters: readonly AdapterKey[]): void {
    const { owner, node } = this.#tenancy;
    this.#placement = adapters;
    node.run(() => owner.send({ type: "placement", adapters }));
  }

  /** Stops the owner for `duration` ms; another takes over if that is long. */
  pauseOwner(duration: number): void {
    const paused = this.#tenancy;
    paused.node.pause(duration);
    this.#options.clock.schedule(millis(TAKEOVER), () => {
      if (paused === this.#tenancy && paused.node.paused) this.#changeOwner();
    });
  }

  /** Planned change of owner: the old one stops giving orders first. */
  handOver(): void {
    if (this.#tenancy.node.paused) return;
    const old = this.#tenancy;
    old.owner.send({ type: "ownership-lost" });
    this.#changeOwner();
  }

  #changeOwner(): void {
    this.ownerChanges++;
    this.#tenancy.replaced = true;
    this.#tenancy = this.#createTenancy(this.#tenancy.fence + 1);
  }

  #createTenancy(fence: number): Tenancy {
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
    const tenancy: Tenancy = { owner, node, fence, replaced: false };
    const first = fence === 1 ? 0 : LEASE + MARGIN + LONGEST_ORDER;
    this.#renew(tenancy, millis(clock.now() + first));
    owner.send({ type: "placement", adapters: this.#placement });
    return tenancy;
  }

  /** Renews the lease every `RENEWAL` ms until another owner has taken over. */
  #renew(tenancy: Tenancy, settledAt: Millis): void {
    const { clock } = this.#options;
    if (tenancy.replaced) {
      tenancy.owner.send({ type: "ownership-lost" });
      return;
    }
    const until = millis(clock.now() + LEASE - MARGIN);
    tenancy.owner.send({
      type: "ownership",
      fence: brandNumber(tenancy.fence),
      orderUntil: until,
      dispatchUntil: until,
      settledAt,
    });
    tenancy.node.schedule(millis(RENEWAL), () =>
      this.#renew(tenancy, settledAt),
    );
  }
}
