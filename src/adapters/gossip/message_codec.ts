import { pack, unpackMultiple } from "msgpackr";
import { z } from "zod";
import { brandString } from "../../core/ids.ts";
import {
  type GossipMessage,
  type Item,
  type JsonValue,
  memberStates,
  type Purpose,
  type Topic,
  topicDelivery,
} from "../../core/membership/types.ts";

const purposes: readonly Purpose[] = [
  "ping",
  "ack",
  "ping-request",
  "push",
  "share",
  "compare",
  "sync",
];
const topics = Object.keys(topicDelivery) as Topic[];

const tag = z.number().int().min(0).max(0xffff_ffff);
const counter = z.number().int().min(-1).max(Number.MAX_SAFE_INTEGER);
const name = z.string().min(1).max(128);
const index = (length: number) =>
  z
    .number()
    .int()
    .min(0)
    .max(length - 1);

const headerSchema = z.tuple([index(purposes.length), tag, tag.nullable()]);
const memberSchema = z.tuple([
  z.literal(0),
  name,
  name,
  name,
  name,
  name,
  counter,
  index(memberStates.length),
]);
const entrySchema = z.tuple([
  z.literal(1),
  tag,
  counter,
  counter,
  index(topics.length),
  z.string().max(256),
  z.unknown(),
]);
const centreSchema = z.tuple([z.literal(2), tag, z.number()]);
const originSchema = z.tuple([
  z.literal(3),
  tag,
  counter,
  counter,
  z.literal([0, 1]),
]);

/** Encodes a message as bodies of at most `limit` bytes; items too large for a body of their own are dropped. */
export function encodeMessage(
  message: GossipMessage,
  limit: number,
): { readonly bodies: Buffer[]; readonly dropped: number } {
  const purpose = purposes.indexOf(message.purpose);
  const header = pack([purpose, message.from, message.about ?? null]);
  const bodies: Buffer[] = [];
  let parts: Buffer[] = [header];
  let size = header.length;
  let dropped = 0;
  for (const item of message.items) {
    const part = pack(encodeItem(item));
    if (header.length + part.length > limit) {
      dropped++;
      continue;
    }
    if (size + part.length > limit) {
      bodies.push(Buffer.concat(parts));
      parts = [header];
      size = header.length;
    }
    parts.push(part);
    size += part.length;
  }
  bodies.push(Buffer.concat(parts));
  return { bodies, dropped };
}

function encodeItem(item: Item): unknown[] {
  switch (item.type) {
    case "member": {
      const { node, region, dataCentre, callers, peers } = item.info;
      const state = memberStates.indexOf(item.state);
      const addressFields = [node, region, dataCentre, callers, peers];
      return [0, ...addressFields, item.incarnation, state];
    }
    case "entry": {
      const { topic, key, version, value } = item.entry;
      return [
        1,
        item.tag,
        item.after,
        version,
        topics.indexOf(topic),
        key,
        value,
      ];
    }
    case "centre":
      return [2, item.centre, item.hash];
    case "origin":
      return [
        3,
        item.tag,
        item.status,
        item.contiguousVersion,
        item.requestsUpdate ? 1 : 0,
      ];
  }
}

/** Decodes a body; undefined if any part of it is malformed. */
export function decodeMessage(body: Uint8Array): GossipMessage | undefined {
  let parts: unknown[];
  try {
    parts = (unpackMultiple(body) as unknown[] | undefined) ?? [];
  } catch {
    return undefined;
  }
  const header = headerSchema.safeParse(parts[0]);
  if (!header.success) return undefined;
  const items: Item[] = [];
  for (const part of parts.slice(1)) {
    const item = decodeItem(part);
    if (item === undefined) return undefined;
    items.push(item);
  }
  const [purpose, from, about] = header.data;
  return {
    purpose: purposes[purpose] as Purpose,
    from,
    ...(about === null ? {} : { about }),
    items,
  };
}

function decodeItem(part: unknown): Item | undefined {
  switch (Array.isArray(part) ? part[0] : undefined) {
    case 0:
      return decodeMember(part);
    case 1:
      return decodeEntry(part);
    case 2: {
      const parsed = centreSchema.safeParse(part);
      if (!parsed.success) return undefined;
      const [, centre, hash] = parsed.data;
      return { type: "centre", centre, hash };
    }
    case 3: {
      const parsed = originSchema.safeParse(part);
      if (!parsed.success) return undefined;
      const [, originTag, status, contiguousVersion, requestsUpdate] =
        parsed.data;
      return {
        type: "origin",
        tag: originTag,
        status,
        contiguousVersion,
        requestsUpdate: requestsUpdate === 1,
      };
    }
    default:
      return undefined;
  }
}

function decodeMember(part: unknown): Item | undefined {
  const parsed = memberSchema.safeParse(part);
  if (!parsed.success) return undefined;
  const [, node, region, dataCentre, callers, peers, incarnation, state] =
    parsed.data;
  return {
    type: "member",
    info: {
      node: brandString(node),
      region: brandString(region),
      dataCentre: brandString(dataCentre),
      callers,
      peers,
    },
    incarnation,
    state: memberStates[state] as (typeof memberStates)[number],
  };
}

function decodeEntry(part: unknown): Item | undefined {
  const parsed = entrySchema.safeParse(part);
  if (!parsed.success) return undefined;
  const [, originTag, after, version, topic, key, value] = parsed.data;
  return {
    type: "entry",
    tag: originTag,
    after,
    entry: {
      topic: topics[topic] as Topic,
      key,
      version,
      value: value as JsonValue,
    },
  };
}
