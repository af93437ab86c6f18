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

/** Nodes that are asked to probe a silent one as well. */
const indirectProbes = 2;

/** The next nodes in the ring, which this node monitors. */
export function monitoredNodes(turn: EventContext): MemberRecord[] {
  const ring = ringOf(turn.state);
  const own = ring.indexOf(turn.state.self);
  const count = Math.min(monitorsPerNode, ring.length - 1);
  return Array.from(
    { length: count },
    (_, step) => ring[(own + 1 + step) % ring.length] as MemberRecord,
  );
}

/** Probes monitored nodes and suspects those that stay silent. */
export function probeMonitored(turn: EventContext): void {
  const { state, now } = turn;
  const monitored = monitoredNodes(turn);
  const tags = new Set(monitored.map((member) => member.tag));
  for (const tag of state.monitored.keys()) {
    if (!tags.has(tag)) state.monitored.delete(tag);
  }
  monitored.forEach((member, index) => {
    let watch = state.monitored.get(member.tag);
    if (watch === undefined) {
      // Probes of one round are spread over the period.
      const offset = (index * state.settings.probePeriod) / monitorsPerNode;
      watch = {
        lastContactAt: now,
        probeAt: millis(now + offset),
        indirectProbeAt: never,
      };
      state.monitored.set(member.tag, watch);
    }
    probeMember(turn, { member, watch });
  });
}

function probeMember(
  turn: EventContext,
  target: { readonly member: MemberRecord; readonly watch: NodeContact },
): void {
  const { state, now } = turn;
  const { member, watch } = target;
  const { settings } = state;
  const silence = now - watch.lastContactAt;
  if (now >= watch.probeAt) {
    watch.probeAt = millis(now + settings.probePeriod);
    // A suspect must hear of the suspicion to be able to refute it.
    const items = listRecent(turn);
    if (member.state === "suspect") items.push(describeMember(member));
    const about = member.tag;
    send(turn, { to: member, purpose: "ping", about, items });
  }
  if (
    silence >= settings.indirectProbeAfter &&
    now - watch.indirectProbeAt >= settings.probePeriod
  ) {
    watch.indirectProbeAt = now;
    requestIndirectProbes(turn, member);
  }
  if (member.state === "alive" && silence >= settings.silenceLimit) {
    setState(turn, { member, next: "suspect" });
    const item = describeMember(member);
    disseminate(turn, [item]);
    send(turn, { to: member, purpose: "push", items: [item] });
  }
}

function requestIndirectProbes(turn: EventContext, silent: MemberRecord): void {
  const { state, random } = turn;
  const others = ringOf(state).filter(
    (member) => member !== silent && member !== state.self,
  );
  for (const to of pickRandom(others, { count: indirectProbes, random })) {
    send(turn, { to, purpose: "ping-request", about: silent.tag, items: [] });
  }
}

/** Declares suspects dead that had time to refute. */
export function declareSuspectsDead(turn: EventContext): void {
  const { state, now } = turn;
  for (const member of state.members.values()) {
    if (member.state !== "suspect") continue;
    if (member.info.dataCentre !== state.self.info.dataCentre) continue;
    if (now - member.since < state.settings.suspicionTimeout) continue;
    setState(turn, { member, next: "dead" });
    disseminate(turn, [describeMember(member)]);
  }
}

/** Node of a data centre that exchanges digests with the others. */
export function relayOf(
  turn: EventContext,
  dataCentre: DataCentre,
): MemberRecord | undefined {
  const { relays } = turn.state;
  if (!relays.has(dataCentre)) {
    relays.set(dataCentre, chooseRelay(turn, dataCentre));
  }
  return relays.get(dataCentre);
}

function chooseRelay(
  turn: EventContext,
  dataCentre: DataCentre,
): MemberRecord | undefined {
  const members = [...turn.state.members.values()].filter(
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
export function isRelay(turn: EventContext): boolean {
  const { self } = turn.state;
  return relayOf(turn, self.info.dataCentre) === self;
}

/** Other data centres that have members. */
export function otherDataCentres(turn: EventContext): DataCentre[] {
  const centres = new Set<DataCentre>();
  for (const member of turn.state.members.values()) {
    if (isPresent(member)) centres.add(member.info.dataCentre);
  }
  centres.delete(turn.state.self.info.dataCentre);
  return [...centres];
}

/** Probes every other data centre; returns those whose reachability changed. */
export function probeDataCentres(turn: EventContext): DataCentre[] {
  const { state, now } = turn;
  const {
    dataCentreProbePeriod: centreProbe,
    dataCentreSilenceLimit: centreSilence,
  } = state.settings;
  const changed: DataCentre[] = [];
  for (const centre of otherDataCentres(turn)) {
    let watch = state.dataCentres.get(centre);
    if (watch === undefined) {
      watch = { lastContactAt: now, probeAt: now, unreachable: false };
      state.dataCentres.set(centre, watch);
    }
    const silence = now - watch.lastContactAt;
    const isUnreachable = silence >= centreSilence;
    if (isUnreachable !== watch.unreachable) {
      watch.unreachable = isUnreachable;
      changed.push(centre);
    }
    if (now < watch.probeAt) continue;
    watch.probeAt = millis(now + centreProbe);
    const to = chooseProbeTarget(turn, { centre, silence });
    if (to === undefined) continue;
    send(turn, { to, purpose: "ping", about: to.tag, items: [] });
  }
  return changed;
}

/** The relay of a data centre, or any of its nodes once the relay is silent. */
function chooseProbeTarget(
  turn: EventContext,
  target: { readonly centre: DataCentre; readonly silence: number },
): MemberRecord | undefined {
  const { centre, silence } = target;
  const { state, random } = turn;
  if (silence < 2 * state.settings.dataCentreProbePeriod)
    return relayOf(turn, centre);
  const members = [...state.members.values()].filter(
    (member) => member.info.dataCentre === centre && isPresent(member),
  );
  return pickRandom(members, { count: 1, random })[0];
}

/** Notes that a node was heard of. */
export function recordContact(turn: EventContext, member: MemberRecord): void {
  const watch = turn.state.monitored.get(member.tag);
  if (watch !== undefined) watch.lastContactAt = turn.now;
  const centre = turn.state.dataCentres.get(member.info.dataCentre);
  if (centre !== undefined) centre.lastContactAt = turn.now;
}
