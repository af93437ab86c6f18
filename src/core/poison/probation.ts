import { type Millis, millis } from "../clock.ts";
import type { Digest } from "../ids.ts";
import { isRequestDigest } from "./units.ts";

/**
 * Time without a crash after which a conviction is tried, in ms; four times as
 * long after each trial that crashed a server. Many sound requests share a part.
 */
const minDelayOfPart = 4_000;
const minDelayOfRequest = 30_000;
const probationFactor = 4;
const maxProbationDelay = 600_000;
/** Part of that time after which a crash counts as that of a trial: requests that had been sent before have ended by then. */
const trialPart = 0.5;

/** State of a conviction that decides when it is tried. */
export type Probation = {
  readonly digest: Digest;
  /** Time of the latest crash or correction. */
  readonly changedAt: Millis;
  /** Number of trials in a row that crashed a server. */
  readonly failedTrials: number;
};

/** Time from which a request with convicted content may be tried. */
export function findRetryTime(probation: Probation): Millis {
  return millis(probation.changedAt + computeDelay(probation));
}

/** Whether a crash now is that of a trial, and not of a request that was sent before the conviction. */
export function isTrialCrash(probation: Probation, now: Millis): boolean {
  return now >= probation.changedAt + trialPart * computeDelay(probation);
}

function computeDelay({ digest, failedTrials }: Probation): number {
  const first = isRequestDigest(digest) ? minDelayOfRequest : minDelayOfPart;
  const delay = first * probationFactor ** failedTrials;
  return Math.min(delay, maxProbationDelay);
}
