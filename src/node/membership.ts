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

/** Time between two looks at due probes, in ms. */
const tickPeriod = millis(100);
const drainKey = "self";

/** What membership needs from its node. */
export type MembershipSetup = {
  readonly clock: Clock;
  readonly datagrams: Datagrams;
  readonly self: MemberInfo;
  /** Peer addresses to ask for members. */
  readonly seeds: readonly string[];
  readonly random: () => number;
  readonly journal: Journal;
  readonly meter: Meter;
  readonly settings: MembershipSettings;
};

/** A member as the rest of the node sees it. */
export type Member = MemberInfo & {
  readonly state: MemberState;
  /** False while its data centre cannot be reached from here. */
  readonly reachable: boolean;
  /** Takes no new work. */
  readonly draining: boolean;
};

/** A value that a member publishes. */
export type PublishedValue = {
  readonly node: NodeId;
  readonly key: string;
  readonly value: JsonValue;
};

/** Nodes of the installation and what they publish. */
export class Membership {
  readonly #setup: MembershipSetup;
  readonly #actor: DecisionActor<MembershipState, MembershipEvent>;
  readonly #listeners: ((update: MembershipUpdate) => void)[] = [];
  #cancelTick: Cancel = () => {};
  #live:
    | { readonly generation: number; readonly nodes: readonly LiveNode[] }
    | undefined;

  /** Starts to look for members. */
  static create(setup: MembershipSetup): Membership {
    const membership = new Membership(setup);
    membership.#actor.start();
    setup.datagrams.onMessage((message, address) =>
      membership.#actor.send({ type: "received", message, address }),
    );
    membership.#tick();
    return membership;
  }

  private constructor(setup: MembershipSetup) {
    this.#setup = setup;
    const { clock, self, seeds, settings, random } = setup;
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

  /** Every known node, this one among them, also dead ones for a while. */
  members(): Member[] {
    const unreachable = this.#unreachableCentres();
    return [...this.#state().members.values()].map((member) => ({
      ...member.info,
      state: member.state,
      reachable: !unreachable.has(member.info.dataCentre),
      draining: isDraining(member),
    }));
  }

  /** Nodes that may own engines: alive, reachable and not draining; the same array until one changes. */
  liveNodes(): readonly LiveNode[] {
    const { generation } = this.#state();
    if (this.#live?.generation !== generation) {
      const nodes = this.#listLive();
      this.#live = { generation, nodes };
    }
    return this.#live.nodes;
  }

  /** Peer address of a node that is not gone. */
  findAddress(node: NodeId): string | undefined {
    for (const { info, state } of this.#state().members.values()) {
      if (info.node !== node) continue;
      return state === "dead" || state === "left" ? undefined : info.peers;
    }
    return undefined;
  }

  /** Values that present members, this node among them, publish under a topic. */
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

  /** Publishes a value of this node to all others; null withdraws it. */
  publish(topic: Topic, key: string, value: JsonValue): void {
    this.#actor.send({ type: "publish", topic, key, value });
  }

  /** Calls the listener with every change of a member or of a published value. */
  onUpdate(listener: (update: MembershipUpdate) => void): void {
    this.#listeners.push(listener);
  }

  /** Tells the others that this node takes no new work. */
  drain(): void {
    this.publish("drain", drainKey, true);
  }

  /** Tells the others that this node stops, and stops taking part. */
  leave(): void {
    this.#actor.send({ type: "leave" });
    this.stop();
  }

  /** Stops without a word, as a crash would. */
  stop(): void {
    this.#cancelTick();
    this.#actor.stop();
  }

  #state(): MembershipState {
    return this.#actor.getSnapshot().context;
  }

  #listLive(): LiveNode[] {
    return this.members()
      .filter((one) => one.state === "alive" && one.reachable && !one.draining)
      .map(({ node, dataCentre }) => ({ node, dataCentre }))
      .sort((a, b) => (a.node < b.node ? -1 : 1));
  }

  #unreachableCentres(): Set<string> {
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
    this.#cancelTick = this.#setup.clock.schedule(tickPeriod, () =>
      this.#tick(),
    );
  }

  #perform(command: MembershipCommand): void {
    const { datagrams, meter, journal } = this.#setup;
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
