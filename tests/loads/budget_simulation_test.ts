import assert from "node:assert/strict";
import { test } from "node:test";
import {
  countMaxInWindow,
  type LoadBudgetResult,
  type LoadBudgetScenario,
  LoadBudgetSimulation,
} from "../../src/bench/load_budget_simulation.ts";
import { millis } from "../../src/core/clock.ts";

const small: LoadBudgetScenario = {
  seed: 1,
  nodes: 9,
  enginesPerNode: 1,
  owners: 9,
  duration: millis(60_000),
  demand: 6,
  faults: { isDown: () => false, lostAnswers: 0 },
  restarts: 0,
  pauses: 0,
};
const large = { ...small, nodes: 610, enginesPerNode: 5, owners: 3050 };
const hostile = {
  duration: millis(120_000),
  faults: {
    isDown: (now: number) => now % 40_000 > 28_000,
    lostAnswers: 0.15,
  },
  restarts: 0.1,
  pauses: 0.1,
};

function assertWithinBudget(result: LoadBudgetResult): void {
  const { startTimes, peakInFlightLoads, peakHeldPermits, isRowValid } = result;
  assert.ok(countMaxInWindow(startTimes, 1000) <= 3 + 8, "loads in one second");
  assert.ok(
    countMaxInWindow(startTimes, 10_000) <= 30 + 8,
    "loads in ten seconds",
  );
  assert.ok(peakInFlightLoads <= 8, `${peakInFlightLoads} loads in flight`);
  assert.ok(peakHeldPermits <= 8, `${peakHeldPermits} permits held at once`);
  assert.ok(isRowValid);
}

for (const [name, scenario] of [
  ["9 holders", small],
  ["610 holders", large],
] as const) {
  test(`${name} never exceed the load budget and use most of it`, async () => {
    const result = await LoadBudgetSimulation.run(scenario);
    assertWithinBudget(result);
    assert.ok(
      result.startTimes.length >= 0.75 * 3 * 60,
      `${result.startTimes.length}`,
    );
  });
}

for (const seed of [1, 2, 3, 4, 5])
  test(`outages, lost answers, restarts and pauses never exceed the budget of 9 holders, seed ${seed}`, async () => {
    const scenario = { ...small, ...hostile, seed };
    const result = await LoadBudgetSimulation.run(scenario);
    assertWithinBudget(result);
    assert.ok(
      result.startTimes.length > 60,
      `${result.startTimes.length} loads`,
    );
  });

test("outages, lost answers, restarts and pauses never exceed the budget of 610 holders", async () => {
  const scenario = { ...large, ...hostile, restarts: 0.5, pauses: 0.5 };
  const result = await LoadBudgetSimulation.run(scenario);
  assertWithinBudget(result);
  assert.ok(result.startTimes.length > 60, `${result.startTimes.length} loads`);
});

test("6 owners continue loading in a table outage while their lease lasts", async () => {
  const isDown = (now: number) => now > 10_000;
  const result = await LoadBudgetSimulation.run({
    ...small,
    nodes: 6,
    owners: 6,
    duration: millis(14_000),
    faults: { isDown, lostAnswers: 0 },
  });
  assert.ok(result.startTimes.filter((at) => at > 10_100).length >= 5);
});

test("a node that gets all of the demand gets permits of the others, and loses them again", async () => {
  const result = await LoadBudgetSimulation.run({ ...small, busyNodes: 1 });
  assertWithinBudget(result);
  assert.ok(
    result.startTimes.length >= 0.7 * 3 * 60,
    `${result.startTimes.length}`,
  );
});
