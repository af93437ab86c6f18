import { type Millis, millis } from "../clock.ts";

/** Time without an answer of any server while one is awaited, after which new connections are tried, in ms. */
const silenceBeforeCheck = 400;
/** Minimum time between the starts of two checks, in ms. */
const minCheckInterval = 300;
/** Checks in a row in which no server was reached, after which the node is out of reach. */
const checksToLose = 2;

/** Whether this node reaches any server. */
export type Reach = {
  isLost: boolean;
  /** Time of the latest answer of a server. */
  heardAt: Millis;
  checkedAt: Millis;
  failedChecks: number;
  /** An attempt has failed since the latest check. */
  hasFailed: boolean;
};

/** Reach of a node that starts. */
export function createReach(now: Millis): Reach {
  return {
    isLost: false,
    heardAt: now,
    checkedAt: millis(Number.NEGATIVE_INFINITY),
    failedChecks: 0,
    hasFailed: false,
  };
}

/** Whether new connections to servers should be tried now; `unansweredSince` is the time of the oldest request without an answer. */
export function needsCheck(
  reach: Reach,
  {
    now,
    unansweredSince,
  }: { now: Millis; unansweredSince: Millis | undefined },
): boolean {
  if (now < reach.checkedAt + minCheckInterval) return false;
  if (reach.isLost || reach.hasFailed || reach.failedChecks > 0) return true;
  if (unansweredSince === undefined) return false;
  return now > Math.max(reach.heardAt, unansweredSince) + silenceBeforeCheck;
}

/** Records that a check begins. */
export function startCheck(reach: Reach, now: Millis): void {
  reach.checkedAt = now;
  reach.hasFailed = false;
}

/** Records whether a check has reached a server; true if the node has come into reach or out of it. */
export function recordCheck(reach: Reach, hasReached: boolean): boolean {
  const wasLost = reach.isLost;
  reach.failedChecks = hasReached ? 0 : reach.failedChecks + 1;
  if (hasReached) reach.isLost = false;
  else if (reach.failedChecks >= checksToLose) reach.isLost = true;
  return reach.isLost !== wasLost;
}
