import type { Outcome } from "./outcome.ts";

/** One row of the table of result codes. */
export type ResultCode = {
  /** Stable number shown to callers and operators. */
  readonly number: number;
  /** HTTP status of the answer. */
  readonly status: number;
  /** Outcome that is reported unless the sender knows a more specific one. */
  readonly outcome: Outcome;
  /** Short description of the failure. */
  readonly meaning: string;
  /** Action for the caller or operator. */
  readonly remedy: string;
};
