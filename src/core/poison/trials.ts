import { type Millis, millis } from "../clock.ts";
import type { Digest, MachineName } from "../ids.ts";

/** Maximum time for which a node may keep the others from trying a unit, in ms. */
export const maxTrialTime = millis(2_000);
/** Maximum number of units on trial at a time. */
const maxTrials = 1_024;

type Trial = { readonly machine: MachineName; readonly until: Millis };

/** Which node tries a suspect unit now; at most one of them does. */
export type Trials = Map<Digest, Trial>;

/** A trial by this node or, as it was announced, by another. */
export type TrialClaim = {
  readonly machine: MachineName;
  readonly units: readonly Digest[];
  readonly duration: Millis;
};

/** Claims a trial of units for this node; false if one of them is on trial. */
export function claimTrial(
  trials: Trials,
  claim: TrialClaim,
  now: Millis,
): boolean {
  removeEndedTrials(trials, now);
  const isFree = claim.units.every((unit) => !trials.has(unit));
  if (!isFree || trials.size + claim.units.length > maxTrials) return false;
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
  if (trials.size + claim.units.length > maxTrials) return;
  const won = claim.units.filter(
    (unit) => claim.machine <= (trials.get(unit)?.machine ?? claim.machine),
  );
  setTrials(trials, { ...claim, units: won }, now);
}

/** Whether a node holds the trial of all these units. */
export function holdsTrial(
  trials: Trials,
  { machine, units }: Pick<TrialClaim, "machine" | "units">,
  now: Millis,
): boolean {
  return units.every((unit) => {
    const trial = trials.get(unit);
    return trial?.machine === machine && now < trial.until;
  });
}

/** Ends the trials of a node. */
export function endTrials(
  trials: Trials,
  { machine, units }: Pick<TrialClaim, "machine" | "units">,
): void {
  for (const unit of units) {
    if (trials.get(unit)?.machine === machine) trials.delete(unit);
  }
}

function setTrials(trials: Trials, claim: TrialClaim, now: Millis): void {
  const { machine, units, duration } = claim;
  const until = millis(now + Math.min(duration, maxTrialTime));
  for (const unit of units) trials.set(unit, { machine, until });
}

function removeEndedTrials(trials: Trials, now: Millis): void {
  for (const [unit, { until }] of trials) {
    if (now >= until) trials.delete(unit);
  }
}
