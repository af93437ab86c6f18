import { millis } from "../clock.ts";
import type { DataCentre } from "../ids.ts";
import { listEntriesAfter } from "./members.ts";
import { otherDataCentres, relayOf } from "./probing.ts";
import { estimateMessage } from "./sizes.ts";
import {
  type EventContext,
  pickRandom,
  ringOf,
  trackEntryChange,
} from "./state.ts";
import {
  type GossipMessage,
  type Item,
  type MemberRecord,
  maxEntriesPerNode,
  type Purpose,
  topicDelivery,
  urgentFanout,
} from "./types.ts";

/** How long an urgent item travels on probes as well, in ms. */
const recentTime = 1_000;
/** Items on one probe at most. */
const maxRecentItems = 8;

/** Sends a message to a member. */
export function send(
  turn: EventContext,
  message: {
    readonly to: Pick<MemberRecord, "info">;
    readonly purpose: Purpose;
    readonly about?: number;
    readonly items: readonly Item[];
  },
): void {
  const { to, ...rest } = message;
  sendTo(turn, { ...rest, address: to.info.peers });
}

/** Sends a message to an address. */
export function sendTo(
  turn: EventContext,
  message: Omit<GossipMessage, "from"> & { readonly address: string },
): void {
  const { address, ...rest } = message;
  const from = turn.state.self.tag;
  turn.commands.push({ type: "send", to: address, message: { from, ...rest } });
}

/** Data centre that an item is about. */
function dataCentreOf(turn: EventContext, item: Item): DataCentre | undefined {
  if (item.type === "member") return item.info.dataCentre;
  if (item.type !== "entry") return undefined;
  return turn.state.members.get(item.tag)?.info.dataCentre;
}

/** Passes urgent items on: to random peers here and, from the relay, to other data centres. */
export function disseminate(turn: EventContext, items: readonly Item[]): void {
  const { state, random } = turn;
  if (items.length === 0) return;
  const { self } = state;
  rememberItems(turn, items);
  const peers = ringOf(state).filter((member) => member !== self);
  for (const to of pickRandom(peers, { count: urgentFanout, random })) {
    send(turn, { to, purpose: "push", items });
  }
  if (relayOf(turn, self.info.dataCentre) !== self) return;
  const own = items.filter(
    (item) => dataCentreOf(turn, item) === self.info.dataCentre,
  );
  if (own.length === 0) return;
  for (const centre of otherDataCentres(turn)) {
    const to = relayOf(turn, centre);
    if (to !== undefined) send(turn, { to, purpose: "push", items: own });
  }
}

function rememberItems(turn: EventContext, items: readonly Item[]): void {
  const { state, now } = turn;
  const added = items.map((item) => ({ item, at: now }));
  const kept = [...added, ...state.recentItems].slice(0, maxRecentItems);
  state.recentItems = kept.filter(({ at }) => now - at <= recentTime);
}

/**
 * Items that probes and answers carry as well: pushes to random peers miss
 * about one node in twenty, which then heard of a suspicion only after 2.3 s.
 */
export function listRecent(turn: EventContext): Item[] {
  const { state, now } = turn;
  return state.recentItems
    .filter(({ at }) => now - at <= recentTime)
    .map(({ item }) => item);
}

/** Publishes one value of this node. */
export function publish(
  turn: EventContext,
  value: Omit<Extract<Item, { type: "entry" }>["entry"], "version">,
): void {
  const { self } = turn.state;
  const name = `${value.topic}/${value.key}`;
  const known = self.entries.get(name);
  if (known === undefined && self.entries.size >= maxEntriesPerNode) {
    turn.commands.push({
      type: "count",
      metric: "gossip_entries_refused_total",
    });
    return;
  }
  const after = turn.state.version;
  turn.state.version++;
  const entry = { ...value, version: turn.state.version };
  self.entries.set(name, entry);
  self.floor = turn.state.version;
  trackEntryChange(turn.state, value.topic);
  if (topicDelivery[value.topic] === "urgent") {
    disseminate(turn, [{ type: "entry", tag: self.tag, after, entry }]);
  }
}

/** Sends changed values of this node to all of its data centre, at a bounded rate. */
export function shareBulkEntries(turn: EventContext): void {
  const { state, now } = turn;
  const { settings, self } = state;
  if (now < state.nextShareAt || state.sharedVersion === state.version) return;
  const items = listEntriesAfter(self, {
    version: state.sharedVersion,
    limit: maxEntriesPerNode,
  });
  state.sharedVersion = state.version;
  const peers = ringOf(state).filter((member) => member !== self);
  for (const to of peers) send(turn, { to, purpose: "share", items });
  const wait =
    (peers.length * estimateMessage(items) * 1_000) /
    settings.shareBytesPerSecond;
  state.nextShareAt = millis(now + Math.max(settings.sharePeriod, wait));
}
