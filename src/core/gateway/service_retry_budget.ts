import { type Millis, millis } from "../clock.ts";

/** Limits that the operator sets on the retries of all nodes together. */
export type ServiceRetryLimits = {
  /** Retries per request. */
  readonly ratio: number;
  /** Retries allowed in each window in addition to the ratio. */
  readonly slack: number;
  readonly window: Millis;
};

/** Share of the limits that a node uses; the rest is a margin, since a sliding window may cover the bursts of two nodes. */
const usedShare = 0.8;

type Entry = { readonly at: Millis; readonly kind: "request" | "retry" };

/**
 * Retry budget of one node for one service. Each node takes at most an
 * equal part of the slack, so that the nodes need no coordination.
 */
export type ServiceRetryBudget = {
  readonly limits: ServiceRetryLimits;
  readonly entries: Entry[];
  requests: number;
  retries: number;
};

/** Creates the budget of a service without requests. */
export function createServiceRetryBudget(
  limits: ServiceRetryLimits,
): ServiceRetryBudget {
  return { limits, entries: [], requests: 0, retries: 0 };
}

function expire(budget: ServiceRetryBudget, now: Millis): void {
  const { entries, limits } = budget;
  const start = millis(now - limits.window);
  let expired = 0;
  while (expired < entries.length && (entries[expired] as Entry).at < start) {
    if ((entries[expired] as Entry).kind === "request") budget.requests--;
    else budget.retries--;
    expired++;
  }
  if (expired > 0) entries.splice(0, expired);
}

/** Counts the first attempt of a request. */
export function recordRequest(budget: ServiceRetryBudget, now: Millis): void {
  expire(budget, now);
  budget.entries.push({ at: now, kind: "request" });
  budget.requests++;
}

/** Takes one retry if this node's share, one of `nodes`, allows it. */
export function takeRetry(
  budget: ServiceRetryBudget,
  options: { readonly now: Millis; readonly nodes: number },
): boolean {
  expire(budget, options.now);
  const { ratio, slack } = budget.limits;
  const share = slack / Math.max(1, options.nodes);
  const limit = usedShare * (ratio * budget.requests + share);
  if (budget.retries + 1 > limit) return false;
  budget.entries.push({ at: options.now, kind: "retry" });
  budget.retries++;
  return true;
}
