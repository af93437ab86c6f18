import { type Millis, millis } from "../clock.ts";
import type { EngineEvent, EngineLimits } from "../engine/messages.ts";
import type {
  AttemptToken,
  DataCentre,
  EngineId,
  FencingNumber,
  LeaseId,
  NodeId,
  RowKey,
} from "../ids.ts";
import type { EventName } from "../observe/events.ts";
import type { EngineRow, SessionRow, StoredRow } from "./rows.ts";

/** Durations of the session lease in ms; see design 5.3 and section 7. */
export type SessionSettings = {
  /** Length of the lease, measured from before the renewal was sent. */
  readonly duration: Millis;
  /** Time from one successful renewal to the next. */
  readonly renewInterval: Millis;
  /** The holder stops this long before the end, for clocks that run at different speeds. */
  readonly margin: Millis;
  /** Wait after a failed transaction or read. */
  readonly retryDelay: Millis;
  /** Deadline of one table call. */
  readonly tableTimeout: Millis;
  /** Longest time that a written engine order may take to arrive. */
  readonly orderTimeout: Millis;
  /** Time between two reads of rows that are waited for. */
  readonly pollInterval: Millis;
  /** How long another node must be preferred before an engine is handed to it. */
  readonly rebalanceDelay: Millis;
  /** Time between two searches for sessions of nodes that are gone. */
  readonly sweepInterval: Millis;
  /** Longest planned handover. */
  readonly handoverTimeout: Millis;
};

/** Durations for today's number of nodes. */
export const defaultSessionSettings: SessionSettings = {
  duration: millis(6_000),
  renewInterval: millis(2_000),
  margin: millis(1_000),
  retryDelay: millis(500),
  tableTimeout: millis(1_000),
  orderTimeout: millis(10_000),
  pollInterval: millis(500),
  rebalanceDelay: millis(10_000),
  sweepInterval: millis(30_000),
  handoverTimeout: millis(5_000),
};

/** Engine rows written by one transaction at most. */
export const maxEnginesPerTransaction = 64;
/** Rows read at once at most. */
export const maxRowsPerRead = 64;

/** An engine that nodes of this data centre may own. */
export type SessionEngine = {
  readonly engine: EngineId;
  readonly fencing: EngineLimits["fencing"];
};

/** A node that membership believes alive. */
export type LiveNode = {
  readonly node: NodeId;
  readonly dataCentre: DataCentre;
};

/** Report to the owner actor of an engine. */
export type OwnershipEvent = Extract<
  EngineEvent,
  { type: "ownership" | "ownership-lost" }
>;

/** An engine that this node owns. */
export type OwnedEngine = {
  readonly fence: FencingNumber;
  readonly settledAt: Millis;
};

/** An engine that a transaction takes. */
export type Claim = {
  readonly engine: EngineId;
  readonly fence: FencingNumber;
  readonly version: number | "absent";
  readonly predecessor: Predecessor;
  /** Session row of the predecessor as the claim presumes it; a condition of the transaction. */
  readonly basis?: {
    readonly node: NodeId;
    readonly version: number | "absent";
  };
};

/** What an earlier owner may still do: nothing, orders under way when it stopped, or orders until its lease ends. */
export type Predecessor = "none" | "stopped" | "unknown";

/** An engine given up whose row is not yet rewritten. */
export type PendingHandover = {
  readonly fence: FencingNumber;
  /** No order of an owner before this node can arrive any more. */
  readonly settled: boolean;
};

/** An engine row that a transaction rewrites for a successor; null frees it. */
export type Handover = {
  readonly engine: EngineId;
  readonly fence: FencingNumber;
  readonly version: number;
  readonly settled: boolean;
  readonly successor: { readonly node: NodeId; readonly lease: LeaseId } | null;
};

/** A session row that a transaction deletes. */
export type Removal = {
  readonly node: NodeId;
  readonly lease: LeaseId;
  readonly version: number;
};

/** One transaction of the session; each of them writes the node's own row. */
export type Attempt = {
  readonly token: AttemptToken;
  readonly sentAt: Millis;
  readonly version: number | "absent";
  readonly lease: LeaseId;
  readonly claims: readonly Claim[];
  readonly handovers: readonly Handover[];
  readonly removals: readonly Removal[];
  /** Deletes the node's own row instead of renewing it. */
  readonly last: boolean;
};

/** A session row of another node as last read. */
export type WatchedSession =
  | "absent"
  | (SessionRow & {
      readonly version: number;
      /** Local time when this version was first seen. */
      readonly since: Millis;
    });

/** An engine row as last read. */
export type KnownEngine = "absent" | (EngineRow & { readonly version: number });

/** State of a node's session; owned by one actor and updated in place. */
export type SessionState = {
  readonly node: NodeId;
  readonly dataCentre: DataCentre;
  readonly settings: SessionSettings;
  phase: "acquiring" | "held" | "releasing" | "released";
  lease: LeaseId;
  leaseNumber: number;
  sequence: number;
  /** Version of the own row as last known. */
  version: number | "absent";
  /** The own row must be read before the next transaction. */
  stale: boolean;
  leaseEnd: Millis;
  /** Earliest time of the next transaction that only renews. */
  renewAt: Millis;
  readAt: Millis;
  sweepAt: Millis;
  releaseBy: Millis;
  /** The last table call failed. */
  failing: boolean;
  /** Time at which all nodes of the data centre were last known to be without the table. */
  outageConfirmedAt: Millis;
  busy: "no" | "transaction" | "read";
  current: Attempt | undefined;
  /** Attempts whose answer was lost; one of them may still take effect. */
  readonly unresolved: Map<AttemptToken, Attempt>;
  engines: ReadonlyMap<EngineId, SessionEngine["fencing"]>;
  live: readonly LiveNode[];
  /** Engines that rendezvous hashing gives to this node. */
  assigned: ReadonlySet<EngineId>;
  readonly owned: Map<EngineId, OwnedEngine>;
  readonly pendingHandovers: Map<EngineId, PendingHandover>;
  readonly misplacedSince: Map<EngineId, Millis>;
  readonly rows: Map<EngineId, KnownEngine>;
  readonly sessions: Map<NodeId, WatchedSession>;
};

/** Message to the session. */
export type SessionEvent =
  | {
      readonly type: "tick";
      readonly live: readonly LiveNode[];
      readonly engines: readonly SessionEngine[];
      /** Time at which every other node of the data centre was last known to be without the table too. */
      readonly outageConfirmedAt: Millis | undefined;
    }
  | { readonly type: "committed"; readonly token: AttemptToken }
  | {
      readonly type: "conflicted";
      readonly token: AttemptToken;
      readonly current: ReadonlyMap<RowKey, StoredRow | undefined>;
    }
  | {
      readonly type: "transaction-failed";
      readonly token: AttemptToken;
      readonly kind: "unavailable" | "unknown";
    }
  | {
      readonly type: "rows";
      readonly rows: ReadonlyMap<RowKey, StoredRow | undefined>;
    }
  | { readonly type: "read-failed" }
  /** Ownership of an engine may have changed; look at once. */
  | { readonly type: "look" }
  | { readonly type: "release" };

/** Order of the session to its actor. */
export type SessionCommand =
  | { readonly type: "transact"; readonly attempt: Attempt }
  | { readonly type: "read"; readonly keys: readonly RowKey[] }
  | { readonly type: "scan"; readonly prefix: string }
  | {
      readonly type: "report";
      readonly engine: EngineId;
      readonly event: OwnershipEvent;
    }
  /** Ends `release`; `handed` says whether the rows were rewritten. */
  | { readonly type: "released"; readonly handed: boolean }
  | {
      readonly type: "record";
      readonly event: EventName;
      readonly engine?: EngineId;
      readonly detail?: string;
    };

/** Inputs of a new session. */
export type SessionIdentity = Pick<
  SessionState,
  "node" | "dataCentre" | "settings"
>;

/** State of a session that holds no lease yet. */
export function createSessionState(identity: SessionIdentity): SessionState {
  const never = millis(Number.NEGATIVE_INFINITY);
  return {
    ...identity,
    phase: "acquiring",
    lease: `${identity.node}/1` as LeaseId,
    leaseNumber: 1,
    sequence: 0,
    version: "absent",
    stale: false,
    leaseEnd: never,
    renewAt: never,
    readAt: never,
    sweepAt: never,
    releaseBy: never,
    failing: false,
    outageConfirmedAt: millis(Number.NEGATIVE_INFINITY),
    busy: "no",
    current: undefined,
    unresolved: new Map(),
    engines: new Map(),
    live: [],
    assigned: new Set(),
    owned: new Map(),
    pendingHandovers: new Map(),
    misplacedSince: new Map(),
    rows: new Map(),
    sessions: new Map(),
  };
}
