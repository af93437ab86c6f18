import { type Millis, millis } from "../clock.ts";
import type { DataCentre } from "../ids.ts";
import {
  type Item,
  type MemberInfo,
  type MemberRecord,
  type MembershipCommand,
  type MembershipSettings,
  syncBurstBytes,
  type Topic,
} from "./types.ts";

/** State of membership at one node; owned by one actor and updated in place. */
export type MembershipState = {
  readonly settings: MembershipSettings;
  readonly self: MemberRecord;
  readonly seeds: readonly string[];
  readonly members: Map<number, MemberRecord>;
  /** Last contact and probes of each monitored node, by tag. */
  readonly monitored: Map<number, NodeContact>;
  /** Last contact and next probe of each other data centre; kept at the relay. */
  readonly dataCentres: Map<DataCentre, DataCentreContact>;
  /** Probes on behalf of another node, by the probed node; the latest for each. */
  readonly relayedProbes: Map<
    number,
    { readonly requester: number; readonly at: Millis }
  >;
  /** Number of own values published. */
  version: number;
  /** Version up to which own values were shared. */
  sharedVersion: number;
  nextShareAt: Millis;
  nextSyncAt: Millis;
  nextJoinAt: Millis;
  syncBudget: number;
  syncRefilledAt: Millis;
  left: boolean;
  /** Alive nodes of the own data centre in ring order; undefined when it must be rebuilt. */
  ring: readonly MemberRecord[] | undefined;
  /** Latest urgent items, which probes and their answers carry as well. */
  recentItems: readonly { readonly item: Item; readonly at: Millis }[];
  /** Relay of each data centre, until a member changes. */
  readonly relays: Map<DataCentre, MemberRecord | undefined>;
  /** Incremented with every change that can affect the list of live nodes. */
  generation: number;
};

/** Last contact with one monitored node, and its probes. */
export type NodeContact = {
  lastContactAt: Millis;
  probeAt: Millis;
  indirectProbeAt: Millis;
};

/** Last contact with one other data centre, and its next probe. */
export type DataCentreContact = {
  lastContactAt: Millis;
  probeAt: Millis;
  unreachable: boolean;
};

/** State, time and random source of one event, and the commands that follow from it. */
export type EventContext = {
  readonly state: MembershipState;
  readonly now: Millis;
  readonly random: () => number;
  readonly commands: MembershipCommand[];
};

const fnvOffset = 0x811c9dc5;
const fnvPrime = 0x01000193;

/** Hash of a string to 32 bits. */
export function hashText(text: string): number {
  let hash = fnvOffset;
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), fnvPrime);
  }
  return mixHash(hash);
}

/** Final mix of a 32-bit hash. */
export function mixHash(value: number): number {
  let hash = value ^ (value >>> 16);
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** State of a node that knows only itself and its seeds. */
export function createMembershipState(options: {
  self: MemberInfo;
  seeds: readonly string[];
  settings: MembershipSettings;
  now: Millis;
}): MembershipState {
  const { self: info, seeds, settings, now } = options;
  const self: MemberRecord = {
    info,
    tag: hashText(info.node),
    incarnation: 1,
    state: "alive",
    since: now,
    entries: new Map(),
    contiguousVersion: 0,
  };
  return {
    settings,
    self,
    seeds: seeds.filter((seed) => seed !== info.peers),
    members: new Map([[self.tag, self]]),
    monitored: new Map(),
    dataCentres: new Map(),
    relayedProbes: new Map(),
    version: 0,
    sharedVersion: 0,
    nextShareAt: now,
    nextSyncAt: now,
    nextJoinAt: now,
    syncBudget: syncBurstBytes,
    syncRefilledAt: now,
    left: false,
    ring: undefined,
    recentItems: [],
    relays: new Map(),
    generation: 0,
  };
}

/** Drops derived lists after a member was added, removed or changed its state. */
export function invalidateMemberCaches(state: MembershipState): void {
  state.ring = undefined;
  state.relays.clear();
  state.generation++;
}

/** Tracks a published value; some topics decide which nodes count as live. */
export function trackEntryChange(state: MembershipState, topic: Topic): void {
  if (topic === "drain" || topic === "unreachable") state.generation++;
}

/** Whether a member takes part: alive, or suspected but not yet dead. */
export function isPresent(member: MemberRecord): boolean {
  return member.state === "alive" || member.state === "suspect";
}

/** Present nodes of the own data centre in ring order, including this node. */
export function ringOf(state: MembershipState): readonly MemberRecord[] {
  state.ring ??= [...state.members.values()]
    .filter(
      (member) =>
        isPresent(member) &&
        member.info.dataCentre === state.self.info.dataCentre,
    )
    .sort((a, b) => a.tag - b.tag);
  return state.ring;
}

/** Chooses up to `count` different members at random. */
export function pickRandom(
  members: readonly MemberRecord[],
  options: { count: number; random: () => number },
): MemberRecord[] {
  const left = [...members];
  const picked: MemberRecord[] = [];
  while (left.length > 0 && picked.length < options.count) {
    const index = Math.floor(options.random() * left.length);
    picked.push(...left.splice(index, 1));
  }
  return picked;
}

/** Earlier than any time. */
export const never = millis(Number.NEGATIVE_INFINITY);
