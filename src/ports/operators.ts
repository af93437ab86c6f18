import type { Either } from "purify-ts";
import type { EventName } from "../core/observe/events.ts";
import type { HybridTime } from "../core/observe/hybrid_clock.ts";
import type { Refusal } from "../core/results/refusal.ts";
import type { EventFields } from "./journal.ts";

/** One event of the timeline. */
export type TimelineEntry = {
  readonly time: HybridTime;
  readonly node: string;
  /** Number of the event type in the catalogue. */
  readonly number: number;
  readonly event: EventName;
  readonly fields: EventFields;
};

/** Filter for timeline events; all given fields must match. */
export type TimelineFilter = {
  readonly requestId?: string | undefined;
  readonly adapter?: string | undefined;
  readonly engine?: string | undefined;
  /** Only events of the last `withinMs` ms. */
  readonly withinMs?: number | undefined;
  /** Maximum number of events to return; the newest are kept. */
  readonly limit: number;
};

/** One engine in the status of a node. */
export type EngineSummary = {
  readonly engine: string;
  readonly region: string;
  readonly owner?: string | undefined;
  readonly state: string;
  readonly queued: number;
  readonly running: number;
  readonly held: readonly string[];
};

/** Status of one node for operators. */
export type NodeStatus = {
  readonly node: string;
  readonly region: string;
  readonly dataCentre: string;
  readonly phase: string;
  readonly revision?: number | undefined;
  /** `unconfirmed` while the revision in force came from a peer and has not been read from the table. */
  readonly certainty: string;
  readonly tableOutage: boolean;
  readonly inFlight: number;
  readonly members: readonly {
    readonly node: string;
    readonly state: string;
    readonly address: string;
    readonly region: string;
  }[];
  readonly engines: readonly EngineSummary[];
};

/** One accepted revision in the history of the configuration. */
export type RevisionRecord = {
  readonly revision: number;
  readonly digest: string;
  readonly operator: string;
  readonly acceptedAt: number;
  readonly adapters: number;
};

/** Result of an accepted sheet. */
export type AppliedSheet = {
  readonly revision: number;
  readonly digest: string;
};

/** Operations that a node offers to operators. */
export type OperatorPort = {
  status(): NodeStatus;
  timeline(filter: TimelineFilter): readonly TimelineEntry[];
  /** Starts draining the node; idempotent. */
  drain(operator: string): void;
  /** Applies a sheet that was edited from the given base revision. */
  applySheet(request: {
    readonly base: number;
    readonly sheet: unknown;
    readonly operator: string;
    readonly attempt: string;
  }): Promise<Either<Refusal, AppliedSheet>>;
  history(limit: number): Promise<Either<Refusal, readonly RevisionRecord[]>>;
  /** Objects that bring a node from a revision to the one in force here. */
  exportConfiguration(after: number): readonly Uint8Array[];
  /** Sheet of the revision in force at this node. */
  showSheet(): Either<Refusal, { revision: number; sheet: unknown }>;
};
