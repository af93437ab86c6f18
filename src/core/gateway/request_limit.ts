import { parseHeaderNumber } from "./header_number.ts";

/** Form of a limit that a server names; only `rate` is the usual one. */
export type RequestLimitKind =
  | "rate"
  | "zero"
  | "negative"
  /** Infinite, or beyond the rates that are limited. */
  | "endless"
  | "malformed";

/** Value of the header in which a server names its limit. */
export type RequestLimit = {
  readonly kind: RequestLimitKind;
  /** Requests per second as the server stated them; 0 if it states none. */
  readonly rate: number;
};

/** Rate from which on a limit has no effect, in requests per second. */
const maxRate = 100_000;
/** Rate at which a server without any capacity is still asked, since only an answer can end its limit. */
const minRate = 0.1;

/** Parses the requests per second that a server takes from all nodes together. */
export function parseRequestLimit(text: string): RequestLimit {
  const rate = parseHeaderNumber(text);
  if (rate === undefined) return { kind: "malformed", rate: 0 };
  if (rate < 0) return { kind: "negative", rate };
  if (rate === 0) return { kind: "zero", rate };
  return { kind: rate > maxRate ? "endless" : "rate", rate };
}

/** Chooses the rate to keep for a limit that a server named; undefined if the answer names none. */
export type LimitPolicy = (limit: RequestLimit) => number | undefined;

/** Follows the server down to a minimum rate; a value that cannot be read changes nothing. */
export const boundLimit: LimitPolicy = ({ kind, rate }) =>
  kind === "rate" || kind === "zero" ? Math.max(minRate, rate) : undefined;
