import type { Either } from "purify-ts";
import type { Millis } from "../core/clock.ts";
import type {
  RowBatch,
  RowPosition,
  RowUpdate,
} from "../core/gateway/row_replica.ts";
import type { MachineName, StoreEpoch } from "../core/ids.ts";

/** A group of rows that every node follows. */
export type RowTopic = "operator" | "servers" | "nodes";

/** All topics. */
export const rowTopics: readonly RowTopic[] = ["operator", "servers", "nodes"];

/** Why rows could not be read. */
export type RowFailure = {
  /** `gone`: the source no longer keeps the changes after the requested version. */
  readonly kind: "refused" | "unknown" | "gone";
  readonly detail: string;
  /** Epoch that the answer states; undefined without an answer. */
  readonly epoch?: StoreEpoch | undefined;
};

/** The table service as a source of rows and of their changes. */
export type RowSource = {
  /** Reads all rows. */
  read(topic: RowTopic): Promise<Either<RowFailure, RowBatch>>;
  /** Reads the changes after a version; waits up to `wait` for the first one. */
  follow(
    topic: RowTopic,
    options: { readonly after: number; readonly wait: Millis },
  ): Promise<Either<RowFailure, RowBatch>>;
};

/** A change of a copy, and what is known of its way to this node. */
export type RowChange = RowUpdate & {
  /** Node that passed the rows on; undefined if this node read them itself. */
  readonly source: MachineName | undefined;
  /** Upper bound of the time since the rows were written, in ms. */
  readonly maxAge: number;
};

/** Copy of a topic, and how recent it is. */
export type RowSnapshot = RowBatch & {
  /** Local time at which the table service still had no newer version. */
  readonly confirmedAt: Millis;
};

/** Keeps copies of all topics up to date. */
export type RowFollower = {
  /** Calls the listener with the changes of a topic, from now on. */
  subscribe(topic: RowTopic, listener: (change: RowChange) => void): void;
  /** The current copy; undefined before the first complete read. */
  snapshot(topic: RowTopic): RowSnapshot | undefined;
  /** Reads a topic from the table service; returns the copy after that. */
  refresh(topic: RowTopic): Promise<RowSnapshot | undefined>;
  /** End of the latest outage in which registrations can have expired; negative infinity if there was none. */
  readonly outageEndedAt: Millis;
  stop(): void;
};

/** Request of a node for the rows that another node has read. */
export type RowRequest = {
  /** What the caller has of each topic; omitted if it has no rows. */
  readonly positions: { readonly [topic in RowTopic]?: RowPosition };
  /** Maximum wait for a change, in ms. */
  readonly wait: number;
};

/** Rows of one topic in the response to a `RowRequest`. */
export type RowDelivery = RowUpdate & {
  readonly topic: RowTopic;
  /** Upper bound of the age of `newest`, in ms. */
  readonly age: number;
  /** Time since the table service last answered, in ms. */
  readonly answerAge: number;
};

/** Serves copies of rows to other nodes. */
export type RowServer = {
  serve(request: RowRequest): Promise<readonly RowDelivery[]>;
};

/** Reads rows from other nodes. */
export type RowPeers = {
  /** Resolves to undefined if the node does not answer within `timeout`. */
  followRows(
    address: string,
    request: RowRequest,
    timeout: Millis,
  ): Promise<readonly RowDelivery[] | undefined>;
};
