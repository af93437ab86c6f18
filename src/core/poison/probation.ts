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
/** Part of the first delay after which a crash is that of a trial: requests that had been sent before have ended by then. */
const trialPart = 0.5;

/** State of a conviction that decides when it is tried. */
export type Probation = {
  readonly digest: Digest;
  /** Time of the latest crash or correction. */
  readonly changedAt: Millis;
  /** Crashes of servers under its trials. */
  readonly trialCrashes: readonly string[];
};

/** Time from which a request with convicted content may be tried; crashes that other content explains better do not put it off. */
export function findRetryTime(
  probation: Probation,
  isExplained: (crash: string) => boolean,
): Millis {
  const { digest, changedAt, trialCrashes } = probation;
  const failed = trialCrashes.filter((crash) => !isExplained(crash)).length;
  const delay = findFirstDelay(digest) * probationFactor ** failed;
  return millis(changedAt + Math.min(delay, maxProbationDelay));
}

/** Whether a crash now is that of a trial, and not of a request that was sent before the conviction. */
export function isTrialCrash(
  { digest, changedAt }: Probation,
  now: Millis,
): boolean {
  return now >= changedAt + trialPart * findFirstDelay(digest);
}

function findFirstDelay(digest: Digest): number {
  return isRequestDigest(digest) ? minDelayOfRequest : minDelayOfPart;
}
