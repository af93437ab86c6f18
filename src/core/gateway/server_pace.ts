import type { Millis } from "../clock.ts";
import type { ServerId, ServiceName } from "../ids.ts";
import {
  type DelayParts,
  defaultPromptRates,
  type PromptRates,
} from "./engine_backlog.ts";
import type { BackendServer } from "./servers.ts";

/** Weight of one answer in the pace of its server, and in the mean pace of the service. */
const serverWeight = 0.15;
const serviceWeight = 0.03;
/** Limit on the natural logarithm of observed to expected time, so that an outlier counts little. */
const maxLogRatio = 0.7;
/** Limit on the natural logarithm of a server's slowness. */
const maxLogSlowness = 2;
/** Maximum factor between a learned rate and its default, since rates also show queues that are not known. */
const maxRateFactor = 10;
/** Number of runs from which their mean is that of the service. */
const minRuns = 40;
/** Time after which half of what was learned of a server is forgotten, in ms. */
const halfLife = 15_000;
/** Time for which a slowness that all nodes measured counts, in ms. */
const sharedLifetime = 30_000;

/** Mean pace of the servers of a service. */
type ServicePace = {
  rates: PromptRates;
  /** Mean time of a run, by kind of run, in ms. */
  readonly runTimes: Map<number, RunMean>;
};

/** Mean time of a number of runs, in ms. */
type RunMean = { time: number; runs: number };

/** Slowness of one incarnation of a server, as a natural logarithm; 0 is the mean of its service. */
type ServerPace = {
  readonly born: number | undefined;
  /** Slowness as measured by all nodes together, and when that was last heard. */
  shared: number;
  sharedAt: Millis;
  /** Slowness in the recent answers to this node, which also shows queues that are not known yet. */
  own: number;
  learnedAt: Millis;
};

/** A call that a server has not answered yet. */
export type OpenCall = {
  readonly server: ServerId;
  readonly startedAt: Millis;
};

/** Pace of servers and services as learned by one node; owned by one task and updated in place. */
export type PaceTable = {
  readonly services: Map<ServiceName, ServicePace>;
  readonly servers: Map<ServerId, ServerPace>;
  /** Unanswered calls of this node to servers without models, oldest first. */
  readonly open: Map<ServerId, Set<OpenCall>>;
};

/** A server whose pace is learned. */
export type PacedServer = Pick<BackendServer, "id" | "born" | "service">;

/** Creates a table in which all servers have the same pace. */
export function createPaceTable(): PaceTable {
  return { services: new Map(), servers: new Map(), open: new Map() };
}

/** Learns from the time between a send and the first event of the answer. */
export function learnFirstEvent(
  table: PaceTable,
  server: PacedServer,
  {
    expected,
    elapsed,
    now,
  }: {
    /** Parts of the time that the mean server of the service was expected to take. */
    readonly expected: DelayParts;
    readonly elapsed: Millis;
    readonly now: Millis;
  },
): void {
  const { prompts, tokens, batch, slots } = expected;
  const total = prompts + tokens + batch + slots;
  if (total <= 0) return;
  const ratio = limitRatio(Math.max(1, elapsed) / total);
  const service = obtainService(table, server.service);
  const adjust = (part: number) =>
    Math.exp((serviceWeight * limit(ratio, maxLogRatio) * part) / total);
  const { msPerPrompt, promptTokensPerMs, fullBatchDelay } = service.rates;
  service.rates = limitRates({
    msPerPrompt: msPerPrompt * adjust(prompts),
    promptTokensPerMs: promptTokensPerMs / adjust(tokens),
    fullBatchDelay: fullBatchDelay * adjust(batch),
  });
  learnRatio(table, server, { ratio, now });
}

/**
 * Learns from the time of a whole run; returns the logarithm of its ratio to the
 * mean time, or undefined while that is the mean of few runs.
 */
export function learnRun(
  table: PaceTable,
  server: PacedServer,
  {
    answerTokens,
    runTime,
    now,
  }: {
    /** Answer tokens at most; 0 for a service without models. */
    readonly answerTokens: number;
    readonly runTime: Millis;
    readonly now: Millis;
  },
): number | undefined {
  const { runTimes } = obtainService(table, server.service);
  const kind = findRunKind(answerTokens);
  const observed = Math.max(1, runTime);
  const mean = runTimes.get(kind) ?? { time: observed, runs: 0 };
  runTimes.set(kind, mean);
  const ratio = limitRatio(observed / mean.time);
  mean.runs++;
  const weight = Math.max(serviceWeight, 1 / mean.runs);
  mean.time *= Math.exp(weight * limit(ratio, maxLogRatio));
  learnRatio(table, server, { ratio, now });
  return mean.runs < minRuns ? undefined : ratio;
}

/** Records a call to a server without models. */
export function startCall(
  { open }: PaceTable,
  server: ServerId,
  now: Millis,
): OpenCall {
  const call = { server, startedAt: now };
  const calls = open.get(server) ?? new Set();
  open.set(server, calls);
  calls.add(call);
  return call;
}

/** Records that a call has ended in any way; false if that was known. */
export function endCall({ open }: PaceTable, call: OpenCall): boolean {
  const calls = open.get(call.server);
  const isNews = calls?.delete(call) === true;
  if (calls?.size === 0) open.delete(call.server);
  return isNews;
}

/** Time since the oldest unanswered call to a server was sent, in ms; 0 if there is none. */
export function readOldestCall(
  { open }: PaceTable,
  server: ServerId,
  now: Millis,
): number {
  for (const { startedAt } of open.get(server) ?? []) return now - startedAt;
  return 0;
}

/** Records the slowness that all nodes together have measured. */
export function recordSharedPace(
  table: PaceTable,
  server: PacedServer,
  { logSlowness, now }: { readonly logSlowness: number; readonly now: Millis },
): void {
  const pace = obtainServer(table, server, now);
  pace.shared = limit(logSlowness, maxLogSlowness);
  pace.sharedAt = now;
}

/** Time that a server took for recent answers to this node, relative to the mean of its service; 1 if nothing is known. */
export function readSlowness(
  table: PaceTable,
  server: PacedIncarnation,
  now: Millis,
): number {
  const pace = findPace(table, server);
  return pace === undefined ? 1 : Math.exp(readOwn(pace, now));
}

/** Slowness that all nodes together have measured, by which homes are weighted; 1 if none is known. */
export function readSharedSlowness(
  table: PaceTable,
  server: PacedIncarnation,
  now: Millis,
): number {
  const pace = findPace(table, server);
  return pace === undefined ? 1 : Math.exp(readShared(pace, now));
}

type PacedIncarnation = Pick<PacedServer, "id" | "born">;

/** Pace of this incarnation of a server, if any is known. */
function findPace({ servers }: PaceTable, { id, born }: PacedIncarnation) {
  const pace = servers.get(id);
  return pace?.born === born ? pace : undefined;
}

/** Mean rates at which the engines of a service read prompts. */
export function readPromptRates(
  { services }: PaceTable,
  service: ServiceName,
): PromptRates {
  return services.get(service)?.rates ?? defaultPromptRates;
}

/** Mean time of a run at a service, in ms; undefined if none has ended. */
export function readRunTime(
  { services }: PaceTable,
  service: ServiceName,
  answerTokens: number,
): number | undefined {
  return services.get(service)?.runTimes.get(findRunKind(answerTokens))?.time;
}

/** Removes a server that is gone. */
export function forgetPace({ servers }: PaceTable, id: ServerId): void {
  servers.delete(id);
}

/** Kind of a run by the order of magnitude of its answer. */
function findRunKind(answerTokens: number): number {
  return answerTokens <= 0 ? -1 : Math.floor(Math.log2(answerTokens));
}

function obtainService(table: PaceTable, name: ServiceName): ServicePace {
  let service = table.services.get(name);
  if (service === undefined) {
    service = { rates: defaultPromptRates, runTimes: new Map() };
    table.services.set(name, service);
  }
  return service;
}

function obtainServer(
  table: PaceTable,
  { id, born }: Pick<PacedServer, "id" | "born">,
  now: Millis,
): ServerPace {
  let pace = table.servers.get(id);
  if (pace === undefined || pace.born !== born) {
    pace = { born, shared: 0, sharedAt: now, own: 0, learnedAt: now };
    table.servers.set(id, pace);
  }
  return pace;
}

function learnRatio(
  table: PaceTable,
  server: PacedServer,
  { ratio, now }: { readonly ratio: number; readonly now: Millis },
): void {
  const pace = obtainServer(table, server, now);
  const own = readOwn(pace, now);
  const surprise = limit(ratio - own, maxLogRatio);
  pace.own = limit(own + serverWeight * surprise, maxLogSlowness);
  pace.learnedAt = now;
}

/** What all nodes have measured, unless that was long ago. */
function readShared({ shared, sharedAt }: ServerPace, now: Millis): number {
  return now < sharedAt + sharedLifetime ? shared : 0;
}

/** What this node has learned itself, as far as it is not forgotten. */
function readOwn({ own, learnedAt }: ServerPace, now: Millis): number {
  return own * 0.5 ** (Math.max(0, now - learnedAt) / halfLife);
}

function limitRates(rates: PromptRates): PromptRates {
  const limitRate = (name: keyof PromptRates) => {
    const usual = defaultPromptRates[name];
    const highest = usual * maxRateFactor;
    return Math.max(usual / maxRateFactor, Math.min(highest, rates[name]));
  };
  return {
    msPerPrompt: limitRate("msPerPrompt"),
    promptTokensPerMs: limitRate("promptTokensPerMs"),
    fullBatchDelay: limitRate("fullBatchDelay"),
  };
}

function limitRatio(ratio: number): number {
  return limit(Math.log(ratio), maxLogSlowness);
}

function limit(value: number, bound: number): number {
  return Math.max(-bound, Math.min(bound, value));
}
