import { type Millis, millis } from "../clock.ts";
import type { MachineName } from "../ids.ts";

/** Interval of reports to an owner whose engines this node uses, in ms. */
const busyInterval = 300;
/** Interval of reports to an owner whom this node would replace, in ms. */
const watchInterval = 900;
/** Minimum interval of the other reports to an owner, in ms. */
const idleInterval = 900;
/** Interval at which a report without an answer is repeated, and the time after which that is done less often, in ms. */
const repeatInterval = 300;
const maxRepeatTime = 3_500;
/** Idle reports of one node to the owners of its region, and to those of the other regions, per second. */
const regionRate = 4;
const otherRegionRate = 2;

/** An owner of engines, as seen by the node that reports to it. */
export type ReportTarget = {
  readonly machine: MachineName;
  readonly isInRegion: boolean;
  /** This node is among the first to take over when the owner fails. */
  readonly isWatched: boolean;
  /** Requests of this node use the owner's engines. */
  readonly isBusy: boolean;
  /** That usage has changed since the last report. */
  readonly hasChanges: boolean;
  /** Time of the first report without an answer. */
  readonly unansweredSince: Millis | undefined;
};

/** Idle reports that may be sent now. */
type IdleBudget = { credit: number; readonly rate: number };

/** When a node reported to each owner; owned by one task and updated in place. */
export type ReportSchedule = {
  readonly reportedAt: Map<MachineName, Millis>;
  readonly inRegion: IdleBudget;
  readonly inOtherRegions: IdleBudget;
  refilledAt: Millis;
};

/** Creates the schedule of a node that has sent no report. */
export function createReportSchedule(now: Millis): ReportSchedule {
  return {
    reportedAt: new Map(),
    inRegion: { credit: 0, rate: regionRate },
    inOtherRegions: { credit: 0, rate: otherRegionRate },
    refilledAt: now,
  };
}

/**
 * Selects the owners that get a report now, and records the reports. The
 * reports that carry no usage have a fixed rate for each node, so that they do
 * not grow with the number of owners; owners get them in turn.
 */
export function takeDueReports(
  schedule: ReportSchedule,
  targets: readonly ReportTarget[],
  now: Millis,
): MachineName[] {
  refillBudgets(schedule, now);
  const due: MachineName[] = [];
  const idle: ReportTarget[] = [];
  for (const target of targets) {
    const age = getReportAge(schedule, target.machine, now);
    if (isDue(target, { age, now })) due.push(target.machine);
    else if (age >= idleInterval) idle.push(target);
  }
  idle.sort(
    (a, b) =>
      getReportAge(schedule, b.machine, now) -
      getReportAge(schedule, a.machine, now),
  );
  for (const { machine, isInRegion } of idle) {
    const budget = isInRegion ? schedule.inRegion : schedule.inOtherRegions;
    if (budget.credit < 1) continue;
    budget.credit--;
    due.push(machine);
  }
  for (const machine of due) schedule.reportedAt.set(machine, now);
  return due;
}

function isDue(
  target: ReportTarget,
  { age, now }: { readonly age: number; readonly now: Millis },
): boolean {
  const { hasChanges, isBusy, isWatched, unansweredSince } = target;
  if (hasChanges || (isBusy && age >= busyInterval)) return true;
  if (unansweredSince !== undefined) {
    const isRecent = now < unansweredSince + maxRepeatTime;
    return age >= (isRecent ? repeatInterval : watchInterval);
  }
  return isWatched && age >= watchInterval;
}

/** Time since the last report to an owner, in ms. */
function getReportAge(
  schedule: ReportSchedule,
  machine: MachineName,
  now: Millis,
): number {
  const reportedAt = schedule.reportedAt.get(machine);
  return reportedAt === undefined ? Number.POSITIVE_INFINITY : now - reportedAt;
}

function refillBudgets(schedule: ReportSchedule, now: Millis): void {
  const elapsed = now - schedule.refilledAt;
  schedule.refilledAt = millis(now);
  for (const budget of [schedule.inRegion, schedule.inOtherRegions]) {
    const credit = budget.credit + (budget.rate * elapsed) / 1_000;
    budget.credit = Math.min(budget.rate, credit);
  }
}
