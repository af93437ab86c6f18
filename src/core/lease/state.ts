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
  /** Time from the start of one successful renewal to the next. */
  readonly renewInterval: Millis;
  /** The holder stops using the lease this long before its end, since clocks run at different speeds. */
  readonly margin: Millis;
  /** Delay before a failed transaction or read is retried, without jitter. */
  readonly retryDelay: Millis;
  /** Timeout of one table call. */
  readonly tableTimeout: Millis;
  /** Maximum time that an order may take to reach its engine. */
  readonly orderTimeout: Millis;
  /** Interval between reads of rows whose change the node waits for. */
  readonly pollInterval: Millis;
  /** Time for which an engine must be assigned to another node before it is handed over. */
  readonly rebalanceDelay: Millis;
  /** Interval between searches for expired sessions. */
  readonly sweepInterval: Millis;
  /** Time limit of a planned handover. */
  readonly handoverTimeout: Millis;
};

/** Durations for the current number of nodes. */
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

/** Maximum number of engine rows that one transaction writes. */
export const maxEnginesPerTransaction = 64;
/** Maximum number of rows in one read. */
export const maxRowsPerRead = 64;

/** An engine that nodes of this data centre may own. */
export type SessionEngine = {
  readonly engine: EngineId;
  readonly fencing: EngineLimits["fencing"];
};

/** A node that membership considers alive. */
export type LiveNode = {
  readonly node: NodeId;
  readonly dataCentre: DataCentre;
};

/** Ownership event for the actor of an engine. */
export type OwnershipEvent = Extract<
  EngineEvent,
  { type: "ownership" | "ownership-lost" }
>;

/** An engine that this node owns. */
export type OwnedEngine = {
  readonly fence: FencingNumber;
  /** Time from which orders of earlier owners can no longer take effect. */
  readonly settledAt: Millis;
};

/** An engine that a transaction takes. */
export type Claim = {
  readonly engine: EngineId;
  readonly fence: FencingNumber;
  readonly version: number | "absent";
  readonly predecessor: Predecessor;
  /** Version of the predecessor's session row that the claim relies on; a condition of the transaction. */
  readonly basis?: {
    readonly node: NodeId;
    readonly version: number | "absent";
  };
};

/** Orders of an earlier owner that may still arrive: none, those in flight when it stopped, or any until its lease ends. */
export type Predecessor = "none" | "stopped" | "unknown";

/** A released engine whose row is not rewritten yet. */
export type PendingHandover = {
  readonly fence: FencingNumber;
  /** No order of an earlier owner can arrive any more. */
  readonly settled: boolean;
};

/** An engine row that a transaction rewrites for a successor; without one (null) it has no owner. */
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

/** One transaction of the session; each one writes the node's own row. */
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
  /** Time of the next read of rows whose change the node waits for. */
  readAt: Millis;
  /** Time of the next search for expired sessions. */
  sweepAt: Millis;
  /** Time from which a planned stop hands engines over without a successor. */
  releaseBy: Millis;
  /** Whether the last table call failed. */
  failing: boolean;
  /** Last time at which no node of the data centre was known to reach the table. */
  outageConfirmedAt: Millis;
  busy: "no" | "transaction" | "read";
  current: Attempt | undefined;
  /** Attempts whose answer was lost; one of them may still take effect. */
  readonly unresolved: Map<AttemptToken, Attempt>;
  engines: ReadonlyMap<EngineId, SessionEngine["fencing"]>;
  live: readonly LiveNode[];
  /** Engines that rendezvous hashing assigns to this node. */
  assigned: ReadonlySet<EngineId>;
  readonly owned: Map<EngineId, OwnedEngine>;
  readonly pendingHandovers: Map<EngineId, PendingHandover>;
  /** Time since which each owned engine has been assigned to another live node. */
  readonly misplacedSince: Map<EngineId, Millis>;
  readonly rows: Map<EngineId, KnownEngine>;
  readonly sessions: Map<NodeId, WatchedSession>;
};

/** Event that the session handles. */
export type SessionEvent =
  | {
      readonly type: "tick";
      readonly live: readonly LiveNode[];
      readonly engines: readonly SessionEngine[];
      /** Last time at which no other node of the data centre was known to reach the table either. */
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
  /** The ownership of an engine may have changed; the rows are read at once. */
  | { readonly type: "refresh" }
  | { readonly type: "release" };

/** Command that the session's actor carries out. */
export type SessionCommand =
  | { readonly type: "transact"; readonly attempt: Attempt }
  | { readonly type: "read"; readonly keys: readonly RowKey[] }
  | { readonly type: "scan"; readonly prefix: string }
  | {
      readonly type: "report";
      readonly engine: EngineId;
      readonly event: OwnershipEvent;
    }
  /** Ends `release`; `handed` is true if the rows were rewritten. */
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
