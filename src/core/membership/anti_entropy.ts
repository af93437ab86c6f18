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

/** Entries of one node sent in answer to one message at most. */
const maxAnswerEntries = 64;
/** Data centres whose nodes are compared in one exchange at most. */
const maxComparedDataCentres = 2;
/** Members named to a node whose comparison cannot be answered in full. */
const suggestedPeers = 3;
/** Time after its start in which a node may use more traffic for comparisons, in ms. */
const joinTime = 60_000;
const joinFactor = 6;
/** Unused allowance that a node keeps after its start, in s. */
const burstSeconds = 4;
/** How much sooner the next comparison follows one that brought new members. */
const earlySyncFactor = 4;
/** Time between two attempts to reach a seed, in ms. */
const seedRetry = millis(500);
/** Time between two comparisons with a seed once members are known, in ms. */
const seedRefresh = millis(30_000);

/** Digest of one node's record. */
function hashMember(member: MemberRecord): number {
  const status = mixHash(encodeStatus(member) | 0);
  return mixHash(member.tag ^ status ^ mixHash(member.floor + 1));
}

/** Digests of all data centres. */
function hashDataCentres(turn: EventContext): Map<number, number> {
  const hashes = new Map<number, number>();
  for (const member of turn.state.members.values()) {
    // Nodes that are gone are forgotten at different times at each node.
    if (!isPresent(member)) continue;
    const centre = hashText(member.info.dataCentre);
    hashes.set(centre, (hashes.get(centre) ?? 0) ^ hashMember(member));
  }
  return hashes;
}

function listDataCentreItems(turn: EventContext): Item[] {
  return [...hashDataCentres(turn)].map(([centre, hash]) => ({
    type: "centre",
    centre,
    hash,
  }));
}

/** Starts a comparison with a random peer and, on the relay, with another data centre. */
export function startSyncRounds(turn: EventContext): void {
  const { state, now, random } = turn;
  contactSeed(turn);
  if (now < state.nextSyncAt) return;
  state.nextSyncAt = millis(
    now + state.settings.syncInterval * (0.9 + 0.2 * random()),
  );
  const items = listDataCentreItems(turn);
  const peers = ringOf(state).filter((member) => member !== state.self);
  const targets = pickRandom(peers, { count: 1, random });
  if (isRelay(turn)) {
    const centres = otherDataCentres(turn);
    const centre = centres[Math.floor(random() * centres.length)];
    const relay = centre === undefined ? undefined : relayOf(turn, centre);
    if (relay !== undefined) targets.push(relay);
  }
  for (const to of targets) send(turn, { to, purpose: "compare", items });
}

/** Compares again soon while comparisons bring members that were not known. */
export function scheduleEarlySync(turn: EventContext): void {
  const { state, now } = turn;
  const soon = now + state.settings.syncInterval / earlySyncFactor;
  state.nextSyncAt = millis(Math.min(state.nextSyncAt, soon));
}

/** Asks seeds for members, often while alone, and later to heal partitions. */
function contactSeed(turn: EventContext): void {
  const { state, now, random } = turn;
  if (now < state.nextJoinAt || state.seeds.length === 0) return;
  const isAlone = state.members.size <= 1;
  const wait = isAlone ? seedRetry : seedRefresh * (0.5 + random());
  state.nextJoinAt = millis(now + wait);
  const seed = state.seeds[Math.floor(random() * state.seeds.length)];
  if (seed === undefined) return;
  const items = [describeMember(state.self), ...listDataCentreItems(turn)];
  sendTo(turn, { address: seed, purpose: "compare", items });
}

/** Answers a comparison with the digests of the nodes of differing data centres. */
export function handleCompare(
  turn: EventContext,
  message: { readonly items: readonly Item[]; readonly address: string },
): void {
  const own = hashDataCentres(turn);
  const theirs = new Map<number, number>();
  for (const item of message.items) {
    if (item.type === "centre") theirs.set(item.centre, item.hash);
  }
  const differing = new Set(
    [...own.keys(), ...theirs.keys()].filter(
      (centre) => own.get(centre) !== theirs.get(centre),
    ),
  );
  const chosen = chooseDataCentres(turn, differing);
  const items: Item[] = [];
  for (const member of turn.state.members.values()) {
    if (!isPresent(member)) continue;
    if (!chosen.has(hashText(member.info.dataCentre))) continue;
    items.push(describeOrigin(member, false));
  }
  const kept = limitToSyncBudget(turn, items);
  if (kept.length === 0) return;
  const { address } = message;
  const others = kept.length < items.length ? selectPeers(turn) : [];
  sendTo(turn, { address, purpose: "sync", items: [...others, ...kept] });
}

/** A few members whom a node that joins can ask when this one is too busy. */
function selectPeers(turn: EventContext): Item[] {
  const { state, random } = turn;
  const present = [...state.members.values()].filter(isPresent);
  return pickRandom(present, { count: suggestedPeers, random }).map(
    describeMember,
  );
}

/** The own data centre first, since its nodes change most. */
function chooseDataCentres(
  turn: EventContext,
  differing: Set<number>,
): Set<number> {
  const own = hashText(turn.state.self.info.dataCentre);
  const others = [...differing].filter((centre) => centre !== own);
  const start = Math.floor(turn.random() * others.length);
  const rotated = [...others.slice(start), ...others.slice(0, start)];
  const ordered = differing.has(own) ? [own, ...rotated] : rotated;
  return new Set(ordered.slice(0, maxComparedDataCentres));
}

function describeOrigin(member: MemberRecord, asks: boolean): Item {
  const { tag, floor } = member;
  return { type: "origin", tag, status: encodeStatus(member), floor, asks };
}

/** Sends what is newer here than the digests say, and asks for what is newer there. */
export function handleSync(
  turn: EventContext,
  message: { readonly items: readonly Item[]; readonly address: string },
): void {
  const answer: Item[] = [];
  for (const item of message.items) {
    if (item.type !== "origin") continue;
    const member = turn.state.members.get(item.tag);
    answer.push(...compareOrigin(member, item));
  }
  const items = limitToSyncBudget(turn, answer);
  if (items.length === 0) return;
  sendTo(turn, { address: message.address, purpose: "sync", items });
}

function compareOrigin(
  member: MemberRecord | undefined,
  theirs: Extract<Item, { type: "origin" }>,
): Item[] {
  if (member === undefined) {
    const { tag } = theirs;
    const unknown = { type: "origin", tag, status: 0, floor: 0, asks: true };
    return theirs.asks ? [] : [unknown as Item];
  }
  const items: Item[] = [];
  const status = encodeStatus(member);
  if (status > theirs.status) items.push(describeMember(member));
  if (member.floor > theirs.floor) {
    const options = { version: theirs.floor, limit: maxAnswerEntries };
    items.push(...listEntriesAfter(member, options));
  }
  const isNewerThere = theirs.status > status || theirs.floor > member.floor;
  if (isNewerThere && !theirs.asks) items.push(describeOrigin(member, true));
  return items;
}

/** Whether the order of the items matters: entries of one node follow each other. */
function hasEntries(items: readonly Item[]): boolean {
  return items.some((item) => item.type === "entry");
}

/** Keeps comparisons within their share of the traffic; the rest follows in a later round. */
function limitToSyncBudget(
  turn: EventContext,
  items: readonly Item[],
): readonly Item[] {
  const { state, now } = turn;
  const isJoining = now - state.self.since < joinTime;
  const rate = state.settings.syncBytesPerSecond * (isJoining ? joinFactor : 1);
  const refill = ((now - state.syncRefilledAt) * rate) / 1_000;
  state.syncRefilledAt = now;
  const most = isJoining ? syncBurstBytes : rate * burstSeconds;
  state.syncBudget = Math.min(most, state.syncBudget + refill);
  state.syncBudget -= headerBytes;
  const kept: Item[] = [];
  // A random start gives different peers different parts when not all fits.
  const start = Math.floor(turn.random() * items.length);
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
    turn.commands.push({ type: "count", metric: "gossip_sync_deferred_total" });
  }
  return kept;
}
