import { type Millis, millis } from "../clock.ts";
import type { MachineName, ModelAdapterKey, ServerId } from "../ids.ts";

/** What the requests of one node use of one engine. */
export type EngineUsage = {
  readonly engine: ServerId;
  /** Adapters on which requests run or ran since the last report. */
  readonly ran: readonly ModelAdapterKey[];
  /** Adapters of requests that the engine has and has not begun. */
  readonly queuedAdapters: readonly ModelAdapterKey[];
  /** Number of requests that the engine has not begun, and their prompt tokens. */
  readonly queuedRequests: number;
  readonly queuedTokens: number;
};

/** Requests that an engine has and has not begun. */
export type EngineBacklog = {
  readonly requests: number;
  readonly tokens: number;
};

/** An adapter that an engine holds or gets, as its owner knows it. */
export type AvailableAdapter = {
  readonly key: ModelAdapterKey;
  readonly version: number;
  /** Time until the adapter is ready, in ms. */
  readonly readyIn: number;
};

/** What an owner tells a node about one engine. */
export type OwnerReport = EngineBacklog & {
  readonly engine: ServerId;
  /** Contents of the engine; undefined if the node has heard of them already. */
  readonly availableAdapters: readonly AvailableAdapter[] | undefined;
};

/** Time after which a report no longer tells about the load, in ms. */
const loadLifetime = 1_500;
/** Prompt tokens that an engine reads per ms, and its time per prompt beside that, in ms. */
const tokensPerMs = 14;
const timePerPrompt = 12;

type Report = EngineBacklog & { readonly at: Millis };

/** Reports of all nodes about the engines that one node owns. */
export type BacklogLedger = {
  readonly byEngine: Map<ServerId, Map<MachineName, Report>>;
};

/** Ledger without reports. */
export function createBacklogLedger(): BacklogLedger {
  return { byEngine: new Map() };
}

/** Records what a node reported. */
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

/** Backlog that the other nodes caused at an engine. */
export function sumOtherBacklog(
  ledger: BacklogLedger,
  of: { readonly engine: ServerId; readonly except: MachineName },
  now: Millis,
): EngineBacklog {
  let requests = 0;
  let tokens = 0;
  for (const [machine, report] of ledger.byEngine.get(of.engine) ?? []) {
    if (machine === of.except || now > report.at + loadLifetime) continue;
    requests += report.requests;
    tokens += report.tokens;
  }
  return { requests, tokens };
}

/** Forgets the reports about an engine. */
export function forgetBacklog(ledger: BacklogLedger, engine: ServerId): void {
  ledger.byEngine.delete(engine);
}

/** Expected wait behind a backlog, in ms. */
export function estimateBacklogWait(backlog: EngineBacklog): Millis {
  const { requests, tokens } = backlog;
  return millis(tokens / tokensPerMs + requests * timePerPrompt);
}
