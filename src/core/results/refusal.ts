import type { Millis } from "../clock.ts";
import { type ResultCodeName, resultCodes } from "./codes.ts";
import type { Outcome } from "./outcome.ts";

/** Result of a request that was not served; also the `Left` of core functions. */
export type Refusal = {
  readonly code: ResultCodeName;
  readonly outcome: Outcome;
  readonly detail: string;
  /** Time after which a retry may succeed, in ms. */
  readonly retryAfter?: Millis;
  /** The request was running on an engine when it crashed. */
  readonly suspect?: boolean;
};

/** Creates a refusal; the outcome defaults to that of the code. */
export function refuse(
  code: ResultCodeName,
  detail: string,
  options: { outcome?: Outcome; retryAfter?: Millis } = {},
): Refusal {
  return {
    code,
    outcome: options.outcome ?? resultCodes[code].outcome,
    detail,
    ...(options.retryAfter === undefined
      ? {}
      : { retryAfter: options.retryAfter }),
  };
}
