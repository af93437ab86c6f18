import type { Decide } from "../decision.ts";
import type { DataCentre } from "../ids.ts";
import {
  answerComparison,
  answerDigests,
  hastenRounds,
  startRounds,
} from "./comparing.ts";
import {
  applyEntry,
  applyMember,
  describeMember,
  forgetOldMembers,
} from "./members.ts";
import {
  buryOldSuspects,
  isRelay,
  noteContact,
  otherCentres,
  probeCentres,
  probeMonitored,
  relayOf,
} from "./probing.ts";
import {
  listRecent,
  publish,
  send,
  sendTo,
  shareBulk,
  spread,
} from "./spreading.ts";
import { type MembershipState, ringOf, type Turn } from "./state.ts";
import {
  type GossipMessage,
  type Item,
  type MemberRecord,
  type MembershipCommand,
  type MembershipEvent,
  topicSpread,
} from "./types.ts";

/** Decisions of membership at one node. */
export function createMembershipDecision(options: {
  readonly random: () => number;
}): Decide<MembershipState, MembershipEvent, MembershipCommand> {
  const { random } = options;
  return (state, event, now) => {
    const turn: Turn = { state, now, random, commands: [] };
    if (!state.left) handleEvent(turn, event);
    return { state, commands: turn.commands };
  };
}

function handleEvent(turn: Turn, event: MembershipEvent): void {
  switch (event.type) {
    case "tick":
      tick(turn);
      break;
    case "received":
      receive(turn, event);
      break;
    case "publish": {
      const { topic, key, value } = event;
      publish(turn, { topic, key, value });
      break;
    }
    case "leave":
      leave(turn);
      break;
  }
}

function tick(turn: Turn): void {
  probeMonitored(turn);
  buryOldSuspects(turn);
  if (isRelay(turn)) {
    for (const centre of probeCentres(turn)) reportCentre(turn, centre);
  } else {
    stopRelaying(turn);
  }
  shareBulk(turn);
  startRounds(turn);
  forgetOldMembers(turn, turn.state.settings.tombstone);
}

/** Another node probes the other data centres now; what this one found is withdrawn. */
function stopRelaying(turn: Turn): void {
  const { centres } = turn.state;
  for (const [centre, { unreachable }] of centres) {
    if (!unreachable) continue;
    publish(turn, { topic: "unreachable", key: centre, value: null });
  }
  centres.clear();
}

/** Tells the own data centre whether another one can be reached. */
function reportCentre(turn: Turn, centre: DataCentre): void {
  const isUnreachable = turn.state.centres.get(centre)?.unreachable === true;
  const value = isUnreachable ? true : null;
  publish(turn, { topic: "unreachable", key: centre, value });
}

function receive(
  turn: Turn,
  event: { readonly message: GossipMessage; readonly address: string },
): void {
  const { message, address } = event;
  const { state } = turn;
  if (message.from === state.self.tag) return;
  const fresh = takeItems(turn, message);
  const sender = state.members.get(message.from);
  if (sender !== undefined) noteContact(turn, sender);
  switch (message.purpose) {
    case "ping":
      spread(turn, fresh.filter(isUrgent));
      answerPing(turn, { message, address });
      break;
    case "ping-request":
      passProbe(turn, message);
      break;
    case "ack":
      spread(turn, fresh.filter(isUrgent));
      passAck(turn, message);
      break;
    case "push":
      spread(turn, fresh);
      break;
    case "compare":
      // A node that joins is made known at once.
      spread(turn, fresh);
      answerComparison(turn, { items: message.items, address });
      break;
    case "sync":
      if (fresh.some((item) => item.type === "member")) hastenRounds(turn);
      // News from another data centre enters this one at its relay.
      if (isFromElsewhere(turn, sender) && isRelay(turn)) {
        spread(turn, fresh.filter(isUrgent));
      }
      answerDigests(turn, { items: message.items, address });
      break;
    case "share":
      break;
  }
}

/** Whether an item is worth passing on at once. */
function isUrgent(item: Item): boolean {
  if (item.type === "member") return true;
  return item.type === "entry" && topicSpread[item.entry.topic] === "urgent";
}

function isFromElsewhere(
  turn: Turn,
  sender: MemberRecord | undefined,
): boolean {
  const { dataCentre } = turn.state.self.info;
  return sender !== undefined && sender.info.dataCentre !== dataCentre;
}

/** Takes in the items of a message; returns what was new here. */
function takeItems(turn: Turn, message: GossipMessage): Item[] {
  const { self } = turn.state;
  const incarnation = self.incarnation;
  const fresh = message.items.filter((item) => {
    if (item.type === "member") return applyMember(turn, item);
    if (item.type === "entry") return applyEntry(turn, item);
    return false;
  });
  if (self.incarnation !== incarnation) spread(turn, [describeMember(self)]);
  return fresh.filter(
    (item) => item.type !== "member" || item.info.node !== self.info.node,
  );
}

/** Answers a probe; a probe of an earlier run at this address learns of the restart. */
function answerPing(
  turn: Turn,
  probe: { readonly message: GossipMessage; readonly address: string },
): void {
  const { self, members } = turn.state;
  const { message, address } = probe;
  const isForSelf = message.about === self.tag;
  const sender = members.get(message.from);
  const isKnown = sender !== undefined;
  const items = listRecent(turn);
  if (!isForSelf || !isKnown) items.push(describeMember(self));
  // A node that counts as dead must hear of it to be able to refute it.
  if (sender?.state === "dead") items.push(describeMember(sender));
  const about = message.about ?? self.tag;
  sendTo(turn, { address, purpose: "ack", about, items });
}

/** Probes a node for another one; the answer goes back by `passAck`. */
function passProbe(turn: Turn, message: GossipMessage): void {
  const { members, asked } = turn.state;
  const target = members.get(message.about ?? 0);
  if (target === undefined) return;
  asked.set(target.tag, { asker: message.from, at: turn.now });
  send(turn, { to: target, purpose: "ping", about: target.tag, items: [] });
}

/** Counts an answer that came through another node, and passes it on if it was asked for. */
function passAck(turn: Turn, message: GossipMessage): void {
  const { members, asked, self } = turn.state;
  const about = message.about ?? message.from;
  if (about !== message.from) {
    const target = members.get(about);
    // A restarted node answers for its earlier run, which does not count.
    const sender = members.get(message.from);
    const isRestart = sender?.info.peers === target?.info.peers;
    if (target !== undefined && !isRestart) noteContact(turn, target);
    return;
  }
  const request = asked.get(about);
  asked.delete(about);
  const asker = members.get(request?.asker ?? 0);
  if (asker === undefined || asker === self) return;
  send(turn, { to: asker, purpose: "ack", about, items: [] });
}

/** Tells peers and other data centres that this node stops. */
function leave(turn: Turn): void {
  const { state } = turn;
  const { self } = state;
  self.state = "left";
  state.left = true;
  const items = [describeMember(self)];
  const targets = new Set<MemberRecord>(ringOf(state));
  for (const centre of otherCentres(turn)) {
    const relay = relayOf(turn, centre);
    if (relay !== undefined) targets.add(relay);
  }
  targets.delete(self);
  for (const to of targets) send(turn, { to, purpose: "push", items });
}
