import type { Millis } from "../clock.ts";
import { millis } from "../clock.ts";

/** Weight of the newest answer in the mean latency of a server. */
const latencyWeight = 0.2;
/** Latency assumed of a server that has not answered yet, in ms. */
const initialLatency = 50;
/** Time for which an unreachable server is avoided, in ms. */
const unreachableCooldown = 1_000;
/** A lookup is hedged after this many times the mean latency of the servers. */
const hedgeFactor = 3;
/** Minimum and maximum delay before a hedge, in ms. */
const hedgeBounds = { shortest: 30, longest: 1_000 };

/** Statistics that a node keeps of one server of a booking service. */
export type ServerStats = {
  readonly open: number;
  readonly latency: number;
  /** The server is avoided until this time unless no other is available. */
  readonly avoidUntil: Millis;
};

/** A server that may be called. */
export type ServerChoice = {
  readonly id: string;
  readonly leaving: boolean;
};

/** Statistics of a server that has not been called yet. */
export const initialServerStats: ServerStats = {
  open: 0,
  latency: initialLatency,
  avoidUntil: millis(0),
};

/**
 * Chooses the server of the next send: of two random ones, the one with the
 * shorter expected wait. Servers that are leaving or were tried are excluded.
 */
export function chooseServer(
  servers: readonly ServerChoice[],
  context: {
    tried: ReadonlySet<string>;
    statsOf: (id: string) => ServerStats;
    random: () => number;
    now: Millis;
  },
): string | undefined {
  const { tried, statsOf, random, now } = context;
  const candidates = servers.filter(
    ({ id, leaving }) => !leaving && !tried.has(id),
  );
  const reachable = candidates.filter(
    ({ id }) => statsOf(id).avoidUntil <= now,
  );
  const pool = reachable.length > 0 ? reachable : candidates;
  const draw = () => pool[Math.floor(random() * pool.length)]?.id;
  const first = draw();
  const second = draw();
  if (first === undefined || second === undefined) return first;
  const expectWait = (id: string) =>
    (statsOf(id).open + 1) * statsOf(id).latency;
  return expectWait(second) < expectWait(first) ? second : first;
}

/** Statistics after a send has ended. */
export function recordSend(
  stats: ServerStats,
  send: { latency: Millis; reached: boolean; now: Millis },
): ServerStats {
  const latency =
    stats.latency + latencyWeight * (send.latency - stats.latency);
  return {
    open: stats.open - 1,
    latency: send.reached ? latency : stats.latency,
    avoidUntil: send.reached
      ? stats.avoidUntil
      : millis(send.now + unreachableCooldown),
  };
}

/** Delay after which a lookup is sent to a second server. */
export function computeHedgeDelay(stats: readonly ServerStats[]): Millis {
  const sum = stats.reduce((total, { latency }) => total + latency, 0);
  const mean = stats.length === 0 ? initialLatency : sum / stats.length;
  const { shortest, longest } = hedgeBounds;
  return millis(Math.min(longest, Math.max(shortest, mean * hedgeFactor)));
}

/** Budget of extra sends, funded by the credit of earlier calls. */
export type SendBudget = { readonly retries: number; readonly hedges: number };

/** Credit of one call: 10% of a retry and 5% of a hedge. */
const creditPerCall: SendBudget = { retries: 0.1, hedges: 0.05 };
/** Upper limit of the budget. */
const maxSendBudget: SendBudget = { retries: 20, hedges: 10 };

/** Budget of a node that has just started; full, so that the first calls may be retried. */
export const fullSendBudget: SendBudget = maxSendBudget;

/** Adds the credit of one call. */
export function creditSendBudget(budget: SendBudget): SendBudget {
  return {
    retries: Math.min(
      maxSendBudget.retries,
      budget.retries + creditPerCall.retries,
    ),
    hedges: Math.min(
      maxSendBudget.hedges,
      budget.hedges + creditPerCall.hedges,
    ),
  };
}

/** Takes one extra send; undefined when the budget is spent. */
export function debitSendBudget(
  budget: SendBudget,
  kind: keyof SendBudget,
): SendBudget | undefined {
  return budget[kind] < 1 ? undefined : { ...budget, [kind]: budget[kind] - 1 };
}
