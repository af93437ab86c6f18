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

/** Builds the decision function of membership at one node. */
export function createMembershipDecision(options: {
  readonly random: () => number;
}): Decide<MembershipState, MembershipEvent, MembershipCommand> {
  const { random } = options;
  return (state, event, now) => {
    const context: EventContext = { state, now, random, commands: [] };
    if (!state.left) handleEvent(context, event);
    return { state, commands: context.commands };
  };
}

function handleEvent(context: EventContext, event: MembershipEvent): void {
  switch (event.type) {
    case "tick":
      tick(context);
      break;
    case "received":
      receive(context, event);
      break;
    case "publish": {
      const { topic, key, value } = event;
      publish(context, { topic, key, value });
      break;
    }
    case "leave":
      leave(context);
      break;
  }
}

function tick(context: EventContext): void {
  probeMonitored(context);
  declareSuspectsDead(context);
  if (isRelay(context)) {
    for (const dataCentre of probeDataCentres(context))
      publishReachability(context, dataCentre);
  } else {
    withdrawReachability(context);
  }
  shareBulkEntries(context);
  startSyncRounds(context);
  removeExpiredMembers(context, context.state.settings.tombstoneRetention);
}

/** Withdraws the unreachable data centres that this node published; another node is the relay now. */
function withdrawReachability(context: EventContext): void {
  const { dataCentres } = context.state;
  for (const [dataCentre, { unreachable }] of dataCentres) {
    if (!unreachable) continue;
    publish(context, { topic: "unreachable", key: dataCentre, value: null });
  }
  dataCentres.clear();
}

/** Publishes whether another data centre can be reached. */
function publishReachability(
  context: EventContext,
  dataCentre: DataCentre,
): void {
  const isUnreachable =
    context.state.dataCentres.get(dataCentre)?.unreachable === true;
  const value = isUnreachable ? true : null;
  publish(context, { topic: "unreachable", key: dataCentre, value });
}

function receive(
  context: EventContext,
  event: { readonly message: GossipMessage; readonly address: string },
): void {
  const { message, address } = event;
  const { state } = context;
  if (message.from === state.self.tag) return;
  const added = applyItems(context, message);
  const sender = state.members.get(message.from);
  if (sender !== undefined) recordContact(context, sender);
  switch (message.purpose) {
    case "ping":
      disseminate(context, added.filter(isUrgent));
      answerPing(context, { message, address });
      break;
    case "ping-request":
      relayProbe(context, message);
      break;
    case "ack":
      disseminate(context, added.filter(isUrgent));
      relayAck(context, message);
      break;
    case "push":
      disseminate(context, added);
      break;
    case "compare":
      // A node that joins is announced to others at once.
      disseminate(context, added);
      handleCompare(context, { items: message.items, address });
      break;
    case "sync":
      if (added.some((item) => item.type === "member"))
        scheduleEarlySync(context);
      // Updates from another data centre enter this one at its relay.
      if (isFromOtherDataCentre(context, sender) && isRelay(context)) {
        disseminate(context, added.filter(isUrgent));
      }
      handleSync(context, { items: message.items, address });
      break;
    case "share":
      break;
  }
}

/** Whether an item must be passed on at once. */
function isUrgent(item: Item): boolean {
  if (item.type === "member") return true;
  return item.type === "entry" && topicDelivery[item.entry.topic] === "urgent";
}

function isFromOtherDataCentre(
  context: EventContext,
  sender: MemberRecord | undefined,
): boolean {
  const { dataCentre } = context.state.self.info;
  return sender !== undefined && sender.info.dataCentre !== dataCentre;
}

/** Applies the items of a message; returns those that were new. */
function applyItems(context: EventContext, message: GossipMessage): Item[] {
  const { self } = context.state;
  const incarnation = self.incarnation;
  const added = message.items.filter((item) => {
    if (item.type === "member") return applyMember(context, item);
    if (item.type === "entry") return applyEntry(context, item);
    return false;
  });
  if (self.incarnation !== incarnation)
    disseminate(context, [describeMember(self)]);
  return added.filter(
    (item) => item.type !== "member" || item.info.node !== self.info.node,
  );
}

/** Answers a probe; one that was meant for an earlier run at this address gets this run's record. */
function answerPing(
  context: EventContext,
  probe: { readonly message: GossipMessage; readonly address: string },
): void {
  const { self, members } = context.state;
  const { message, address } = probe;
  const isForSelf = message.about === self.tag;
  const sender = members.get(message.from);
  const isKnown = sender !== undefined;
  const items = listRecent(context);
  if (!isForSelf || !isKnown) items.push(describeMember(self));
  // A node that counts as dead can refute that only once it gets its record.
  if (sender?.state === "dead") items.push(describeMember(sender));
  const about = message.about ?? self.tag;
  sendTo(context, { address, purpose: "ack", about, items });
}

/** Probes a node on behalf of another one; `relayAck` passes the answer back. */
function relayProbe(context: EventContext, message: GossipMessage): void {
  const { members, relayedProbes } = context.state;
  const target = members.get(message.about ?? 0);
  if (target === undefined) return;
  relayedProbes.set(target.tag, { requester: message.from, at: context.now });
  send(context, { to: target, purpose: "ping", about: target.tag, items: [] });
}

/** Records an answer that came through another node, or passes one on to the node that requested it. */
function relayAck(context: EventContext, message: GossipMessage): void {
  const { members, relayedProbes, self } = context.state;
  const about = message.about ?? message.from;
  if (about !== message.from) {
    const target = members.get(about);
    // A restarted node answers probes of its earlier run; these do not prove that the earlier run is alive.
    const sender = members.get(message.from);
    const isRestart = sender?.info.peers === target?.info.peers;
    if (target !== undefined && !isRestart) recordContact(context, target);
    return;
  }
  const request = relayedProbes.get(about);
  relayedProbes.delete(about);
  const requester = members.get(request?.requester ?? 0);
  if (requester === undefined || requester === self) return;
  send(context, { to: requester, purpose: "ack", about, items: [] });
}

/** Announces to peers and other data centres that this node leaves. */
function leave(context: EventContext): void {
  const { state } = context;
  const { self } = state;
  self.state = "left";
  state.left = true;
  const items = [describeMember(self)];
  const targets = new Set<MemberRecord>(ringOf(state));
  for (const dataCentre of otherDataCentres(context)) {
    const relay = relayOf(context, dataCentre);
    if (relay !== undefined) targets.add(relay);
  }
  targets.delete(self);
  for (const to of targets) send(context, { to, purpose: "push", items });
}
