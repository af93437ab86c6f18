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

/** One number that grows with every change of a member's status; `left` is final. */
export function encodeStatus(member: {
  readonly incarnation: number;
  readonly state: MemberState;
}): number {
  if (member.state === "left") return Number.MAX_SAFE_INTEGER;
  return member.incarnation * 4 + memberStates.indexOf(member.state);
}

/** The member item that tells others about a record. */
export function describeMember(member: MemberRecord): Item {
  const { info, incarnation, state } = member;
  return { type: "member", info, incarnation, state };
}

/** Takes in news of a member; returns whether they were new. */
export function applyMember(
  turn: EventContext,
  news: Extract<Item, { type: "member" }>,
): boolean {
  const { state } = turn;
  const tag = hashText(news.info.node);
  if (tag === state.self.tag) return refute(turn, news);
  const known = state.members.get(tag);
  if (known === undefined) return addMember(turn, news);
  if (known.info.node !== news.info.node) {
    turn.commands.push({
      type: "count",
      metric: "gossip_tag_collisions_total",
    });
    return false;
  }
  if (encodeStatus(news) <= encodeStatus(known)) return false;
  known.incarnation = news.incarnation;
  setState(turn, { member: known, next: news.state });
  return true;
}

/** A node that hears that it is suspected or dead says that it is alive. */
function refute(
  turn: EventContext,
  news: Extract<Item, { type: "member" }>,
): boolean {
  const { self } = turn.state;
  if (news.info.node !== self.info.node || turn.state.left) return false;
  if (encodeStatus(news) <= encodeStatus(self) || news.state === "left")
    return false;
  self.incarnation = news.incarnation + 1;
  turn.commands.push({ type: "count", metric: "gossip_refutations_total" });
  return true;
}

function addMember(
  turn: EventContext,
  news: Extract<Item, { type: "member" }>,
): boolean {
  const { state, now } = turn;
  // A forgotten node that is gone must not come back from slower peers.
  if (news.state === "dead" || news.state === "left") return false;
  if (state.members.size >= maxMembers) {
    turn.commands.push({
      type: "count",
      metric: "gossip_members_refused_total",
    });
    return false;
  }
  const { info, incarnation } = news;
  const member: MemberRecord = {
    info,
    tag: hashText(info.node),
    incarnation,
    state: news.state,
    since: now,
    entries: new Map(),
    floor: 0,
  };
  state.members.set(member.tag, member);
  invalidateMemberCaches(state);
  reportState(turn, member);
  if (news.state === "alive") declarePredecessorsDead(turn, info);
  return true;
}

/** A node at the address of another one is its restart. */
function declarePredecessorsDead(turn: EventContext, info: MemberInfo): void {
  for (const member of turn.state.members.values()) {
    const isOther = member.info.node !== info.node;
    const isPresentThere =
      member.info.peers === info.peers && member.state !== "left";
    if (!isOther || !isPresentThere || member.state === "dead") continue;
    if (member.tag === turn.state.self.tag) continue;
    setState(turn, { member, next: "dead" });
  }
}

/** Changes the state of a member and tells the node. */
export function setState(
  turn: EventContext,
  change: { readonly member: MemberRecord; readonly next: MemberState },
): void {
  const { member, next } = change;
  const before = member.state;
  member.state = next;
  member.since = turn.now;
  invalidateMemberCaches(turn.state);
  turn.state.monitored.delete(member.tag);
  if (before !== next) reportState(turn, member);
}

function reportState(turn: EventContext, member: MemberRecord): void {
  const { info, state } = member;
  turn.commands.push({
    type: "notify",
    update: { type: "member", info, state },
  });
  turn.commands.push({
    type: "record",
    event: eventOf[state],
    node: info.node,
  });
}

/** Takes in a published value; returns whether it was new. */
export function applyEntry(
  turn: EventContext,
  item: Extract<Item, { type: "entry" }>,
): boolean {
  const member = turn.state.members.get(item.tag);
  if (member === undefined || member === turn.state.self) return false;
  const { entry, after } = item;
  const isNext = after >= 0 && after <= member.floor;
  if (isNext && entry.version > member.floor) member.floor = entry.version;
  const name = `${entry.topic}/${entry.key}`;
  const known = member.entries.get(name);
  if (known !== undefined && known.version >= entry.version) return false;
  if (known === undefined && member.entries.size >= maxEntriesPerNode) {
    turn.commands.push({
      type: "count",
      metric: "gossip_entries_refused_total",
    });
    return false;
  }
  member.entries.set(name, entry);
  trackEntryChange(turn.state, entry.topic);
  const { topic, key, value } = entry;
  const { node } = member.info;
  turn.commands.push({
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
    // An entry above the floor came by a push; earlier ones may be missing.
    const isContiguous = entry.version <= member.floor;
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

/** Forgets nodes that died or left long ago. */
export function removeExpiredMembers(
  turn: EventContext,
  tombstone: Millis,
): void {
  const { members } = turn.state;
  for (const [tag, member] of members) {
    const isGone = member.state === "dead" || member.state === "left";
    if (!isGone || turn.now - member.since <= tombstone) continue;
    members.delete(tag);
    invalidateMemberCaches(turn.state);
  }
}
