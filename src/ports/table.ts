import type { Either } from "purify-ts";
import type { AttemptToken, RowKey, StoreEpoch } from "../core/ids.ts";

/** A JSON value as the table service stores it. */
export type Json =
  | null
  | boolean
  | number
  | string
  | readonly Json[]
  | { readonly [key: string]: Json };

/** One row of the table service. */
export type Row = {
  readonly key: RowKey;
  /** Increases by one with each write of the row; never reused after a delete. */
  readonly version: number;
  readonly value: Json;
  /** Token of the transaction that wrote this version. */
  readonly attempt: AttemptToken;
};

/** Requires a row to be absent or to have exactly this version. */
export type Condition = {
  readonly key: RowKey;
  readonly version: number | "absent";
};

/** Writes a row, or deletes it when the value is undefined. */
export type RowWrite = {
  readonly key: RowKey;
  readonly value: Json | undefined;
};

/** Conditions and writes that take effect together or not at all. */
export type Transaction = {
  readonly attempt: AttemptToken;
  readonly conditions: readonly Condition[];
  readonly writes: readonly RowWrite[];
};

/** Result of a transaction that the table service answered. */
export type TransactionResult =
  | {
      readonly kind: "committed";
      /** Version of the row written last, if the table returns it. */
      readonly version?: number;
      /** Epoch in which the write took effect; omitted by a table that is never restored. */
      readonly epoch?: StoreEpoch;
    }
  | {
      readonly kind: "conflict";
      /** Current rows of the conditions that failed; undefined when absent. */
      readonly current: ReadonlyMap<RowKey, Row | undefined>;
    };

/** Why a call to the table service failed. */
export type TableFailure = {
  /** `unavailable`: not applied. `unknown`: the answer was lost and the write may have been applied. */
  readonly kind: "unavailable" | "unknown";
  readonly detail: string;
};

/** Transactional table service of the platform. */
export type TableService = {
  read(key: RowKey): Promise<Either<TableFailure, Row | undefined>>;
  /** Rows whose key starts with the prefix, in key order. */
  scan(prefix: string): Promise<Either<TableFailure, readonly Row[]>>;
  transact(
    transaction: Transaction,
  ): Promise<Either<TableFailure, TransactionResult>>;
};
