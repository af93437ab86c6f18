import type { RetryRule } from "./configuration.ts";

/** How one send ended, as far as the next step depends on it. */
export type AttemptFailure =
  | { readonly kind: "unreachable" | "not-run" | "misdirected" }
  /** The answer broke off, did not come or was not sound; the request may have run. */
  | { readonly kind: "broken" | "crossed" }
  /** The server answered with a failure of its own. */
  | { readonly kind: "server-error" };

/** What a request has been through. */
export type RetryContext = {
  readonly retryRule: RetryRule;
  readonly resumable: boolean;
  readonly maxAttempts: number;
  /** Servers that may have run the request. */
  readonly runs: number;
  /** Sends that the servers did not run. */
  readonly rejections: number;
};

/** What happens after a send that brought no whole answer. */
export type RetryDecision =
  /** Send again; `isRepeat` draws on the shared allowance. */
  | { readonly kind: "again"; readonly usesRetryBudget: boolean }
  /** Pass the server's own failure on. */
  | { readonly kind: "pass-on" }
  | { readonly kind: "give-up" };

/** Sends in vain after which a request is given up. */
const maxRejections = 6;

/** Decides the next step; the rule of the route alone says what may run again. */
export function decideRetry(
  history: RetryContext,
  end: AttemptFailure,
): RetryDecision {
  if (end.kind === "unreachable") {
    return history.rejections < maxRejections
      ? { kind: "again", usesRetryBudget: false }
      : { kind: "give-up" };
  }
  if (end.kind === "not-run" || end.kind === "misdirected") {
    return history.rejections < maxRejections
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
