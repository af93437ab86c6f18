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

/** `urgent`: passed on at once by every node. `bulk`: sent by its node to its data centre at a bounded rate. */
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
  /** A counter that the node increments while it cannot reach the table. */
  outage: "bulk",
  /** Requests per second of the adapters most in demand at the node. */
  demand: "bulk",
} as const satisfies Record<string, "urgent" | "bulk">;

/** Subject of a published value. */
export type Topic = keyof typeof topicDelivery;

/** A value that a node publishes; null withdraws it. */
export type Entry = {
  readonly topic: Topic;
  readonly key: string;
  readonly version: number;
  readonly value: JsonValue;
};

/** Order matters: at equal incarnation the later state wins. */
export const memberStates = ["alive", "suspect", "dead", "left"] as const;
export type MemberState = (typeof memberStates)[number];

/** Description of a node, sent when it joins. */
export type MemberInfo = {
  readonly node: NodeId;
  readonly region: Region;
  readonly dataCentre: DataCentre;
  /** `HOST:PORT` for callers. */
  readonly callers: string;
  /** `HOST:PORT` for peers, also the address of its datagrams. */
  readonly peers: string;
};

/** Record of a member at this node. */
export type MemberRecord = {
  readonly info: MemberInfo;
  /** Short hash of the node id, which identifies it in datagrams. */
  readonly tag: number;
  incarnation: number;
  state: MemberState;
  /** Local time of the last change of state. */
  since: Millis;
  /** Published values by topic and key. */
  readonly entries: Map<string, Entry>;
  /** Version up to which every entry is known. */
  contiguousVersion: number;
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
      /** Version of the entry before this one; -1 when it is not stated. */
      readonly after: number;
      readonly entry: Entry;
    }
  /** Digest of the records of a data centre's nodes. */
  | { readonly type: "centre"; readonly centre: number; readonly hash: number }
  /** Digest of one node's record; `requestsUpdate` requests what is newer. */
  | {
      readonly type: "origin";
      readonly tag: number;
      readonly status: number;
      readonly contiguousVersion: number;
      readonly requestsUpdate: boolean;
    };

/** `push` is passed on, `share` is not; `compare` and `sync` are anti-entropy, the others are probes. */
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
  /** Time without an answer after which a monitored node is suspected. */
  readonly suspectAfter: Millis;
  /** Time without an answer after which other nodes probe it as well. */
  readonly indirectProbeAfter: Millis;
  /** Time for which a suspect can refute before it counts as dead. */
  readonly suspicionTimeout: Millis;
  /** Time between two anti-entropy rounds, before jitter. */
  readonly syncInterval: Millis;
  /** Time between probes of another data centre. */
  readonly dataCentreProbePeriod: Millis;
  /** Time without contact after which a data centre counts as unreachable. */
  readonly dataCentreUnreachableAfter: Millis;
  /** Minimum time between two `share` messages with bulk entries. */
  readonly sharePeriod: Millis;
  /** Limit of the traffic for `share` messages, in bytes per second. */
  readonly shareBytesPerSecond: number;
  /** Limit of the anti-entropy traffic, in bytes per second. */
  readonly syncBytesPerSecond: number;
  /** How long a dead or left node is remembered. */
  readonly tombstoneRetention: Millis;
};

/** Settings for the current and the expected number of nodes. */
export const defaultMembershipSettings: MembershipSettings = {
  probePeriod: millis(500),
  suspectAfter: millis(1_300),
  indirectProbeAfter: millis(700),
  suspicionTimeout: millis(4_000),
  syncInterval: millis(1_000),
  dataCentreProbePeriod: millis(2_000),
  dataCentreUnreachableAfter: millis(5_000),
  sharePeriod: millis(1_000),
  shareBytesPerSecond: 1_500,
  syncBytesPerSecond: 1_000,
  tombstoneRetention: millis(300_000),
};

/** Nodes that probe one node of the same data centre. */
export const monitorsPerNode = 3;
/** Peers that a node passes an urgent item on to. */
export const urgentFanout = 3;
/** Maximum number of values that one node publishes. */
export const maxEntriesPerNode = 256;
/** Maximum number of members that are remembered, including dead ones. */
export const maxMembers = 4_096;
/** Limit of the unused sync budget of a node that joins, in bytes. */
export const syncBurstBytes = 65_536;

/** Event that membership handles. */
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

/** A change that membership reports to the rest of the node. */
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

/** Command that the membership actor carries out. */
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
