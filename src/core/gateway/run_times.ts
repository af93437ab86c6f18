import { type Millis, millis } from "../clock.ts";
import type { ServiceName } from "../ids.ts";

/** What shares its run times: the requests of one route at one service. */
export type RunKind = { readonly route: string; readonly service: ServiceName };

type RunWindow = { readonly count: number; readonly longest: Millis };

type RecentRuns = {
  readonly startedAt: Millis;
  /** Runs recorded since `startedAt`, and in the window before. */
  readonly current: RunWindow;
  readonly previous: RunWindow;
};

/** A run in progress. */
export type OpenRun = { readonly key: string; readonly startedAt: Millis };

/** Recent and open runs of each kind; owned by one task and updated in place. */
export type RunTimes = {
  readonly recent: Map<string, RecentRuns>;
  readonly open: Set<OpenRun>;
};

/** Creates the state without any run. */
export function createRunTimes(): RunTimes {
  return { recent: new Map(), open: new Set() };
}

/** Time for which a run counts at least, in ms; it counts for twice as long at most. */
const windowLength = 15_000;
/** Number of recent runs from which the longest one says something about the next. */
const minRuns = 5;

const noRuns: RunWindow = { count: 0, longest: millis(0) };

/** Records that a request was sent to a server. */
export function startRun(
  { open }: RunTimes,
  kind: RunKind,
  now: Millis,
): OpenRun {
  const run = { key: formatKind(kind), startedAt: now };
  open.add(run);
  return run;
}

/** Records the end of a run; only one with a whole answer says how long others may take. */
export function endRun(
  { open, recent }: RunTimes,
  run: OpenRun,
  { isWhole, now }: { readonly isWhole: boolean; readonly now: Millis },
): void {
  if (!open.delete(run) || !isWhole) return;
  const runs = moveWindow(recent.get(run.key), now) ?? {
    startedAt: now,
    current: noRuns,
    previous: noRuns,
  };
  const { count, longest } = runs.current;
  const duration = now - run.startedAt;
  const current = {
    count: count + 1,
    longest: millis(Math.max(longest, duration)),
  };
  recent.set(run.key, { ...runs, current });
}

/** Longest of the recent and the open runs of a kind; undefined if too few have ended. */
export function findLongestRun(
  { recent, open }: RunTimes,
  kind: RunKind,
  now: Millis,
): Millis | undefined {
  const key = formatKind(kind);
  const runs = moveWindow(recent.get(key), now);
  if (runs === undefined) return undefined;
  const { current, previous } = runs;
  if (current.count + previous.count < minRuns) return undefined;
  let longest: number = Math.max(current.longest, previous.longest);
  for (const run of open) {
    if (run.key === key) longest = Math.max(longest, now - run.startedAt);
  }
  return millis(longest);
}

function formatKind({ route, service }: RunKind): string {
  return `${route}\n${service}`;
}

/** The runs as of `now`; undefined if all are too old. */
function moveWindow(
  runs: RecentRuns | undefined,
  now: Millis,
): RecentRuns | undefined {
  if (runs === undefined || now < runs.startedAt + windowLength) return runs;
  if (now >= runs.startedAt + 2 * windowLength) return undefined;
  const startedAt = millis(runs.startedAt + windowLength);
  return { startedAt, current: noRuns, previous: runs.current };
}
