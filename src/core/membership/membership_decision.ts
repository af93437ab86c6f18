import type { Decide } from "../decision.ts";
import type { DataCentre } from "../ids.ts";
import {
  handleCompare,
  handleSync,
  scheduleEarlySync,
  startSyncRounds,
} from "./anti_entropy.ts";
import {
  disseminate,
  listRecent,
  publish,
  send,
  sendTo,
  shareBulkEntries,
} from "./dissemination.ts";
import {
  applyEntry,
  applyMember,
  describeMember,
  removeExpiredMembers,
} from "./members.ts";
import {
  declareSuspectsDead,
  isRelay,
  otherDataCentres,
  probeDataCentres,
  probeMonitored,
  recordContact,
  relayOf,
} from "./probing.ts";
import { type EventContext, type MembershipState, ringOf } from "./state.ts";
import {
  type GossipMessage,
  type Item,
  type MemberRecord,
  type MembershipCommand,
  type MembershipEvent,
  topicDelivery,
} from "./types.ts";

/** Decisions of membership at one node. */
export function createMembershipDecision(options: {
  readonly random: () => number;
}): Decide<MembershipState, MembershipEvent, MembershipCommand> {
  const { random } = options;
  return (state, event, now) => {
    const turn: EventContext = { state, now, random, commands: [] };
    if (!state.left) handleEvent(turn, event);
    return { state, commands: turn.commands };
  };
}

function handleEvent(turn: EventContext, event: MembershipEvent): void {
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

function tick(turn: EventContext): void {
  probeMonitored(turn);
  declareSuspectsDead(turn);
  if (isRelay(turn)) {
    for (const centre of probeDataCentres(turn))
      publishReachability(turn, centre);
  } else {
    withdrawReachability(turn);
  }
  shareBulkEntries(turn);
  startSyncRounds(turn);
  removeExpiredMembers(turn, turn.state.settings.tombstoneRetention);
}

/** Another node probes the other data centres now; what this one found is withdrawn. */
function withdrawReachability(turn: EventContext): void {
  const { dataCentres: centres } = turn.state;
  for (const [centre, { unreachable }] of centres) {
    if (!unreachable) continue;
    publish(turn, { topic: "unreachable", key: centre, value: null });
  }
  centres.clear();
}

/** Tells the own data centre whether another one can be reached. */
function publishReachability(turn: EventContext, centre: DataCentre): void {
  const isUnreachable =
    turn.state.dataCentres.get(centre)?.unreachable === true;
  const value = isUnreachable ? true : null;
  publish(turn, { topic: "unreachable", key: centre, value });
}

function receive(
  turn: EventContext,
  event: { readonly message: GossipMessage; readonly address: string },
): void {
  const { message, address } = event;
  const { state } = turn;
  if (message.from === state.self.tag) return;
  const fresh = applyItems(turn, message);
  const sender = state.members.get(message.from);
  if (sender !== undefined) recordContact(turn, sender);
  switch (message.purpose) {
    case "ping":
      disseminate(turn, fresh.filter(isUrgent));
      answerPing(turn, { message, address });
      break;
    case "ping-request":
      relayProbe(turn, message);
      break;
    case "ack":
      disseminate(turn, fresh.filter(isUrgent));
      relayAck(turn, message);
      break;
    case "push":
      disseminate(turn, fresh);
      break;
    case "compare":
      // A node that joins is made known at once.
      disseminate(turn, fresh);
      handleCompare(turn, { items: message.items, address });
      break;
    case "sync":
      if (fresh.some((item) => item.type === "member")) scheduleEarlySync(turn);
      // News from another data centre enters this one at its relay.
      if (isFromOtherDataCentre(turn, sender) && isRelay(turn)) {
        disseminate(turn, fresh.filter(isUrgent));
      }
      handleSync(turn, { items: message.items, address });
      break;
    case "share":
      break;
  }
}

/** Whether an item is worth passing on at once. */
function isUrgent(item: Item): boolean {
  if (item.type === "member") return true;
  return item.type === "entry" && topicDelivery[item.entry.topic] === "urgent";
}

function isFromOtherDataCentre(
  turn: EventContext,
  sender: MemberRecord | undefined,
): boolean {
  const { dataCentre } = turn.state.self.info;
  return sender !== undefined && sender.info.dataCentre !== dataCentre;
}

/** Takes in the items of a message; returns what was new here. */
function applyItems(turn: EventContext, message: GossipMessage): Item[] {
  const { self } = turn.state;
  const incarnation = self.incarnation;
  const fresh = message.items.filter((item) => {
    if (item.type === "member") return applyMember(turn, item);
    if (item.type === "entry") return applyEntry(turn, item);
    return false;
  });
  if (self.incarnation !== incarnation)
    disseminate(turn, [describeMember(self)]);
  return fresh.filter(
    (item) => item.type !== "member" || item.info.node !== self.info.node,
  );
}

/** Answers a probe; a probe of an earlier run at this address learns of the restart. */
function answerPing(
  turn: EventContext,
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
function relayProbe(turn: EventContext, message: GossipMessage): void {
  const { members, relayedProbes: asked } = turn.state;
  const target = members.get(message.about ?? 0);
  if (target === undefined) return;
  asked.set(target.tag, { requester: message.from, at: turn.now });
  send(turn, { to: target, purpose: "ping", about: target.tag, items: [] });
}

/** Counts an answer that came through another node, and passes it on if it was asked for. */
function relayAck(turn: EventContext, message: GossipMessage): void {
  const { members, relayedProbes: asked, self } = turn.state;
  const about = message.about ?? message.from;
  if (about !== message.from) {
    const target = members.get(about);
    // A restarted node answers for its earlier run, which does not count.
    const sender = members.get(message.from);
    const isRestart = sender?.info.peers === target?.info.peers;
    if (target !== undefined && !isRestart) recordContact(turn, target);
    return;
  }
  const request = asked.get(about);
  asked.delete(about);
  const asker = members.get(request?.requester ?? 0);
  if (asker === undefined || asker === self) return;
  send(turn, { to: asker, purpose: "ack", about, items: [] });
}

/** Tells peers and other data centres that this node stops. */
function leave(turn: EventContext): void {
  const { state } = turn;
  const { self } = state;
  self.state = "left";
  state.left = true;
  const items = [describeMember(self)];
  const targets = new Set<MemberRecord>(ringOf(state));
  for (const centre of otherDataCentres(turn)) {
    const relay = relayOf(turn, centre);
    if (relay !== undefined) targets.add(relay);
  }
  targets.delete(self);
  for (const to of targets) send(turn, { to, purpose: "push", items });
}
