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

/** Time for which probes carry an urgent item as well, in ms. */
const recentTime = 1_000;
/** Maximum number of such items on one probe. */
const maxRecentItems = 8;

/** Sends a message to a member. */
export function send(
  context: EventContext,
  message: {
    readonly to: Pick<MemberRecord, "info">;
    readonly purpose: Purpose;
    readonly about?: number;
    readonly items: readonly Item[];
  },
): void {
  const { to, ...rest } = message;
  sendTo(context, { ...rest, address: to.info.peers });
}

/** Sends a message to an address. */
export function sendTo(
  context: EventContext,
  message: Omit<GossipMessage, "from"> & { readonly address: string },
): void {
  const { address, ...rest } = message;
  const from = context.state.self.tag;
  context.commands.push({
    type: "send",
    to: address,
    message: { from, ...rest },
  });
}

/** Data centre that an item is about. */
function dataCentreOf(
  context: EventContext,
  item: Item,
): DataCentre | undefined {
  if (item.type === "member") return item.info.dataCentre;
  if (item.type !== "entry") return undefined;
  return context.state.members.get(item.tag)?.info.dataCentre;
}

/** Passes urgent items on: to random peers in the data centre and, at its relay, to other data centres. */
export function disseminate(
  context: EventContext,
  items: readonly Item[],
): void {
  const { state, random } = context;
  if (items.length === 0) return;
  const { self } = state;
  rememberItems(context, items);
  const peers = ringOf(state).filter((member) => member !== self);
  for (const to of pickRandom(peers, { count: urgentFanout, random })) {
    send(context, { to, purpose: "push", items });
  }
  if (relayOf(context, self.info.dataCentre) !== self) return;
  const own = items.filter(
    (item) => dataCentreOf(context, item) === self.info.dataCentre,
  );
  if (own.length === 0) return;
  for (const dataCentre of otherDataCentres(context)) {
    const to = relayOf(context, dataCentre);
    if (to !== undefined) send(context, { to, purpose: "push", items: own });
  }
}

function rememberItems(context: EventContext, items: readonly Item[]): void {
  const { state, now } = context;
  const added = items.map((item) => ({ item, at: now }));
  const kept = [...added, ...state.recentItems].slice(0, maxRecentItems);
  state.recentItems = kept.filter(({ at }) => now - at <= recentTime);
}

/**
 * Urgent items that probes and their answers carry as well: pushes to random
 * peers miss about one node in twenty, which then learned of a suspicion only
 * after 2.3 s.
 */
export function listRecent(context: EventContext): Item[] {
  const { state, now } = context;
  return state.recentItems
    .filter(({ at }) => now - at <= recentTime)
    .map(({ item }) => item);
}

/** Publishes one value of this node. */
export function publish(
  context: EventContext,
  value: Omit<Extract<Item, { type: "entry" }>["entry"], "version">,
): void {
  const { self } = context.state;
  const name = `${value.topic}/${value.key}`;
  const known = self.entries.get(name);
  if (known === undefined && self.entries.size >= maxEntriesPerNode) {
    context.commands.push({
      type: "count",
      metric: "gossip_entries_refused_total",
    });
    return;
  }
  const after = context.state.version;
  context.state.version++;
  const entry = { ...value, version: context.state.version };
  self.entries.set(name, entry);
  self.contiguousVersion = context.state.version;
  trackEntryChange(context.state, value.topic);
  if (topicDelivery[value.topic] === "urgent") {
    disseminate(context, [{ type: "entry", tag: self.tag, after, entry }]);
  }
}

/** Sends changed values of this node to its whole data centre, at a bounded rate. */
export function shareBulkEntries(context: EventContext): void {
  const { state, now } = context;
  const { settings, self } = state;
  if (now < state.nextShareAt || state.sharedVersion === state.version) return;
  const items = listEntriesAfter(self, {
    version: state.sharedVersion,
    limit: maxEntriesPerNode,
  });
  state.sharedVersion = state.version;
  const peers = ringOf(state).filter((member) => member !== self);
  for (const to of peers) send(context, { to, purpose: "share", items });
  const wait =
    (peers.length * estimateMessage(items) * 1_000) /
    settings.shareBytesPerSecond;
  state.nextShareAt = millis(now + Math.max(settings.sharePeriod, wait));
}
