import type { Millis } from "../clock.ts";
import type { AttemptToken, RowKey } from "../ids.ts";
import type { Claim } from "./claim.ts";

/** A row of the table, or undefined when it is absent. */
export type FoundRow =
  | { readonly version: number; readonly value: unknown }
  | undefined;

/**
 * One row to write. `exact`: applies to this version only, else reports a
 * conflict. `settle`: records the outcome of the claim with the same token,
 * whatever its version; retried until it is written or no longer applies.
 */
export type ClaimWrite = {
  readonly mode: "exact" | "settle";
  readonly key: RowKey;
  readonly version: number | "absent";
  readonly claim: Claim;
  /** Time at which an exact write is reported as failed. */
  readonly giveUpAt: Millis;
};

/** Result of a row write. */
export type WriteResult =
  /** Certain to have taken effect; `version` is the new one of the row, assumed to be 1 where the row was absent. */
  | { readonly kind: "written"; readonly version: number }
  | { readonly kind: "conflict"; readonly current: FoundRow }
  /** Not confirmed in time; the row may still hold the write when `maybeApplied` is set. */
  | { readonly kind: "failed"; readonly maybeApplied: boolean };

/** Result of a transaction. */
export type BatchResult =
  | { readonly kind: "committed" }
  | {
      readonly kind: "conflict";
      readonly current: ReadonlyMap<RowKey, FoundRow>;
    }
  | { readonly kind: "unavailable"; readonly detail: string }
  | { readonly kind: "unknown"; readonly detail: string };

/** A write that has no result yet. */
export type PendingWrite = {
  readonly claimWrite: ClaimWrite;
  readonly maybeApplied: boolean;
};

/** Queued writes and the one transaction in flight. */
export type WriterState = {
  readonly queue: readonly PendingWrite[];
  readonly activeBatch:
    | {
        readonly attempt: AttemptToken;
        readonly claimWrites: readonly PendingWrite[];
      }
    | undefined;
  /** Prefix of attempt tokens, unique to this run of the node. */
  readonly prefix: string;
  readonly attempts: number;
  /** Failed transactions since the last answer of the table. */
  readonly failures: number;
  readonly retryAt: Millis;
  /** Token bucket of transactions: tokens left at `tokensAt`. */
  readonly tokens: number;
  readonly tokensAt: Millis;
};

/** Event that the claim writer handles. */
export type WriterEvent =
  | { readonly type: "write"; readonly claimWrite: ClaimWrite }
  | {
      readonly type: "result";
      readonly attempt: AttemptToken;
      readonly result: BatchResult;
    }
  | { readonly type: "wake" };

/** Command that the claim writer carries out. */
export type WriterCommand =
  | {
      readonly type: "transact";
      readonly attempt: AttemptToken;
      readonly claimWrites: readonly ClaimWrite[];
    }
  | {
      readonly type: "notify";
      readonly claimWrite: ClaimWrite;
      readonly result: WriteResult;
    }
  | { readonly type: "set-timer"; readonly at: Millis }
  | { readonly type: "outage"; readonly started: boolean }
  | { readonly type: "ambiguous"; readonly attempt: AttemptToken }
  | { readonly type: "rejected" };
