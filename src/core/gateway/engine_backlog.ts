import { type Millis, millis } from "../clock.ts";
import type { MachineName, ModelAdapterKey, ServerId } from "../ids.ts";

/** Usage of one engine by the requests of one node. */
export type EngineUsage = {
  readonly engine: ServerId;
  /** Adapters on which requests run or ran since the last report. */
  readonly ran: readonly ModelAdapterKey[];
  /** Adapters of requests that the engine has queued. */
  readonly queuedAdapters: readonly ModelAdapterKey[];
  /** Number of requests that the engine has queued, and their prompt tokens. */
  readonly queuedRequests: number;
  readonly queuedTokens: number;
  /** Version of the contents that the node knows from this owner; 0 if none. */
  readonly contentsVersion: number;
};

/** Requests that an engine has queued, and their prompt tokens. */
export type EngineBacklog = {
  readonly requests: number;
  readonly tokens: number;
};

/** An adapter that an engine holds or is loading, as known to its owner. */
export type AvailableAdapter = {
  readonly key: ModelAdapterKey;
  readonly version: number;
  /** Time until the adapter is ready, in ms. */
  readonly readyIn: number;
};

/** Report of an engine's owner to another node: the backlog of the other nodes and the adapters. */
export type OwnerReport = EngineBacklog & {
  readonly engine: ServerId;
  /** Changes with the contents of the engine; never 0. */
  readonly contentsVersion: number;
  /** Adapters of the engine; undefined if the node knows this version. */
  readonly availableAdapters: readonly AvailableAdapter[] | undefined;
};

/** Time after which a report of a node is ignored, in ms. */
const reportLifetime = 1_500;
/** Prompt tokens that an engine processes per ms, and its fixed time per prompt, in ms. */
const promptTokensPerMs = 14;
const msPerPrompt = 12;

type Report = EngineBacklog & { readonly at: Millis };

/** Backlog reports of all nodes for the engines that one node owns. */
export type BacklogLedger = {
  readonly byEngine: Map<ServerId, Map<MachineName, Report>>;
};

/** Creates a ledger without reports. */
export function createBacklogLedger(): BacklogLedger {
  return { byEngine: new Map() };
}

/** Records the report of a node. */
export function recordUsage(
  ledger: BacklogLedger,
  report: { readonly from: MachineName; readonly use: EngineUsage },
  now: Millis,
): void {
  const { from, use } = report;
  const reports = ledger.byEngine.get(use.engine) ?? new Map();
  ledger.byEngine.set(use.engine, reports);
  reports.set(from, {
    requests: use.queuedRequests,
    tokens: use.queuedTokens,
    at: now,
  });
}

/** Sums the backlog of all nodes but one at an engine. */
export function sumOtherBacklog(
  ledger: BacklogLedger,
  of: { readonly engine: ServerId; readonly except: MachineName },
  now: Millis,
): EngineBacklog {
  let requests = 0;
  let tokens = 0;
  for (const [machine, report] of ledger.byEngine.get(of.engine) ?? []) {
    if (machine === of.except || now > report.at + reportLifetime) continue;
    requests += report.requests;
    tokens += report.tokens;
  }
  return { requests, tokens };
}

/** Removes the reports for an engine. */
export function forgetBacklog(ledger: BacklogLedger, engine: ServerId): void {
  ledger.byEngine.delete(engine);
}

/** Expected wait behind a backlog, in ms. */
export function estimateBacklogWait(backlog: EngineBacklog): Millis {
  const { requests, tokens } = backlog;
  return millis(tokens / promptTokensPerMs + requests * msPerPrompt);
}
