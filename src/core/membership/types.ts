import { type Millis, millis } from "../clock.ts";
import type { DataCentre, NodeId, Region } from "../ids.ts";
import type { EventName } from "../observe/events.ts";
import type { MetricName } from "../observe/metrics.ts";

/** A JSON value that a node publishes to the others. */
export type JsonValue =
  | null
  | boolean
  | number
  | string
  | readonly JsonValue[]
  | { readonly [key: string]: JsonValue };

/** `urgent`: passed on at once by everyone. `bulk`: sent by its node to its data centre at a bounded rate. */
export const topicDelivery = {
  /** Compact engine views, one per engine owned. */
  engine: "bulk",
  /** Configuration revision in force. */
  revision: "urgent",
  /** Digests of suspect requests. */
  poison: "urgent",
  /** Backend servers that are leaving. */
  leaving: "urgent",
  /** Present while the node is draining. */
  drain: "urgent",
  /** Data centres that the node's data centre cannot reach. */
  unreachable: "urgent",
  /** A growing number while the node is without the table. */
  outage: "bulk",
  /** Requests a second of the adapters most asked for at the node. */
  demand: "bulk",
} as const satisfies Record<string, "urgent" | "bulk">;

/** What a published value is about. */
export type Topic = keyof typeof topicDelivery;

/** One value that a node publishes; null marks a withdrawn one. */
export type Entry = {
  readonly topic: Topic;
  readonly key: string;
  readonly version: number;
  readonly value: JsonValue;
};

/** Order matters: at equal incarnation the later state wins. */
export const memberStates = ["alive", "suspect", "dead", "left"] as const;
export type MemberState = (typeof memberStates)[number];

/** What a node says about itself when it joins. */
export type MemberInfo = {
  readonly node: NodeId;
  readonly region: Region;
  readonly dataCentre: DataCentre;
  /** `HOST:PORT` for callers. */
  readonly callers: string;
  /** `HOST:PORT` for peers, also the address of its datagrams. */
  readonly peers: string;
};

/** What this node knows of a member. */
export type MemberRecord = {
  readonly info: MemberInfo;
  /** Short hash of the node id, which stands for it in datagrams. */
  readonly tag: number;
  incarnation: number;
  state: MemberState;
  /** Local time of the last change of state. */
  since: Millis;
  /** Published values by topic and key. */
  readonly entries: Map<string, Entry>;
  /** Every entry up to this version is known. */
  floor: number;
};

/** Independent part of a datagram; a message may be split between any two items. */
export type Item =
  | {
      readonly type: "member";
      readonly info: MemberInfo;
      readonly incarnation: number;
      readonly state: MemberState;
    }
  | {
      readonly type: "entry";
      readonly tag: number;
      /** Version of the entry before this one, or -1 when none is claimed. */
      readonly after: number;
      readonly entry: Entry;
    }
  /** Digest of all that is known of the nodes of a data centre. */
  | { readonly type: "centre"; readonly centre: number; readonly hash: number }
  /** Digest of one node's record; `asks` requests what is newer. */
  | {
      readonly type: "origin";
      readonly tag: number;
      readonly status: number;
      readonly floor: number;
      readonly asks: boolean;
    };

/** `push` is passed on, `share` is not; the others probe or compare. */
export type Purpose =
  | "ping"
  | "ack"
  | "ping-request"
  | "push"
  | "share"
  | "compare"
  | "sync";

/** A message between two nodes, without its encoding. */
export type GossipMessage = {
  readonly purpose: Purpose;
  /** Tag of the sender. */
  readonly from: number;
  /** Tag of the node that is probed, in `ping`, `ack` and `ping-request`. */
  readonly about?: number;
  readonly items: readonly Item[];
};

/** Durations and bounds of membership; see design 5.7. */
export type MembershipSettings = {
  /** Time between two probes of one monitored node. */
  readonly probePeriod: Millis;
  /** Silence after which a monitored node is suspected. */
  readonly silenceLimit: Millis;
  /** Silence after which others are asked to probe as well. */
  readonly indirectProbeAfter: Millis;
  /** Time in which a suspect can refute before it counts as dead. */
  readonly suspicionTimeout: Millis;
  /** Shortest time between two comparisons with a random peer. */
  readonly syncInterval: Millis;
  /** Time between probes of another data centre. */
  readonly dataCentreProbePeriod: Millis;
  /** Silence after which a data centre counts as unreachable. */
  readonly dataCentreSilenceLimit: Millis;
  /** Shortest time between two shares of bulk entries. */
  readonly sharePeriod: Millis;
  /** Bytes per second that shares may use. */
  readonly shareBytesPerSecond: number;
  /** Bytes per second that comparisons may use. */
  readonly syncBytesPerSecond: number;
  /** How long a dead or left node is remembered. */
  readonly tombstoneRetention: Millis;
};

/** Settings for today's and the expected number of nodes. */
export const defaultMembershipSettings: MembershipSettings = {
  probePeriod: millis(500),
  silenceLimit: millis(1_300),
  indirectProbeAfter: millis(700),
  suspicionTimeout: millis(4_000),
  syncInterval: millis(1_000),
  dataCentreProbePeriod: millis(2_000),
  dataCentreSilenceLimit: millis(5_000),
  sharePeriod: millis(1_000),
  shareBytesPerSecond: 1_500,
  syncBytesPerSecond: 1_000,
  tombstoneRetention: millis(300_000),
};

/** Nodes that probe one node of the same data centre. */
export const monitorsPerNode = 3;
/** Peers that a node passes an urgent item on to. */
export const urgentFanout = 3;
/** Values that one node publishes at most. */
export const maxEntriesPerNode = 256;
/** Nodes remembered at most, dead ones included. */
export const maxMembers = 4_096;
/** Bytes that unused sync allowance may collect, for nodes that join. */
export const syncBurstBytes = 65_536;

/** Message to the membership decision. */
export type MembershipEvent =
  | { readonly type: "tick" }
  | {
      readonly type: "received";
      readonly message: GossipMessage;
      /** Address that the datagram came from. */
      readonly address: string;
    }
  | {
      readonly type: "publish";
      readonly topic: Topic;
      readonly key: string;
      readonly value: JsonValue;
    }
  | { readonly type: "leave" };

/** A change that the rest of the node may want to know. */
export type MembershipUpdate =
  | {
      readonly type: "member";
      readonly info: MemberInfo;
      readonly state: MemberState;
    }
  | {
      readonly type: "entry";
      readonly node: NodeId;
      readonly topic: Topic;
      readonly key: string;
      readonly value: JsonValue;
    };

/** Order of the membership decision to its actor. */
export type MembershipCommand =
  | {
      readonly type: "send";
      readonly to: string;
      readonly message: GossipMessage;
    }
  | { readonly type: "notify"; readonly update: MembershipUpdate }
  | { readonly type: "count"; readonly metric: MetricName }
  | {
      readonly type: "record";
      readonly event: EventName;
      readonly node: NodeId;
    };
