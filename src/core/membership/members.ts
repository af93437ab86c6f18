import type { Millis } from "../clock.ts";
import type { EventName } from "../observe/events.ts";
import {
  type EventContext,
  hashText,
  invalidateMemberCaches,
  trackEntryChange,
} from "./state.ts";
import {
  type Entry,
  type Item,
  type MemberInfo,
  type MemberRecord,
  type MemberState,
  maxEntriesPerNode,
  maxMembers,
  memberStates,
} from "./types.ts";

const eventOf: Record<MemberState, EventName> = {
  alive: "memberJoined",
  suspect: "memberSuspected",
  dead: "memberDead",
  left: "memberLeft",
};

/** Number that grows with every change of a member's state or incarnation; `left` is final. */
export function encodeStatus(member: {
  readonly incarnation: number;
  readonly state: MemberState;
}): number {
  if (member.state === "left") return Number.MAX_SAFE_INTEGER;
  return member.incarnation * 4 + memberStates.indexOf(member.state);
}

/** Item that carries a member's record to other nodes. */
export function describeMember(member: MemberRecord): Item {
  const { info, incarnation, state } = member;
  return { type: "member", info, incarnation, state };
}

/** Applies an update of a member; returns whether it was new. */
export function applyMember(
  context: EventContext,
  update: Extract<Item, { type: "member" }>,
): boolean {
  const { state } = context;
  const tag = hashText(update.info.node);
  if (tag === state.self.tag) return refute(context, update);
  const known = state.members.get(tag);
  if (known === undefined) return addMember(context, update);
  if (known.info.node !== update.info.node) {
    context.commands.push({
      type: "count",
      metric: "gossip_tag_collisions_total",
    });
    return false;
  }
  if (encodeStatus(update) <= encodeStatus(known)) return false;
  known.incarnation = update.incarnation;
  setState(context, { member: known, next: update.state });
  return true;
}

/** Refutes a suspicion or death of this node with a higher incarnation. */
function refute(
  context: EventContext,
  update: Extract<Item, { type: "member" }>,
): boolean {
  const { self } = context.state;
  if (update.info.node !== self.info.node || context.state.left) return false;
  if (encodeStatus(update) <= encodeStatus(self) || update.state === "left")
    return false;
  self.incarnation = update.incarnation + 1;
  context.commands.push({ type: "count", metric: "gossip_refutations_total" });
  return true;
}

function addMember(
  context: EventContext,
  update: Extract<Item, { type: "member" }>,
): boolean {
  const { state, now } = context;
  // A removed member must not come back from peers that still remember it.
  if (update.state === "dead" || update.state === "left") return false;
  if (state.members.size >= maxMembers) {
    context.commands.push({
      type: "count",
      metric: "gossip_members_refused_total",
    });
    return false;
  }
  const { info, incarnation } = update;
  const member: MemberRecord = {
    info,
    tag: hashText(info.node),
    incarnation,
    state: update.state,
    since: now,
    entries: new Map(),
    contiguousVersion: 0,
  };
  state.members.set(member.tag, member);
  invalidateMemberCaches(state);
  reportState(context, member);
  if (update.state === "alive") declarePredecessorsDead(context, info);
  return true;
}

/** Declares the earlier runs at a node's address dead: a new node there is a restart. */
function declarePredecessorsDead(
  context: EventContext,
  info: MemberInfo,
): void {
  for (const member of context.state.members.values()) {
    const isOther = member.info.node !== info.node;
    const isPresentThere =
      member.info.peers === info.peers && member.state !== "left";
    if (!isOther || !isPresentThere || member.state === "dead") continue;
    if (member.tag === context.state.self.tag) continue;
    setState(context, { member, next: "dead" });
  }
}

/** Changes the state of a member and reports it. */
export function setState(
  context: EventContext,
  change: { readonly member: MemberRecord; readonly next: MemberState },
): void {
  const { member, next } = change;
  const before = member.state;
  member.state = next;
  member.since = context.now;
  invalidateMemberCaches(context.state);
  context.state.monitored.delete(member.tag);
  if (before !== next) reportState(context, member);
}

function reportState(context: EventContext, member: MemberRecord): void {
  const { info, state } = member;
  context.commands.push({
    type: "notify",
    update: { type: "member", info, state },
  });
  context.commands.push({
    type: "record",
    event: eventOf[state],
    node: info.node,
  });
}

/** Applies a published value; returns whether it was new. */
export function applyEntry(
  context: EventContext,
  item: Extract<Item, { type: "entry" }>,
): boolean {
  const member = context.state.members.get(item.tag);
  if (member === undefined || member === context.state.self) return false;
  const { entry, after } = item;
  const isNext = after >= 0 && after <= member.contiguousVersion;
  if (isNext && entry.version > member.contiguousVersion)
    member.contiguousVersion = entry.version;
  const name = `${entry.topic}/${entry.key}`;
  const known = member.entries.get(name);
  if (known !== undefined && known.version >= entry.version) return false;
  if (known === undefined && member.entries.size >= maxEntriesPerNode) {
    context.commands.push({
      type: "count",
      metric: "gossip_entries_refused_total",
    });
    return false;
  }
  member.entries.set(name, entry);
  trackEntryChange(context.state, entry.topic);
  const { topic, key, value } = entry;
  const { node } = member.info;
  context.commands.push({
    type: "notify",
    update: { type: "entry", node, topic, key, value },
  });
  return true;
}

/** Entries of a member above a version as items, oldest first. */
export function listEntriesAfter(
  member: MemberRecord,
  options: { readonly version: number; readonly limit: number },
): Item[] {
  const newer = [...member.entries.values()]
    .filter((entry) => entry.version > options.version)
    .sort((a, b) => a.version - b.version)
    .slice(0, options.limit);
  let after = options.version;
  return newer.map((entry: Entry) => {
    // An entry above that version came in a push; earlier ones may be missing.
    const isContiguous = entry.version <= member.contiguousVersion;
    const item = {
      type: "entry",
      tag: member.tag,
      after: isContiguous ? after : -1,
      entry,
    } as const;
    after = entry.version;
    return item;
  });
}

/** Removes members that have been dead or left for the tombstone retention. */
export function removeExpiredMembers(
  context: EventContext,
  tombstone: Millis,
): void {
  const { members } = context.state;
  for (const [tag, member] of members) {
    const isGone = member.state === "dead" || member.state === "left";
    if (!isGone || context.now - member.since <= tombstone) continue;
    members.delete(tag);
    invalidateMemberCaches(context.state);
  }
}
