import type { RetryRule } from "./configuration.ts";

/** How one attempt failed, as far as the retry depends on it. */
export type AttemptFailure =
  | { readonly kind: "unreachable" | "left" | "not-run" | "misdirected" }
  /** The response was truncated, missing or invalid; the request may have run. */
  | { readonly kind: "broken" | "crossed" }
  /** The server answered with an error of its own. */
  | { readonly kind: "server-error" };

/** Retry rule of a request and the counts of its earlier attempts. */
export type RetryContext = {
  readonly retryRule: RetryRule;
  readonly resumable: boolean;
  readonly maxAttempts: number;
  /** Attempts that may have run the request. */
  readonly runs: number;
  /** Attempts that the servers did not run. */
  readonly rejections: number;
};

/** What happens after an attempt without a complete response. */
export type RetryDecision =
  /** Retry; with `usesRetryBudget`, the retry is taken from the budget of the service. */
  | { readonly kind: "again"; readonly usesRetryBudget: boolean }
  /** Forward the server's own error to the caller. */
  | { readonly kind: "pass-on" }
  | { readonly kind: "give-up" };

/** Attempts without a run after which a request fails that reached no server. */
const maxRejections = 6;
/** The same for one that servers rejected, since the retry budget and its time limit bound these too. */
const maxStatedRejections = 24;

/** Decides whether to retry; only the rule of the route allows a request to run again. */
export function decideRetry(
  history: RetryContext,
  end: AttemptFailure,
): RetryDecision {
  if (end.kind === "unreachable" || end.kind === "left") {
    return history.rejections < maxRejections
      ? { kind: "again", usesRetryBudget: false }
      : { kind: "give-up" };
  }
  if (end.kind === "not-run" || end.kind === "misdirected") {
    return history.rejections < maxStatedRejections
      ? { kind: "again", usesRetryBudget: true }
      : { kind: "give-up" };
  }
  const mayRunAgain =
    history.runs < history.maxAttempts &&
    (history.retryRule === "repeatable" ||
      (history.retryRule === "stream" && history.resumable));
  if (mayRunAgain) return { kind: "again", usesRetryBudget: true };
  return end.kind === "server-error"
    ? { kind: "pass-on" }
    : { kind: "give-up" };
}
