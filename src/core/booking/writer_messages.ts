import type { Millis } from "../clock.ts";
import type { AttemptToken, RowKey } from "../ids.ts";
import type { Claim } from "./claim.ts";

/** A row as the table holds it, or undefined when it is absent. */
export type FoundRow =
  | { readonly version: number; readonly value: unknown }
  | undefined;

/**
 * One row to write. `exact`: only on this version, else reported as a conflict.
 * `settle`: the outcome of the claim with the same token, on whatever version
 * that claim has; tried until it is written or has become pointless.
 */
export type RowWrite = {
  readonly mode: "exact" | "settle";
  readonly key: RowKey;
  readonly version: number | "absent";
  readonly claim: Claim;
  /** Time at which an exact write is given up. */
  readonly giveUpAt: Millis;
};

/** What became of an order. */
export type WriteResult =
  /** Certain to have taken effect; `version` is what it gave the row, assumed to be 1 where the row was absent. */
  | { readonly kind: "written"; readonly version: number }
  | { readonly kind: "conflict"; readonly current: FoundRow }
  /** Given up; the row may still hold the write when `maybeApplied` is set. */
  | { readonly kind: "failed"; readonly maybeApplied: boolean };

/** What became of a transaction. */
export type BatchResult =
  | { readonly kind: "committed" }
  | {
      readonly kind: "conflict";
      readonly current: ReadonlyMap<RowKey, FoundRow>;
    }
  | { readonly kind: "unavailable"; readonly detail: string }
  | { readonly kind: "unknown"; readonly detail: string };

/** An order that has no result yet. */
export type PendingWrite = {
  readonly order: RowWrite;
  readonly maybeApplied: boolean;
};

/** Orders that wait and the one transaction in flight. */
export type WriterState = {
  readonly queue: readonly PendingWrite[];
  readonly flight:
    | {
        readonly attempt: AttemptToken;
        readonly orders: readonly PendingWrite[];
      }
    | undefined;
  /** Prefix of attempt tokens, unique to this run of the node. */
  readonly prefix: string;
  readonly attempts: number;
  /** Failed transactions since the last answer of the table. */
  readonly failures: number;
  readonly retryAt: Millis;
  /** Write budget: tokens left at a time. */
  readonly tokens: number;
  readonly tokensAt: Millis;
};

/** Message to the claim writer. */
export type WriterEvent =
  | { readonly type: "write"; readonly order: RowWrite }
  | {
      readonly type: "result";
      readonly attempt: AttemptToken;
      readonly result: BatchResult;
    }
  | { readonly type: "wake" };

/** Order of the decision to the claim writer. */
export type WriterCommand =
  | {
      readonly type: "transact";
      readonly attempt: AttemptToken;
      readonly orders: readonly RowWrite[];
    }
  | {
      readonly type: "notify";
      readonly order: RowWrite;
      readonly result: WriteResult;
    }
  | { readonly type: "set-timer"; readonly at: Millis }
  | { readonly type: "outage"; readonly started: boolean }
  | { readonly type: "ambiguous"; readonly attempt: AttemptToken }
  | { readonly type: "rejected" };
