import type { RunningSite } from "../standins/site.ts";
import type { DemoResult } from "./run.ts";

/** Number of drafts whose text is printed. */
const printedDrafts = 6;

/** Counts that decide whether the demo passed. */
export type DemoSummary = {
  readonly drafts: number;
  readonly adapters: number;
  readonly wholeAnswers: number;
  readonly wrongAdapters: number;
  readonly cutStreams: number;
  readonly bookings: number;
  readonly repeatedBookings: number;
  readonly missingBookings: number;
  readonly evictedInUse: number;
};

/** Compares the results that callers received with the calls that the back ends ran. */
export function summarizeDemo(
  result: DemoResult,
  site: RunningSite,
): DemoSummary {
  const { drafts, bookings } = result;
  const runs = [...site.services.values()].flatMap(({ runs }) => runs);
  return {
    drafts: drafts.length,
    adapters: new Set(drafts.map(({ adapter }) => adapter)).size,
    wholeAnswers: drafts.filter(({ whole }) => whole).length,
    wrongAdapters: drafts.filter(
      ({ adapter, models }) => models.size > 0 && !isOnly(models, adapter),
    ).length,
    cutStreams: drafts.filter(({ status, ended }) => status === 200 && !ended)
      .length,
    bookings: bookings.length,
    repeatedBookings: Math.max(0, runs.length - bookings.length),
    missingBookings: bookings.filter(
      ({ first, second }) => first.status !== 201 || !second.replayed,
    ).length,
    evictedInUse: [...site.engines.values()].reduce(
      (sum, { unloadedInUse }) => sum + unloadedInUse.length,
      0,
    ),
  };
}

/** Whether every answer was complete and correct and every booking ran exactly once. */
export function hasDemoPassed(summary: DemoSummary): boolean {
  return (
    summary.wholeAnswers === summary.drafts &&
    summary.wrongAdapters +
      summary.cutStreams +
      summary.repeatedBookings +
      summary.missingBookings +
      summary.evictedInUse ===
      0
  );
}

/** Formats some answers, all bookings and the counts as lines of text. */
export function formatDemo(result: DemoResult, summary: DemoSummary): string[] {
  const failed = result.drafts.filter(({ whole }) => !whole);
  return [
    `revision ${result.revision} in force`,
    ...[...result.drafts.slice(0, printedDrafts), ...failed].map(
      ({ adapter, status, text }) => `${adapter} ${status}:${text}`,
    ),
    ...result.bookings.map(
      ({ key, first, second }) =>
        `${key}: ${first.status} ${first.outcome}; sent again: ${second.status} ${second.replayed ? "recorded outcome" : second.body}`,
    ),
    `engine ${result.restartedEngine} restarted empty; node ${result.stoppedNode} stopped`,
    ...Object.entries(summary).map(([name, count]) => `${name}: ${count}`),
  ];
}

function isOnly(models: ReadonlySet<string>, adapter: string): boolean {
  return models.size === 1 && models.has(adapter);
}
