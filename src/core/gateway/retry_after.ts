import { type Millis, millis } from "../clock.ts";
import { parseHeaderNumber } from "./header_number.ts";

/** Form of a Retry-After value; only `seconds` is the usual one. */
export type RetryAfterKind =
  | "seconds"
  | "negative"
  /** Infinite, or beyond the numbers that can be represented. */
  | "endless"
  | "date"
  | "malformed";

/** Value of a Retry-After header. */
export type RetryAfter = {
  readonly kind: RetryAfterKind;
  /** Delay as the sender stated it, in ms; 0 if it states none. */
  readonly delay: Millis;
};

/** A date begins with the name of a day, so that no other text is taken for one. */
const datePattern = /^(mon|tue|wed|thu|fri|sat|sun)/i;

/** Parses a Retry-After header: seconds with fractions, or an HTTP date relative to `wallNow`. */
export function parseRetryAfter(text: string, wallNow: Millis): RetryAfter {
  const seconds = parseHeaderNumber(text);
  if (seconds !== undefined) return describeSeconds(seconds);
  const trimmed = text.trim();
  const date = datePattern.test(trimmed) ? Date.parse(trimmed) : Number.NaN;
  if (Number.isNaN(date)) return { kind: "malformed", delay: millis(0) };
  return { kind: "date", delay: millis(Math.max(0, date - wallNow)) };
}

function describeSeconds(seconds: number): RetryAfter {
  if (seconds < 0) return { kind: "negative", delay: millis(0) };
  const delay = millis(seconds * 1_000);
  return { kind: Number.isFinite(delay) ? "seconds" : "endless", delay };
}

/** Chooses how long a server is paused for the Retry-After value that it sent. */
export type PausePolicy = (value: RetryAfter) => Millis;

/** Maximum pause, in ms, since a server that needs longer can say so again. */
export const maxPause = millis(300_000);
/** Pause after a value that cannot be read, in ms. */
export const malformedPause = millis(1_000);

/** Follows the sender up to a maximum; a value that cannot be read gives a short pause. */
export const boundPause: PausePolicy = ({ kind, delay }) => {
  if (kind === "malformed") return malformedPause;
  return millis(Math.min(maxPause, delay));
};
