import { millis } from "../clock.ts";
import type { DataCentre } from "../ids.ts";
import { chooseByRendezvous } from "../lease/rendezvous.ts";
import { disseminate, listRecent, send } from "./dissemination.ts";
import { describeMember, setState } from "./members.ts";
import {
  type EventContext,
  isPresent,
  type NodeContact,
  never,
  pickRandom,
  ringOf,
} from "./state.ts";
import { type MemberRecord, monitorsPerNode } from "./types.ts";

/** Number of other nodes that probe an unresponsive one as well. */
const indirectProbes = 2;

/** Nodes that this node monitors: the ones after it in the ring. */
export function monitoredNodes(context: EventContext): MemberRecord[] {
  const ring = ringOf(context.state);
  const own = ring.indexOf(context.state.self);
  const count = Math.min(monitorsPerNode, ring.length - 1);
  return Array.from(
    { length: count },
    (_, step) => ring[(own + 1 + step) % ring.length] as MemberRecord,
  );
}

/** Probes monitored nodes and suspects those that do not answer. */
export function probeMonitored(context: EventContext): void {
  const { state, now } = context;
  const monitored = monitoredNodes(context);
  const tags = new Set(monitored.map((member) => member.tag));
  for (const tag of state.monitored.keys()) {
    if (!tags.has(tag)) state.monitored.delete(tag);
  }
  monitored.forEach((member, index) => {
    let contact = state.monitored.get(member.tag);
    if (contact === undefined) {
      // First probes are staggered over the period.
      const offset = (index * state.settings.probePeriod) / monitorsPerNode;
      contact = {
        lastContactAt: now,
        probeAt: millis(now + offset),
        indirectProbeAt: never,
      };
      state.monitored.set(member.tag, contact);
    }
    probeMember(context, { member, contact });
  });
}

function probeMember(
  context: EventContext,
  target: { readonly member: MemberRecord; readonly contact: NodeContact },
): void {
  const { state, now } = context;
  const { member, contact } = target;
  const { settings } = state;
  const sinceContact = now - contact.lastContactAt;
  if (now >= contact.probeAt) {
    contact.probeAt = millis(now + settings.probePeriod);
    // A suspect can refute the suspicion only once it gets its record.
    const items = listRecent(context);
    if (member.state === "suspect") items.push(describeMember(member));
    const about = member.tag;
    send(context, { to: member, purpose: "ping", about, items });
  }
  if (
    sinceContact >= settings.indirectProbeAfter &&
    now - contact.indirectProbeAt >= settings.probePeriod
  ) {
    contact.indirectProbeAt = now;
    requestIndirectProbes(context, member);
  }
  if (member.state === "alive" && sinceContact >= settings.suspectAfter) {
    setState(context, { member, next: "suspect" });
    const item = describeMember(member);
    disseminate(context, [item]);
    send(context, { to: member, purpose: "push", items: [item] });
  }
}

function requestIndirectProbes(
  context: EventContext,
  target: MemberRecord,
): void {
  const { state, random } = context;
  const others = ringOf(state).filter(
    (member) => member !== target && member !== state.self,
  );
  for (const to of pickRandom(others, { count: indirectProbes, random })) {
    send(context, {
      to,
      purpose: "ping-request",
      about: target.tag,
      items: [],
    });
  }
}

/** Declares suspects dead that did not refute in time. */
export function declareSuspectsDead(context: EventContext): void {
  const { state, now } = context;
  for (const member of state.members.values()) {
    if (member.state !== "suspect") continue;
    if (member.info.dataCentre !== state.self.info.dataCentre) continue;
    if (now - member.since < state.settings.suspicionTimeout) continue;
    setState(context, { member, next: "dead" });
    disseminate(context, [describeMember(member)]);
  }
}

/** Node of a data centre that exchanges digests with the others. */
export function relayOf(
  context: EventContext,
  dataCentre: DataCentre,
): MemberRecord | undefined {
  const { relays } = context.state;
  if (!relays.has(dataCentre)) {
    relays.set(dataCentre, chooseRelay(context, dataCentre));
  }
  return relays.get(dataCentre);
}

function chooseRelay(
  context: EventContext,
  dataCentre: DataCentre,
): MemberRecord | undefined {
  const members = [...context.state.members.values()].filter(
    (member) => member.info.dataCentre === dataCentre,
  );
  const alive = members.filter((member) => member.state === "alive");
  const nodes = (alive.length > 0 ? alive : members.filter(isPresent)).map(
    (member) => member.info.node,
  );
  const chosen = chooseByRendezvous(`relay/${dataCentre}`, nodes);
  return members.find((member) => member.info.node === chosen);
}

/** Whether this node exchanges digests with other data centres. */
export function isRelay(context: EventContext): boolean {
  const { self } = context.state;
  return relayOf(context, self.info.dataCentre) === self;
}

/** Other data centres that have members. */
export function otherDataCentres(context: EventContext): DataCentre[] {
  const dataCentres = new Set<DataCentre>();
  for (const member of context.state.members.values()) {
    if (isPresent(member)) dataCentres.add(member.info.dataCentre);
  }
  dataCentres.delete(context.state.self.info.dataCentre);
  return [...dataCentres];
}

/** Probes every other data centre; returns those whose reachability changed. */
export function probeDataCentres(context: EventContext): DataCentre[] {
  const { state, now } = context;
  const { dataCentreProbePeriod, dataCentreUnreachableAfter } = state.settings;
  const changed: DataCentre[] = [];
  for (const dataCentre of otherDataCentres(context)) {
    let contact = state.dataCentres.get(dataCentre);
    if (contact === undefined) {
      contact = { lastContactAt: now, probeAt: now, unreachable: false };
      state.dataCentres.set(dataCentre, contact);
    }
    const sinceContact = now - contact.lastContactAt;
    const isUnreachable = sinceContact >= dataCentreUnreachableAfter;
    if (isUnreachable !== contact.unreachable) {
      contact.unreachable = isUnreachable;
      changed.push(dataCentre);
    }
    if (now < contact.probeAt) continue;
    contact.probeAt = millis(now + dataCentreProbePeriod);
    const to = chooseProbeTarget(context, { dataCentre, sinceContact });
    if (to === undefined) continue;
    send(context, { to, purpose: "ping", about: to.tag, items: [] });
  }
  return changed;
}

/** The relay of a data centre, or any of its nodes once the relay does not answer. */
function chooseProbeTarget(
  context: EventContext,
  target: { readonly dataCentre: DataCentre; readonly sinceContact: number },
): MemberRecord | undefined {
  const { dataCentre, sinceContact } = target;
  const { state, random } = context;
  if (sinceContact < 2 * state.settings.dataCentreProbePeriod)
    return relayOf(context, dataCentre);
  const members = [...state.members.values()].filter(
    (member) => member.info.dataCentre === dataCentre && isPresent(member),
  );
  return pickRandom(members, { count: 1, random })[0];
}

/** Records that a node was reached. */
export function recordContact(
  context: EventContext,
  member: MemberRecord,
): void {
  const contact = context.state.monitored.get(member.tag);
  if (contact !== undefined) contact.lastContactAt = context.now;
  const dataCentre = context.state.dataCentres.get(member.info.dataCentre);
  if (dataCentre !== undefined) dataCentre.lastContactAt = context.now;
}
