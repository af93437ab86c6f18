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
  /** Number of requests that run. */
  readonly runningRequests: number;
  /** Version of the contents that the node knows from this owner; 0 if none. */
  readonly contentsVersion: number;
};

/** Requests at an engine. */
export type EngineBacklog = {
  /** Queued requests, and their prompt tokens. */
  readonly requests: number;
  readonly tokens: number;
  /** Running requests. */
  readonly running: number;
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
/** Time after which a promised request is part of the report of its node, in ms. */
const promiseLifetime = 350;

/** Rates at which an engine reads prompts. */
export type PromptRates = {
  readonly promptTokensPerMs: number;
  /** Fixed time per prompt, in ms. */
  readonly msPerPrompt: number;
  /** Delay of a short request in a full batch, in ms. */
  readonly fullBatchDelay: number;
};

/** Rates of a service of which nothing has been learned. */
export const defaultPromptRates: PromptRates = {
  promptTokensPerMs: 14,
  msPerPrompt: 12,
  fullBatchDelay: 60,
};

type Report = EngineBacklog & { readonly at: Millis };

type Promised = { readonly to: MachineName; readonly at: Millis };

/** Backlog reports of all nodes for the engines that one node owns. */
export type BacklogLedger = {
  readonly byEngine: Map<ServerId, Map<MachineName, Report>>;
  /** Requests that nodes are about to send to each engine, oldest first. */
  readonly promised: Map<ServerId, Promised[]>;
};

/** Creates a ledger without reports. */
export function createBacklogLedger(): BacklogLedger {
  return { byEngine: new Map(), promised: new Map() };
}

/** Records that a node was promised an adapter, for which it sends a request. */
export function recordPromisedRequest(
  ledger: BacklogLedger,
  promise: { readonly engine: ServerId; readonly to: MachineName },
  now: Millis,
): void {
  const { engine, to } = promise;
  const recent = (ledger.promised.get(engine) ?? []).filter(
    ({ at }) => now < at + promiseLifetime,
  );
  ledger.promised.set(engine, [...recent, { to, at: now }]);
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
    running: use.runningRequests,
    at: now,
  });
}

/** Sums the backlog of all nodes at an engine, without that of one. */
export function sumOtherBacklog(
  ledger: BacklogLedger,
  of: {
    readonly engine: ServerId;
    /** Undefined for the sum over all nodes. */
    readonly except: MachineName | undefined;
  },
  now: Millis,
): EngineBacklog {
  let requests = 0;
  let tokens = 0;
  let running = 0;
  for (const [machine, report] of ledger.byEngine.get(of.engine) ?? []) {
    if (machine === of.except || now > report.at + reportLifetime) continue;
    requests += report.requests;
    tokens += report.tokens;
    running += report.running;
  }
  for (const { to, at } of ledger.promised.get(of.engine) ?? []) {
    if (to !== of.except && now < at + promiseLifetime) requests++;
  }
  return { requests, tokens, running };
}

/** Removes the reports for an engine. */
export function forgetBacklog(ledger: BacklogLedger, engine: ServerId): void {
  ledger.byEngine.delete(engine);
  ledger.promised.delete(engine);
}

/** How an engine works off its backlog. */
export type EnginePace = {
  /** Maximum number of requests that run at a time. */
  readonly slots: number;
  /** Usual time that a request runs, in ms. */
  readonly runTime: number;
  readonly rates?: PromptRates;
};

/** Time until an engine answers, by what takes it, in ms. */
export type DelayParts = {
  /** Fixed times of prompts. */
  readonly prompts: number;
  /** Reading of prompt tokens. */
  readonly tokens: number;
  /** Share of the engine that running requests take. */
  readonly batch: number;
  /** Wait for a slot. */
  readonly slots: number;
};

/**
 * Expected delay of a request by the others at an engine: the prompts before it,
 * the wait for a slot once all are taken, and the share of the engine that
 * running requests take from its own prompt.
 */
export function estimateBacklogDelay(
  backlog: EngineBacklog,
  { slots, runTime, rates = defaultPromptRates }: EnginePace,
  promptTokens: number,
): DelayParts {
  const { requests, tokens, running } = backlog;
  const { promptTokensPerMs, msPerPrompt, fullBatchDelay } = rates;
  const excess = running + requests + 1 - slots;
  const occupancy = Math.min(1, (running + requests) / slots);
  return {
    prompts: requests * msPerPrompt,
    tokens: (tokens + occupancy * promptTokens) / promptTokensPerMs,
    batch: occupancy * fullBatchDelay,
    slots: excess > 0 ? (excess * runTime) / slots : 0,
  };
}

/** Sum of the expected delays of a request by the others at an engine, in ms. */
export function estimateBacklogWait(
  backlog: EngineBacklog,
  pace: EnginePace,
  promptTokens: number,
): Millis {
  return sumDelays(estimateBacklogDelay(backlog, pace, promptTokens));
}

/** Sum of the parts of a delay, in ms. */
export function sumDelays(parts: DelayParts): Millis {
  return millis(parts.prompts + parts.tokens + parts.batch + parts.slots);
}

/** Expected time of a request's own prompt at an idle engine. */
export function estimateOwnPrompt(
  { promptTokensPerMs, msPerPrompt }: PromptRates,
  promptTokens: number,
): DelayParts {
  const tokens = promptTokens / promptTokensPerMs;
  return { prompts: msPerPrompt, tokens, batch: 0, slots: 0 };
}
