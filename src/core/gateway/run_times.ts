import { type Millis, millis } from "../clock.ts";

type RecentRuns = {
  readonly startedAt: Millis;
  /** Longest run recorded since `startedAt`, and in the window before. */
  readonly longest: Millis;
  readonly previousLongest: Millis | undefined;
};

/** Longest recent run of each route, by the route's name; owned by one task and updated in place. */
export type RunTimes = Map<string, RecentRuns>;

/** Time for which a run counts at least, in ms; it counts for twice as long at most. */
const windowLength = 15_000;

/** Records how long a server took for a request, or how long it had worked when the request ended early. */
export function recordRunTime(
  times: RunTimes,
  route: string,
  { duration, now }: { readonly duration: Millis; readonly now: Millis },
): void {
  const runs = moveWindow(times.get(route), now);
  if (runs === undefined) {
    const first = { startedAt: now, longest: duration };
    times.set(route, { ...first, previousLongest: undefined });
    return;
  }
  const longest = millis(Math.max(runs.longest, duration));
  times.set(route, { ...runs, longest });
}

/** Longest recent run of a route; undefined if there was none. */
export function findLongestRun(
  times: RunTimes,
  route: string,
  now: Millis,
): Millis | undefined {
  const runs = moveWindow(times.get(route), now);
  if (runs === undefined) return undefined;
  const { longest, previousLongest = longest } = runs;
  return millis(Math.max(longest, previousLongest));
}

/** The runs as of `now`; undefined if all are too old. */
function moveWindow(
  runs: RecentRuns | undefined,
  now: Millis,
): RecentRuns | undefined {
  if (runs === undefined || now < runs.startedAt + windowLength) return runs;
  if (now >= runs.startedAt + 2 * windowLength) return undefined;
  const startedAt = millis(runs.startedAt + windowLength);
  return { startedAt, longest: millis(0), previousLongest: runs.longest };
}
