import type { Millis } from "../clock.ts";
import type { Digest } from "../ids.ts";
import { findRetryTime } from "./probation.ts";
import {
  crashesToConvict,
  listOpenCrashes,
  type PoisonStatus,
} from "./record.ts";
import type { PoisonEntry, PoisonState } from "./registry.ts";
import { isRequestDigest } from "./units.ts";

/** Moments with crashes, and crashes without another explanation, from which a unit that has run well recently is no longer taken for sound. */
const momentsAgainstSound = 3;
const crashesAgainstSound = 3;
/** Time for which such a unit must have had open crashes, in ms; a sound one is cleared by then. */
const minSuspicionOfSound = 1_500;

/** What a node knows beside the records. */
export type UnitsContext = {
  readonly now: Millis;
  /** Whether the node has recently seen a whole answer to a request with the unit. */
  readonly isKnownSound: (unit: Digest) => boolean;
};

type Suspect = {
  readonly unit: Digest;
  readonly crashes: readonly string[];
  readonly entry: PoisonEntry;
};

/**
 * Status of a request by its units, the parts of its prompt and the whole request.
 * A crash concerns all units of the requests that had just begun, so a unit is
 * convicted only if no other explains its crashes as well: the request must hold
 * all that do.
 */
export function assessUnits(
  state: PoisonState,
  units: readonly Digest[],
  context: UnitsContext,
): PoisonStatus {
  const suspects = listSuspects(state, units, context);
  if (suspects.length === 0) return "unknown";
  const others = listOthers(state, units, context);
  let status: PoisonStatus = "unknown";
  for (const suspect of suspects) {
    const rivals = others.filter(({ crashes }) => covers(crashes, suspect));
    if (rivals.some((rival) => isLikelier(rival, suspect))) {
      // Many sound requests share a part; of a whole request few copies wait.
      if (isRequestDigest(suspect.unit) && hasConvicting(suspect))
        status = "suspect";
      continue;
    }
    const isConvicted =
      rivals.length === 0 &&
      hasConvicting(suspect) &&
      !isExplained(suspect, others);
    if (isConvicted && context.now < findTrialTime(suspect, others))
      return "convicted";
    status = "suspect";
  }
  return status;
}

/** Whether a request holds several units that each may have caused the same crashes, and all of these: a crash under it would not tell them apart. */
export function isAmbiguous(
  state: PoisonState,
  units: readonly Digest[],
  context: UnitsContext,
): boolean {
  const suspects = listSuspects(state, units, context);
  if (suspects.length < 2) return false;
  const others = listOthers(state, units, context);
  return suspects.some(
    (suspect) =>
      hasConvicting(suspect) &&
      !others.some(({ crashes }) => covers(crashes, suspect)),
  );
}

/** Suspects that a request with these units does not hold. */
function listOthers(
  state: PoisonState,
  units: readonly Digest[],
  context: UnitsContext,
): Suspect[] {
  return listSuspects(state, state.entries.keys(), context).filter(
    ({ unit }) => !units.includes(unit),
  );
}

/** Those of the units that may have caused crashes. */
function listSuspects(
  state: PoisonState,
  units: Iterable<Digest>,
  context: UnitsContext,
): Suspect[] {
  const suspects: Suspect[] = [];
  let explained: ReadonlySet<string> | undefined;
  for (const unit of units) {
    const entry = state.entries.get(unit);
    if (entry === undefined) continue;
    const crashes = listOpenCrashes(entry.record);
    if (crashes.length === 0) continue;
    const suspect = { unit, crashes, entry };
    if (context.isKnownSound(unit)) {
      if (!outlastsSound(entry, context.now)) continue;
      explained ??= collectExplained(state, context);
      if (!hasUnexplained(suspect, explained)) continue;
    }
    suspects.push(suspect);
  }
  return suspects;
}

/** Whether crashes have gone on for longer than it takes a sound unit to be cleared. */
function outlastsSound(entry: PoisonEntry, now: Millis): boolean {
  return (
    entry.crashMoments >= momentsAgainstSound &&
    now >= entry.suspectedAt + minSuspicionOfSound
  );
}

/** Whether enough crashes for doubt in a sound unit have no other explanation. */
function hasUnexplained(
  { crashes }: Suspect,
  explained: ReadonlySet<string>,
): boolean {
  const unexplained = crashes.filter((crash) => !explained.has(crash));
  return unexplained.length >= crashesAgainstSound;
}

/** Crashes of units that have enough of them for a conviction and have not run well recently. */
function collectExplained(
  { entries }: PoisonState,
  { isKnownSound }: UnitsContext,
): ReadonlySet<string> {
  const explained = new Set<string>();
  for (const [unit, { record }] of entries) {
    const crashes = listOpenCrashes(record);
    if (crashes.length < crashesToConvict || isKnownSound(unit)) continue;
    for (const crash of crashes) explained.add(crash);
  }
  return explained;
}

/** Time from which a convicted suspect may be tried. */
function findTrialTime(suspect: Suspect, others: readonly Suspect[]): Millis {
  const likelier = others.filter(
    ({ crashes }) => crashes.length > suspect.crashes.length,
  );
  return findRetryTime(suspect.entry, (crash) =>
    likelier.some(({ crashes }) => crashes.includes(crash)),
  );
}

/** Whether these crashes include all those of a suspect. */
function covers(crashes: readonly string[], suspect: Suspect): boolean {
  return suspect.crashes.every((crash) => crashes.includes(crash));
}

/** Whether a suspect that shares crashes with another one is the likelier cause of them. */
function isLikelier(rival: Suspect, suspect: Suspect): boolean {
  return hasConvicting(rival) && rival.crashes.length > suspect.crashes.length;
}

/** Whether each crash of a suspect has a likelier cause among the others. */
function isExplained(suspect: Suspect, others: readonly Suspect[]): boolean {
  const likelier = others.filter((other) => isLikelier(other, suspect));
  return suspect.crashes.every((crash) =>
    likelier.some(({ crashes }) => crashes.includes(crash)),
  );
}

/** Whether a suspect has as many crashes as a conviction needs. */
function hasConvicting({ crashes }: Suspect): boolean {
  return crashes.length >= crashesToConvict;
}
