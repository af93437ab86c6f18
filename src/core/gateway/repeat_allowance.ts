import { type Millis, millis } from "../clock.ts";

/** What the operator allows all nodes together beyond the first send of each request. */
export type RepeatLimits = {
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
export type RepeatAllowance = {
  readonly limits: RepeatLimits;
  readonly entries: Entry[];
  requests: number;
  repeats: number;
};

/** Allowance of a service that has seen no request. */
export function createRepeatAllowance(limits: RepeatLimits): RepeatAllowance {
  return { limits, entries: [], requests: 0, repeats: 0 };
}

function expire(allowance: RepeatAllowance, now: Millis): void {
  const { entries, limits } = allowance;
  const start = millis(now - limits.window);
  let expired = 0;
  while (expired < entries.length && (entries[expired] as Entry).at < start) {
    if ((entries[expired] as Entry).kind === "request") allowance.requests--;
    else allowance.repeats--;
    expired++;
  }
  if (expired > 0) entries.splice(0, expired);
}

/** Counts the first send of a request. */
export function noteRequest(allowance: RepeatAllowance, now: Millis): void {
  expire(allowance, now);
  allowance.entries.push({ at: now, kind: "request" });
  allowance.requests++;
}

/** Takes one further send if the share of this node among `nodes` still has one. */
export function takeRepeat(
  allowance: RepeatAllowance,
  options: { readonly now: Millis; readonly nodes: number },
): boolean {
  expire(allowance, options.now);
  const { ratio, slack } = allowance.limits;
  const share = slack / Math.max(1, options.nodes);
  const most = usedPart * (ratio * allowance.requests + share);
  if (allowance.repeats + 1 > most) return false;
  allowance.entries.push({ at: options.now, kind: "repeat" });
  allowance.repeats++;
  return true;
}
