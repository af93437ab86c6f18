import { type Millis, millis } from "../clock.ts";

/** What is known of the time that a request has and needs. */
export type RunOutlook = {
  /** Time at which the process exits. */
  readonly exitAt: Millis;
  /** End of the time that the route and the caller allow. */
  readonly limit: Millis;
  /** Longest recent run of the same kind; undefined if too few are known. */
  readonly longestRun: Millis | undefined;
};

/** Latest time at which a request may be sent to a server while the node stops. */
export type LatestStart = (outlook: RunOutlook) => number;

/** Time before the exit at which the last bytes of an answer must have arrived, in ms. */
const answerMargin = 300;
/** Allowed ratio of a run to the longest recent one. */
const runTimeFactor = 2;

/**
 * Latest time at which a request can be expected to end before the exit. Without
 * a recent run of its route only its time limit says when it ends.
 */
export const findLatestStart: LatestStart = ({ exitAt, limit, longestRun }) => {
  const answersUntil = exitAt - answerMargin;
  if (limit <= answersUntil) return Number.POSITIVE_INFINITY;
  if (longestRun === undefined) return Number.NEGATIVE_INFINITY;
  return millis(answersUntil - longestRun * runTimeFactor);
};
