import { createActor } from "xstate";
import { type Cancel, type Clock, millis } from "../core/clock.ts";
import type { NodeId } from "../core/ids.ts";
import type { LiveNode } from "../core/lease/state.ts";
import { createMembershipDecision } from "../core/membership/membership_decision.ts";
import {
  createMembershipState,
  type MembershipState,
} from "../core/membership/state.ts";
import type {
  JsonValue,
  MemberInfo,
  MemberRecord,
  MemberState,
  MembershipCommand,
  MembershipEvent,
  MembershipSettings,
  MembershipUpdate,
  Topic,
} from "../core/membership/types.ts";
import type { Datagrams } from "../ports/datagrams.ts";
import type { Journal, Meter } from "../ports/journal.ts";
import { createDecisionLogic, type DecisionActor } from "./decision_actor.ts";

/** Interval at which due probes are sent, in ms. */
const tickPeriod = millis(100);
const drainKey = "self";

/** Options of the membership of a node. */
export type MembershipOptions = {
  readonly clock: Clock;
  readonly datagrams: Datagrams;
  readonly self: MemberInfo;
  /** Peer addresses through which the node joins. */
  readonly seeds: readonly string[];
  readonly random: () => number;
  readonly journal: Journal;
  readonly meter: Meter;
  readonly settings: MembershipSettings;
};

/** A member as reported to the rest of the node. */
export type Member = MemberInfo & {
  readonly state: MemberState;
  /** False while its data centre is unreachable from this node's data centre. */
  readonly reachable: boolean;
  /** The member accepts no new work. */
  readonly draining: boolean;
};

/** A value that a member publishes. */
export type PublishedValue = {
  readonly node: NodeId;
  readonly key: string;
  readonly value: JsonValue;
};

/** Members of the installation and the values that they publish by gossip. */
export class Membership {
  readonly #options: MembershipOptions;
  readonly #actor: DecisionActor<MembershipState, MembershipEvent>;
  readonly #listeners: ((update: MembershipUpdate) => void)[] = [];
  #cancelTick: Cancel = () => {};
  #liveCache:
    | { readonly generation: number; readonly nodes: readonly LiveNode[] }
    | undefined;

  /** Creates the membership and starts to join through the seeds. */
  static create(options: MembershipOptions): Membership {
    const membership = new Membership(options);
    membership.#actor.start();
    options.datagrams.onMessage((message, address) =>
      membership.#actor.send({ type: "received", message, address }),
    );
    membership.#tick();
    return membership;
  }

  private constructor(options: MembershipOptions) {
    this.#options = options;
    const { clock, self, seeds, settings, random } = options;
    const logic = createDecisionLogic<
      MembershipState,
      MembershipEvent,
      MembershipCommand
    >({
      initial: createMembershipState({
        self,
        seeds,
        settings,
        now: clock.now(),
      }),
      decide: createMembershipDecision({ random }),
      perform: (command) => this.#perform(command),
      clock,
    });
    this.#actor = createActor(logic);
  }

  /** All known nodes, including this one and, for a limited time, dead ones. */
  members(): Member[] {
    const unreachable = this.#unreachableDataCentres();
    return [...this.#state().members.values()].map((member) => ({
      ...member.info,
      state: member.state,
      reachable: !unreachable.has(member.info.dataCentre),
      draining: isDraining(member),
    }));
  }

  /** Nodes that may own engines: alive, reachable and not draining. Returns the same array until a member changes. */
  liveNodes(): readonly LiveNode[] {
    const { generation } = this.#state();
    if (this.#liveCache?.generation !== generation) {
      const nodes = this.#listLive();
      this.#liveCache = { generation, nodes };
    }
    return this.#liveCache.nodes;
  }

  /** Peer address of a node; undefined if the node is unknown, dead or has left. */
  findAddress(node: NodeId): string | undefined {
    for (const { info, state } of this.#state().members.values()) {
      if (info.node !== node) continue;
      return state === "dead" || state === "left" ? undefined : info.peers;
    }
    return undefined;
  }

  /** Values that this node and all members that are neither dead nor left publish under a topic. */
  values(topic: Topic): PublishedValue[] {
    const values: PublishedValue[] = [];
    for (const member of this.#state().members.values()) {
      if (member.state === "dead" || member.state === "left") continue;
      for (const entry of member.entries.values()) {
        if (entry.topic !== topic || entry.value === null) continue;
        const { key, value } = entry;
        values.push({ node: member.info.node, key, value });
      }
    }
    return values;
  }

  /** Publishes a value of this node to all other nodes; null withdraws it. */
  publish(topic: Topic, key: string, value: JsonValue): void {
    this.#actor.send({ type: "publish", topic, key, value });
  }

  /** Registers a listener for changes of members and of published values. */
  onUpdate(listener: (update: MembershipUpdate) => void): void {
    this.#listeners.push(listener);
  }

  /** Announces that this node accepts no new work. */
  drain(): void {
    this.publish("drain", drainKey, true);
  }

  /** Announces that this node leaves, then stops. */
  leave(): void {
    this.#actor.send({ type: "leave" });
    this.stop();
  }

  /** Stops without an announcement, like a crash. */
  stop(): void {
    this.#cancelTick();
    this.#actor.stop();
  }

  #state(): MembershipState {
    return this.#actor.getSnapshot().context;
  }

  #listLive(): LiveNode[] {
    return this.members()
      .filter(
        (member) =>
          member.state === "alive" && member.reachable && !member.draining,
      )
      .map(({ node, dataCentre }) => ({ node, dataCentre }))
      .sort((a, b) => (a.node < b.node ? -1 : 1));
  }

  #unreachableDataCentres(): Set<string> {
    const { self, members } = this.#state();
    const centres = new Set<string>();
    for (const member of members.values()) {
      if (member.info.dataCentre !== self.info.dataCentre) continue;
      if (member.state !== "alive") continue;
      for (const { topic, key, value } of member.entries.values()) {
        if (topic === "unreachable" && value === true) centres.add(key);
      }
    }
    return centres;
  }

  #tick(): void {
    this.#actor.send({ type: "tick" });
    this.#cancelTick = this.#options.clock.schedule(tickPeriod, () =>
      this.#tick(),
    );
  }

  #perform(command: MembershipCommand): void {
    const { datagrams, meter, journal } = this.#options;
    switch (command.type) {
      case "send":
        datagrams.send(command.to, command.message);
        return;
      case "notify":
        for (const listener of this.#listeners) listener(command.update);
        return;
      case "count":
        meter.count(command.metric);
        return;
      case "record":
        journal.record(command.event, { member: command.node });
        return;
    }
  }
}

function isDraining(member: MemberRecord): boolean {
  return member.entries.get(`drain/${drainKey}`)?.value === true;
}
