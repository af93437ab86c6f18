import { type Millis, millis } from "../clock.ts";

/** What the operator allows all nodes together beyond the first send of each request. */
export type ServiceRetryLimits = {
  /** Further sends per request. */
  readonly ratio: number;
  /** Further sends on top, in each window. */
  readonly slack: number;
  readonly window: Millis;
};

/** Part of the allowance that is used, since a window may slide over two nodes' bursts. */
const usedPart = 0.8;

type Entry = { readonly at: Millis; readonly kind: "request" | "repeat" };

/**
 * Allowance of one node for further sends to one service. Each node keeps to
 * its share of the slack, so that no call between nodes is needed.
 */
export type ServiceRetryBudget = {
  readonly limits: ServiceRetryLimits;
  readonly entries: Entry[];
  requests: number;
  retries: number;
};

/** Allowance of a service that has seen no request. */
export function createServiceRetryBudget(
  limits: ServiceRetryLimits,
): ServiceRetryBudget {
  return { limits, entries: [], requests: 0, retries: 0 };
}

function expire(allowance: ServiceRetryBudget, now: Millis): void {
  const { entries, limits } = allowance;
  const start = millis(now - limits.window);
  let expired = 0;
  while (expired < entries.length && (entries[expired] as Entry).at < start) {
    if ((entries[expired] as Entry).kind === "request") allowance.requests--;
    else allowance.retries--;
    expired++;
  }
  if (expired > 0) entries.splice(0, expired);
}

/** Counts the first send of a request. */
export function recordRequest(
  allowance: ServiceRetryBudget,
  now: Millis,
): void {
  expire(allowance, now);
  allowance.entries.push({ at: now, kind: "request" });
  allowance.requests++;
}

/** Takes one further send if the share of this node among `nodes` still has one. */
export function takeRetry(
  allowance: ServiceRetryBudget,
  options: { readonly now: Millis; readonly nodes: number },
): boolean {
  expire(allowance, options.now);
  const { ratio, slack } = allowance.limits;
  const share = slack / Math.max(1, options.nodes);
  const most = usedPart * (ratio * allowance.requests + share);
  if (allowance.retries + 1 > most) return false;
  allowance.entries.push({ at: options.now, kind: "repeat" });
  allowance.retries++;
  return true;
}
