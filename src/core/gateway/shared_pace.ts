import type { Millis } from "../clock.ts";
import type { MachineName, ServerId } from "../ids.ts";
import type { Incarnation } from "./servers.ts";

/** Sum of deviations, and number of answers, from which a node reports what it has measured. */
const reportedDeviation = 1;
const reportedAnswers = 12;
/** Limit on the deviation of one answer. */
const maxDeviation = 0.7;
/** Weight of one answer in the slowness that all nodes together measure. */
const answerWeight = 0.05;
/** Distance between two levels of slowness, and by how much slowness must differ from its level to leave it. */
const levelStep = 0.3;
const levelMargin = 0.25;
/** Time for which slowness must differ from its level before the level changes, in ms. */
const minDifferenceTime = 3_000;
/** Interval at which a node is told again of levels, since datagrams may be lost, in ms. */
const renewalInterval = 10_000;
/** Number of servers that one message tells of. */
const maxTold = 32;

/** Slowness of a server as a natural logarithm; 0 is the mean of its service. */
export type PaceNews = {
  readonly server: Incarnation;
  readonly logSlowness: number;
};

/** Slowness that one node has measured in a number of answers. */
export type PaceReport = PaceNews & { readonly answers: number };

type Deviation = {
  readonly born: number | undefined;
  answers: number;
  sum: number;
};

/** Measurements of one node that it has not reported. */
export type PaceDeviations = Map<ServerId, Deviation>;

/** Adds the ratio that one answer showed; returns a report once it says enough. */
export function collectRatio(
  deviations: PaceDeviations,
  server: Incarnation,
  {
    logRatio,
    shared,
  }: {
    /** Logarithm of the observed to the expected time. */
    readonly logRatio: number;
    /** Slowness that all nodes are known to have measured. */
    readonly shared: number;
  },
): PaceReport | undefined {
  const { id, born } = server;
  let deviation = deviations.get(id);
  if (deviation === undefined || deviation.born !== born) {
    deviation = { born, answers: 0, sum: 0 };
    deviations.set(id, deviation);
  }
  const surprise = logRatio - shared;
  deviation.sum += Math.max(-maxDeviation, Math.min(maxDeviation, surprise));
  deviation.answers++;
  const { answers, sum } = deviation;
  if (Math.abs(sum) < reportedDeviation && answers < reportedAnswers)
    return undefined;
  deviations.delete(id);
  const logSlowness = shared + sum / answers;
  return { server: { id, born }, answers, logSlowness };
}

type SharedPace = {
  readonly born: number | undefined;
  logSlowness: number;
  level: number;
  /** Since when the slowness has differed from its level; undefined if it does not. */
  differsSince: Millis | undefined;
  readonly told: Map<
    MachineName,
    { readonly level: number; readonly at: Millis }
  >;
};

/** Slowness of the servers that one node owns, as all nodes together have measured it. */
export type PaceLedger = Map<ServerId, SharedPace>;

/** Adds the report of a node; returns the new level of the server if it has changed. */
export function recordPaceReport(
  ledger: PaceLedger,
  { server: { id, born }, logSlowness, answers }: PaceReport,
  now: Millis,
): PaceNews | undefined {
  let pace = ledger.get(id);
  if (pace === undefined || pace.born !== born) {
    const level = 0;
    const differsSince = undefined;
    pace = { born, logSlowness: 0, level, differsSince, told: new Map() };
    ledger.set(id, pace);
  }
  const weight = 1 - (1 - answerWeight) ** answers;
  pace.logSlowness += weight * (logSlowness - pace.logSlowness);
  const current = pace.level * levelStep;
  if (Math.abs(pace.logSlowness - current) < levelMargin) {
    pace.differsSince = undefined;
    return undefined;
  }
  pace.differsSince ??= now;
  if (now < pace.differsSince + minDifferenceTime) return undefined;
  pace.level = Math.round(pace.logSlowness / levelStep);
  pace.differsSince = undefined;
  return { server: { id, born }, logSlowness: pace.level * levelStep };
}

/** Takes the levels that a node should be told, since they are new to it or were told long ago. */
export function takePaceNews(
  ledger: PaceLedger,
  machine: MachineName,
  now: Millis,
): PaceNews[] {
  const news: PaceNews[] = [];
  for (const [id, { born, level, told }] of ledger) {
    if (news.length >= maxTold) break;
    const known = told.get(machine);
    const isCurrent = (known?.level ?? 0) === level;
    const needsRenewal =
      level !== 0 && now >= (known?.at ?? now) + renewalInterval;
    if (isCurrent && !needsRenewal) continue;
    told.set(machine, { level, at: now });
    news.push({ server: { id, born }, logSlowness: level * levelStep });
  }
  return news;
}
