import assert from "node:assert/strict";
import { test } from "node:test";
import { type Millis, millis } from "../../src/core/clock.ts";
import {
  createReportSchedule,
  type ReportTarget,
  takeDueReports,
} from "../../src/core/gateway/report_schedule.ts";
import { brandString, type MachineName } from "../../src/core/ids.ts";

/** Interval at which a node checks its schedule, in ms. */
const checkInterval = 150;

function createTarget(
  machine: string,
  fields: Partial<ReportTarget> = {},
): ReportTarget {
  return {
    machine: brandString(machine),
    isInRegion: true,
    isWatched: false,
    isBusy: false,
    hasChanges: false,
    unansweredSince: undefined,
    ...fields,
  };
}

/** Owners of a fleet in three regions; the node watches three of them. */
function createOwners(count: number): ReportTarget[] {
  return Array.from({ length: count }, (_, i) =>
    createTarget(`n${i}`, { isInRegion: i % 3 === 0, isWatched: i < 3 }),
  );
}

/** Runs the schedule of one node; returns the times of the reports to each owner. */
function run(
  duration: number,
  targetsAt: (now: Millis) => readonly ReportTarget[],
): Map<MachineName, number[]> {
  const schedule = createReportSchedule(millis(0));
  const reports = new Map<MachineName, number[]>();
  for (let at = 0; at < duration; at += checkInterval) {
    for (const machine of takeDueReports(
      schedule,
      targetsAt(millis(at)),
      millis(at),
    )) {
      reports.set(machine, [...(reports.get(machine) ?? []), at]);
    }
  }
  return reports;
}

function findLongestGap(times: readonly number[]): number {
  let longest = 0;
  times.reduce((previous, time) => {
    longest = Math.max(longest, time - previous);
    return time;
  });
  return longest;
}

// An idle fleet of 195 nodes sent 19,000 reports a second when each went to every owner.
test("the reports of an idle node do not grow with the number of owners", () => {
  const rates = [30, 100, 300].map((count) => {
    const owners = createOwners(count);
    const reports = [...run(60_000, () => owners).values()];
    return reports.flat().length / 60;
  });
  for (const rate of rates) assert.ok(rate < 11, `${rate} reports/s`);
  const [small = 0, , large = 0] = rates;
  assert.ok(large <= small * 1.05, `${small} and ${large} reports/s`);
});

test("an idle node reports to every owner in turn", () => {
  const owners = createOwners(90);
  const reports = run(60_000, () => owners);
  assert.equal(reports.size, 90);
  for (const [machine, times] of reports) {
    assert.ok(findLongestGap(times) < 33_000, machine);
  }
});

test("a node reports often to the owners that it would replace", () => {
  const owners = createOwners(300);
  const times = run(30_000, () => owners).get(brandString("n1")) ?? [];
  assert.ok(findLongestGap(times) <= 1_050, `${findLongestGap(times)} ms`);
});

test("usage is reported within one interval, changes at once", () => {
  const idle = createOwners(100);
  const reports = run(10_000, (now) => [
    ...idle,
    createTarget("busy", { isBusy: true }),
    createTarget("changed", { hasChanges: now % 1_500 === 0 }),
  ]);
  const busy = reports.get(brandString("busy")) ?? [];
  assert.ok(findLongestGap(busy) <= 300);
  const changed = reports.get(brandString("changed")) ?? [];
  assert.deepEqual(
    [0, 1_500, 3_000, 4_500].filter((time) => !changed.includes(time)),
    [],
  );
});

// Guards against an owner that is given up because one datagram was lost.
test("a report without an answer is repeated soon, and less often after a time", () => {
  const target = createTarget("n1", { unansweredSince: millis(0) });
  const times = run(20_000, () => [target]).get(target.machine) ?? [];
  const early = times.filter((time) => time < 3_000).length;
  const late = times.filter((time) => time >= 10_000).length;
  assert.ok(early >= 10, `${early} reports in 3 s`);
  assert.ok(late <= 12, `${late} reports in the last 10 s`);
});
