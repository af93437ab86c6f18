import { type Millis, millis } from "../clock.ts";

/** Part of the time left by which the expected wait must exceed it, since waits are estimates. */
const estimateMargin = 0.2;

/** Whether a request can begin before its deadline; if not, after which time a caller finds servers that can. */
export type BeginDecision =
  | { readonly kind: "in-time" }
  | { readonly kind: "too-late"; readonly returnsIn: Millis };

/**
 * Decides whether servers can begin a request before its deadline. `waits` are
 * those at the servers that may serve it, read until one is short enough; with no
 * server known, the request may wait for one. `fullTime` is the time that a caller
 * has when it sends the request again.
 */
export function decideBegin(
  waits: Iterable<Millis>,
  {
    timeLeft,
    fullTime,
  }: { readonly timeLeft: Millis; readonly fullTime: Millis },
): BeginDecision {
  const limit = timeLeft * (1 + estimateMargin);
  let shortest: number = Number.POSITIVE_INFINITY;
  for (const wait of waits) {
    if (wait <= limit) return { kind: "in-time" };
    shortest = Math.min(shortest, wait);
  }
  if (!Number.isFinite(shortest)) return { kind: "in-time" };
  return {
    kind: "too-late",
    returnsIn: millis(Math.max(0, shortest - fullTime)),
  };
}
