import type { Millis } from "../clock.ts";
import type {
  AdapterKey,
  Digest,
  EngineId,
  FencingNumber,
  RequestId,
} from "../ids.ts";
import type { EventName } from "../observe/events.ts";
import type { Refusal } from "../results/refusal.ts";
import type { WorkItem } from "./work_item.ts";

/** Configured capacity and behaviour of an engine. */
export type EngineLimits = {
  /** Adapter versions that the engine can hold at once. */
  readonly slots: number;
  /** Requests that can run at once in one batch. */
  readonly batch: number;
  /** Requests that may wait at the owner. */
  readonly queue: number;
  /** Whether the engine refuses orders with an old fencing number. */
  readonly fencing: "checked" | "ignored";
};

/** Status that an engine reports, as far as decisions depend on it. */
export type EngineStatus = {
  readonly boot: string;
  readonly loaded: readonly AdapterKey[];
  readonly running: readonly RequestId[];
  readonly waiting: number;
  readonly leaving: boolean;
};

/** Reason that a stream ended before it was complete. */
export type StreamFailureKind =
  | "refused"
  | "stale-fence"
  | "adapter-missing"
  | "leaving"
  | "unreachable"
  | "broken"
  | "silent"
  | "wrong-adapter";

/** Event that the owner of an engine handles. */
export type EngineEvent =
  | { readonly type: "submit"; readonly work: WorkItem }
  | { readonly type: "cancel"; readonly requestId: RequestId }
  | { readonly type: "first-token"; readonly requestId: RequestId }
  /** Progress of a running stream, at most once a second. */
  | {
      readonly type: "progress";
      readonly requestId: RequestId;
      readonly tokens: number;
    }
  | {
      readonly type: "finished";
      readonly requestId: RequestId;
      readonly tokens: number;
    }
  | {
      readonly type: "stream-failed";
      readonly requestId: RequestId;
      readonly kind: StreamFailureKind;
      readonly detail: string;
    }
  /** A `preempt` command was carried out; the stream has delivered this many events since the request was submitted. */
  | {
      readonly type: "preempted";
      readonly requestId: RequestId;
      readonly tokens: number;
    }
  | { readonly type: "load-finished"; readonly adapter: AdapterKey }
  | {
      readonly type: "load-failed";
      readonly adapter: AdapterKey;
      readonly detail: string;
    }
  | { readonly type: "unload-finished"; readonly adapter: AdapterKey }
  | { readonly type: "unload-failed"; readonly adapter: AdapterKey }
  /** One load may start now. */
  | { readonly type: "permit-granted" }
  | { readonly type: "report"; readonly status: EngineStatus }
  | { readonly type: "report-failed"; readonly detail: string }
  /** The lease and fencing number under which orders may be sent. */
  | {
      readonly type: "ownership";
      readonly fence: FencingNumber;
      /** Loads and evictions may be ordered before this time. */
      readonly orderUntil: Millis;
      /** Requests may be dispatched to loaded adapters before this time; later than `orderUntil` only in a table outage. */
      readonly dispatchUntil: Millis;
      /** Nothing is evicted before this time, since orders of an earlier owner may still take effect; see design 5.2. */
      readonly settledAt: Millis;
    }
  /** Another node owns the engine, or no node. */
  | { readonly type: "ownership-lost" }
  /** Adapter versions that are placed on this engine, most wanted first. */
  | { readonly type: "placement"; readonly adapters: readonly AdapterKey[] }
  /** The server is leaving: no new work. */
  | { readonly type: "leaving" }
  /** The node is draining: no new work; queued work is refused. */
  | { readonly type: "drain" }
  | { readonly type: "wake" };

/** Command that the actor of the engine owner carries out. */
export type EngineCommand =
  | {
      readonly type: "dispatch";
      readonly work: WorkItem;
      readonly fence: FencingNumber;
      readonly validUntil: Millis;
    }
  | {
      readonly type: "load";
      readonly adapter: AdapterKey;
      readonly fence: FencingNumber;
      readonly validUntil: Millis;
    }
  | {
      readonly type: "unload";
      readonly adapter: AdapterKey;
      readonly fence: FencingNumber;
      readonly validUntil: Millis;
    }
  /** Ends the request at this owner; the refusal says whether it may have run. */
  | {
      readonly type: "refuse";
      readonly requestId: RequestId;
      readonly refusal: Refusal;
    }
  | { readonly type: "cancel-stream"; readonly requestId: RequestId }
  /** Ends a stream at the engine; the request is dispatched again later and resumes where the stream stopped. */
  | { readonly type: "preempt"; readonly requestId: RequestId }
  | { readonly type: "request-permit"; readonly urgent: boolean }
  /** Releases a granted permit; `used` when a load was started under it. */
  | { readonly type: "release-permit"; readonly used: boolean }
  /** Requests a report from the engine on a new connection. */
  | { readonly type: "request-report" }
  /** Requests that were running when the engine crashed. */
  | {
      readonly type: "suspect";
      readonly digests: readonly Digest[];
      /** Boot token of the engine before the crash; identifies the crash. */
      readonly boot: string;
    }
  /** A suspect ran to completion alone. */
  | { readonly type: "clear-suspect"; readonly digest: Digest }
  /** Sends a `wake` event at this time; replaces an earlier one. */
  | { readonly type: "set-timer"; readonly at: Millis }
  | {
      readonly type: "record";
      readonly event: EventName;
      readonly requestId?: RequestId;
      readonly adapter?: AdapterKey;
      readonly detail?: string;
    };

/** Identity of an engine at its owner. */
export type EngineIdentity = {
  readonly engine: EngineId;
  readonly limits: EngineLimits;
};
