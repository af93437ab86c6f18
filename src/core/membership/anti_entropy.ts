import { millis } from "../clock.ts";
import { send, sendTo } from "./dissemination.ts";
import { describeMember, encodeStatus, listEntriesAfter } from "./members.ts";
import { isRelay, otherDataCentres, relayOf } from "./probing.ts";
import { estimateBytes, headerBytes } from "./sizes.ts";
import {
  type EventContext,
  hashText,
  isPresent,
  mixHash,
  pickRandom,
  ringOf,
} from "./state.ts";
import { type Item, type MemberRecord, syncBurstBytes } from "./types.ts";

/** Maximum number of entries of one node in the answer to one message. */
const maxAnswerEntries = 64;
/** Maximum number of data centres whose nodes are compared in one exchange. */
const maxComparedDataCentres = 2;
/** Number of members sent as further peers to a node whose `compare` message cannot be answered in full. */
const suggestedPeers = 3;
/** Time after its start for which a node may use more anti-entropy traffic, in ms. */
const joinTime = 60_000;
/** Factor by which the limit of the anti-entropy traffic is raised in that time. */
const joinFactor = 6;
/** Unused budget that a node may accumulate after that time, in seconds of its rate. */
const burstSeconds = 4;
/** Factor by which the interval to the next round is shortened after a round that brought new members. */
const earlySyncFactor = 4;
/** Time between two attempts to reach a seed while no member is known, in ms. */
const seedRetry = millis(500);
/** Time between two anti-entropy exchanges with a seed once members are known, in ms. */
const seedRefresh = millis(30_000);

/** Digest of one member's record. */
function hashMember(member: MemberRecord): number {
  const status = mixHash(encodeStatus(member) | 0);
  return mixHash(member.tag ^ status ^ mixHash(member.contiguousVersion + 1));
}

/** Digests of all data centres. */
function hashDataCentres(context: EventContext): Map<number, number> {
  const hashes = new Map<number, number>();
  for (const member of context.state.members.values()) {
    // Dead and left members are removed at different times at each node.
    if (!isPresent(member)) continue;
    const centre = hashText(member.info.dataCentre);
    hashes.set(centre, (hashes.get(centre) ?? 0) ^ hashMember(member));
  }
  return hashes;
}

function listDataCentreItems(context: EventContext): Item[] {
  return [...hashDataCentres(context)].map(([centre, hash]) => ({
    type: "centre",
    centre,
    hash,
  }));
}

/** Starts an anti-entropy round with a random peer and, on the relay, with another data centre. */
export function startSyncRounds(context: EventContext): void {
  const { state, now, random } = context;
  contactSeed(context);
  if (now < state.nextSyncAt) return;
  state.nextSyncAt = millis(
    now + state.settings.syncInterval * (0.9 + 0.2 * random()),
  );
  const items = listDataCentreItems(context);
  const peers = ringOf(state).filter((member) => member !== state.self);
  const targets = pickRandom(peers, { count: 1, random });
  if (isRelay(context)) {
    const others = otherDataCentres(context);
    const other = others[Math.floor(random() * others.length)];
    const relay = other === undefined ? undefined : relayOf(context, other);
    if (relay !== undefined) targets.push(relay);
  }
  for (const to of targets) send(context, { to, purpose: "compare", items });
}

/** Schedules the next round earlier, after one that brought unknown members. */
export function scheduleEarlySync(context: EventContext): void {
  const { state, now } = context;
  const soon = now + state.settings.syncInterval / earlySyncFactor;
  state.nextSyncAt = millis(Math.min(state.nextSyncAt, soon));
}

/** Compares with a random seed: often while no member is known, later to heal partitions. */
function contactSeed(context: EventContext): void {
  const { state, now, random } = context;
  if (now < state.nextJoinAt || state.seeds.length === 0) return;
  const isAlone = state.members.size <= 1;
  const wait = isAlone ? seedRetry : seedRefresh * (0.5 + random());
  state.nextJoinAt = millis(now + wait);
  const seed = state.seeds[Math.floor(random() * state.seeds.length)];
  if (seed === undefined) return;
  const items = [describeMember(state.self), ...listDataCentreItems(context)];
  sendTo(context, { address: seed, purpose: "compare", items });
}

/** Answers a `compare` message with digests of the nodes in data centres whose digests differ. */
export function handleCompare(
  context: EventContext,
  message: { readonly items: readonly Item[]; readonly address: string },
): void {
  const own = hashDataCentres(context);
  const theirs = new Map<number, number>();
  for (const item of message.items) {
    if (item.type === "centre") theirs.set(item.centre, item.hash);
  }
  const differing = new Set(
    [...own.keys(), ...theirs.keys()].filter(
      (centre) => own.get(centre) !== theirs.get(centre),
    ),
  );
  const chosen = chooseDataCentres(context, differing);
  const items: Item[] = [];
  for (const member of context.state.members.values()) {
    if (!isPresent(member)) continue;
    if (!chosen.has(hashText(member.info.dataCentre))) continue;
    items.push(describeOrigin(member, false));
  }
  const kept = limitToSyncBudget(context, items);
  if (kept.length === 0) return;
  const { address } = message;
  const others = kept.length < items.length ? selectPeers(context) : [];
  sendTo(context, { address, purpose: "sync", items: [...others, ...kept] });
}

/** A few members that a joining node can compare with when this one is over its budget. */
function selectPeers(context: EventContext): Item[] {
  const { state, random } = context;
  const present = [...state.members.values()].filter(isPresent);
  return pickRandom(present, { count: suggestedPeers, random }).map(
    describeMember,
  );
}

/** Data centres to compare: the own one first, since its nodes change most. */
function chooseDataCentres(
  context: EventContext,
  differing: Set<number>,
): Set<number> {
  const own = hashText(context.state.self.info.dataCentre);
  const others = [...differing].filter((centre) => centre !== own);
  const start = Math.floor(context.random() * others.length);
  const rotated = [...others.slice(start), ...others.slice(0, start)];
  const ordered = differing.has(own) ? [own, ...rotated] : rotated;
  return new Set(ordered.slice(0, maxComparedDataCentres));
}

function describeOrigin(member: MemberRecord, requestsUpdate: boolean): Item {
  const { tag, contiguousVersion } = member;
  return {
    type: "origin",
    tag,
    status: encodeStatus(member),
    contiguousVersion,
    requestsUpdate,
  };
}

/** Sends the records that are newer here than the digests, and requests those that are newer there. */
export function handleSync(
  context: EventContext,
  message: { readonly items: readonly Item[]; readonly address: string },
): void {
  const answer: Item[] = [];
  for (const item of message.items) {
    if (item.type !== "origin") continue;
    const member = context.state.members.get(item.tag);
    answer.push(...compareOrigin(member, item));
  }
  const items = limitToSyncBudget(context, answer);
  if (items.length === 0) return;
  sendTo(context, { address: message.address, purpose: "sync", items });
}

function compareOrigin(
  member: MemberRecord | undefined,
  theirs: Extract<Item, { type: "origin" }>,
): Item[] {
  if (member === undefined) {
    const { tag } = theirs;
    const unknown = {
      type: "origin",
      tag,
      status: 0,
      contiguousVersion: 0,
      requestsUpdate: true,
    };
    return theirs.requestsUpdate ? [] : [unknown as Item];
  }
  const items: Item[] = [];
  const status = encodeStatus(member);
  if (status > theirs.status) items.push(describeMember(member));
  if (member.contiguousVersion > theirs.contiguousVersion) {
    const options = {
      version: theirs.contiguousVersion,
      limit: maxAnswerEntries,
    };
    items.push(...listEntriesAfter(member, options));
  }
  const isNewerThere =
    theirs.status > status ||
    theirs.contiguousVersion > member.contiguousVersion;
  if (isNewerThere && !theirs.requestsUpdate)
    items.push(describeOrigin(member, true));
  return items;
}

/** Whether the order of the items matters: entries of one node build on each other. */
function hasEntries(items: readonly Item[]): boolean {
  return items.some((item) => item.type === "entry");
}

/** Limits the items to the anti-entropy traffic budget; the rest follows in a later round. */
function limitToSyncBudget(
  context: EventContext,
  items: readonly Item[],
): readonly Item[] {
  const { state, now } = context;
  const isJoining = now - state.self.since < joinTime;
  const rate = state.settings.syncBytesPerSecond * (isJoining ? joinFactor : 1);
  const refill = ((now - state.syncRefilledAt) * rate) / 1_000;
  state.syncRefilledAt = now;
  const maxBudget = isJoining ? syncBurstBytes : rate * burstSeconds;
  state.syncBudget = Math.min(maxBudget, state.syncBudget + refill);
  state.syncBudget -= headerBytes;
  const kept: Item[] = [];
  // A random start gives different peers different items when not all of them fit.
  const start = Math.floor(context.random() * items.length);
  const rotated = hasEntries(items)
    ? items
    : [...items.slice(start), ...items.slice(0, start)];
  for (const item of rotated) {
    const cost = estimateBytes(item);
    if (cost > state.syncBudget) break;
    state.syncBudget -= cost;
    kept.push(item);
  }
  if (kept.length < items.length) {
    context.commands.push({
      type: "count",
      metric: "gossip_sync_deferred_total",
    });
  }
  return kept;
}
