import { type Millis, millis } from "../clock.ts";
import type { Digest, MachineName } from "../ids.ts";

/** Maximum time for which a node may keep the others from trying a part, in ms. */
export const maxTrialTime = millis(2_000);
/** Maximum number of parts on trial at a time. */
const maxTrials = 1_024;

type Trial = { readonly machine: MachineName; readonly until: Millis };

/** Which node tries a suspect part now; at most one of them does. */
export type Trials = Map<Digest, Trial>;

/** A trial by this node or, as it was announced, by another. */
export type TrialClaim = {
  readonly machine: MachineName;
  readonly parts: readonly Digest[];
  readonly duration: Millis;
};

/** Claims a trial of parts for this node; false if one of them is on trial. */
export function claimTrial(
  trials: Trials,
  claim: TrialClaim,
  now: Millis,
): boolean {
  removeEndedTrials(trials, now);
  const isFree = claim.parts.every((part) => !trials.has(part));
  if (!isFree || trials.size + claim.parts.length > maxTrials) return false;
  setTrials(trials, claim, now);
  return true;
}

/** Records the claim of another node; of two claims that cross, that of the lower name holds. */
export function recordTrialClaim(
  trials: Trials,
  claim: TrialClaim,
  now: Millis,
): void {
  removeEndedTrials(trials, now);
  if (claim.duration <= 0) return endTrials(trials, claim);
  if (trials.size + claim.parts.length > maxTrials) return;
  const won = claim.parts.filter(
    (part) => claim.machine <= (trials.get(part)?.machine ?? claim.machine),
  );
  setTrials(trials, { ...claim, parts: won }, now);
}

/** Whether a node holds the trial of all these parts. */
export function holdsTrial(
  trials: Trials,
  { machine, parts }: Pick<TrialClaim, "machine" | "parts">,
  now: Millis,
): boolean {
  return parts.every((part) => {
    const trial = trials.get(part);
    return trial?.machine === machine && now < trial.until;
  });
}

/** Ends the trials of a node. */
export function endTrials(
  trials: Trials,
  { machine, parts }: Pick<TrialClaim, "machine" | "parts">,
): void {
  for (const part of parts) {
    if (trials.get(part)?.machine === machine) trials.delete(part);
  }
}

function setTrials(trials: Trials, claim: TrialClaim, now: Millis): void {
  const { machine, parts, duration } = claim;
  const until = millis(now + Math.min(duration, maxTrialTime));
  for (const part of parts) trials.set(part, { machine, until });
}

function removeEndedTrials(trials: Trials, now: Millis): void {
  for (const [part, { until }] of trials) {
    if (now >= until) trials.delete(part);
  }
}
