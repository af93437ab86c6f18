import type { Millis } from "../clock.ts";
import type { AttemptToken, EngineId, LeaseId } from "../ids.ts";
import type { EventName } from "../observe/events.ts";
import type { MetricName } from "../observe/metrics.ts";
import type { BudgetRow } from "./row.ts";

/** A row as read from the table, before validation. */
export type StoredRow = {
  readonly version: number;
  readonly value: unknown;
};

/** Event that the load budget actor handles. */
export type LoadBudgetEvent =
  /** An engine owner of this node requests a permit for one load. */
  | {
      readonly type: "request-permit";
      readonly engine: EngineId;
      readonly urgent: boolean;
    }
  /** A granted permit is released; `used` when a load was started under it. */
  | {
      readonly type: "release-permit";
      readonly engine: EngineId;
      readonly used: boolean;
    }
  /** The engine is no longer owned here; its requests are dropped. */
  | { readonly type: "withdraw"; readonly engine: EngineId }
  /** Session lease of the node; permits are granted only before `usableUntil`. */
  | {
      readonly type: "lease";
      readonly lease: LeaseId;
      readonly usableUntil: Millis;
    }
  | { readonly type: "lease-lost" }
  /** Engines owned by this node and by all nodes. */
  | {
      readonly type: "owners";
      readonly local: number;
      readonly total: number;
    }
  /** This node removed the session row of another lease. */
  | { readonly type: "lease-removed"; readonly lease: LeaseId }
  | { readonly type: "row-read"; readonly row: StoredRow | undefined }
  | { readonly type: "read-failed"; readonly detail: string }
  | { readonly type: "write-committed" }
  | { readonly type: "write-conflict"; readonly row: StoredRow | undefined }
  | {
      readonly type: "write-failed";
      /** `unknown`: the write may have taken effect or may still do so. */
      readonly kind: "unavailable" | "unknown";
      readonly detail: string;
    }
  | { readonly type: "wake" };

/** Command that the load budget actor carries out. */
export type LoadBudgetCommand =
  | { readonly type: "grant"; readonly engine: EngineId }
  | { readonly type: "read" }
  | {
      readonly type: "write";
      readonly attempt: AttemptToken;
      readonly base: number | "absent";
      readonly value: BudgetRow;
    }
  /** Sends a `wake` event at this time; replaces an earlier one. */
  | { readonly type: "set-timer"; readonly at: Millis }
  | { readonly type: "count"; readonly name: MetricName }
  | {
      readonly type: "record";
      readonly event: EventName;
      readonly detail: string;
    };
