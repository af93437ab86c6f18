import assert from "node:assert/strict";
import { test } from "node:test";
import { millis } from "../../src/core/clock.ts";
import {
  defaultPromptRates,
  estimateOwnPrompt,
  sumDelays,
} from "../../src/core/gateway/engine_backlog.ts";
import {
  createPaceTable,
  forgetPace,
  learnFirstEvent,
  learnRun,
  type PaceTable,
  readPromptRates,
  readSlowness,
} from "../../src/core/gateway/server_pace.ts";
import {
  brandString,
  formatModelKey,
  type ModelName,
} from "../../src/core/ids.ts";
import { EngineUsageCounter } from "../../src/node/gateway/engines/engine_usage.ts";
import { fixedPace, learnedPace, runEngines } from "./paced_engines.ts";
import { createServer } from "./paced_servers.ts";

const server = createServer("e1");
const { service } = server;

/** Feeds runs that take `ratio` times the mean of the service. */
function learnRuns(
  table: PaceTable,
  { ratio, count, at = 0 }: { ratio: number; count: number; at?: number },
): void {
  const other = createServer("mean");
  for (let i = 0; i < count; i++) {
    const now = millis(at + i);
    const run = { answerTokens: 64, now };
    for (let mean = 0; mean < 10; mean++)
      learnRun(table, other, { ...run, runTime: millis(400) });
    learnRun(table, server, { ...run, runTime: millis(400 * ratio) });
  }
}

test("a server without answers has the pace of its service, and a service that of its defaults", () => {
  const table = createPaceTable();
  assert.equal(readSlowness(table, server, millis(0)), 1);
  assert.deepEqual(readPromptRates(table, service), defaultPromptRates);
});

// Guards against a server that is avoided for a while because of one stalled answer.
test("a single slow answer changes the pace little, a few do", () => {
  const table = createPaceTable();
  learnRuns(table, { ratio: 1, count: 5 });
  learnRuns(table, { ratio: 50, count: 1 });
  assert.ok(readSlowness(table, server, millis(5)) < 1.15);
  learnRuns(table, { ratio: 1.8, count: 10 });
  assert.ok(readSlowness(table, server, millis(15)) > 1.4);
});

test("a server that recovers has the mean pace again after some answers", () => {
  const table = createPaceTable();
  learnRuns(table, { ratio: 2.5, count: 30 });
  assert.ok(readSlowness(table, server, millis(30)) > 1.8);
  learnRuns(table, { ratio: 1, count: 20 });
  assert.ok(readSlowness(table, server, millis(50)) < 1.2);
});

test("a pace ages back to the mean of its service", () => {
  const table = createPaceTable();
  learnRuns(table, { ratio: 4, count: 30 });
  assert.ok(readSlowness(table, server, millis(30)) > 2);
  const aged = readSlowness(table, server, millis(120_000));
  assert.ok(aged < 1.05, `${aged}`);
});

test("a pace is forgotten when its server starts again or is gone", () => {
  const table = createPaceTable();
  learnRuns(table, { ratio: 2, count: 30 });
  const next = createServer("e1", { born: 2 });
  assert.equal(readSlowness(table, next, millis(30)), 1);
  forgetPace(table, server.id);
  assert.equal(readSlowness(table, server, millis(30)), 1);
});

// Guards against an estimate that is tuned to one type of engine: the wait for
// a prompt is compared with the way to another region and with a load.
test("the rates of a service follow its engines, for short and long prompts", () => {
  const table = createPaceTable();
  const measure = (promptTokens: number) => 4 + promptTokens / 44;
  for (let i = 0; i < 400; i++) {
    const promptTokens = i % 10 === 0 ? 9_000 : 650;
    const expected = estimateOwnPrompt(
      readPromptRates(table, service),
      promptTokens,
    );
    const elapsed = millis(measure(promptTokens));
    learnFirstEvent(table, server, { expected, elapsed, now: millis(i) });
  }
  for (const promptTokens of [650, 9_000]) {
    const rates = readPromptRates(table, service);
    const expected = sumDelays(estimateOwnPrompt(rates, promptTokens));
    const ratio = expected / measure(promptTokens);
    assert.ok(ratio > 0.8 && ratio < 1.25, `${promptTokens}: ${ratio}`);
  }
});

// Load: 2,000 answers that each took a minute. Guards against rates without bound, by
// which requests would be refused long after the engines have recovered.
test("the rates of a service stay within a factor of ten of the defaults", () => {
  const table = createPaceTable();
  for (let i = 0; i < 2_000; i++) {
    const expected = { prompts: 10, tokens: 10, batch: 10, slots: 10 };
    const elapsed = millis(60_000);
    learnFirstEvent(table, server, { expected, elapsed, now: millis(i) });
  }
  const own = estimateOwnPrompt(readPromptRates(table, service), 1_400);
  const usual = estimateOwnPrompt(defaultPromptRates, 1_400);
  assert.ok(sumDelays(own) < 10.01 * sumDelays(usual));
});

// Load: one run of ten minutes among usual ones. Guards against a wait at all engines
// that is estimated from it for long.
test("one very long run changes the average run time by a sixth at most", () => {
  let now = millis(0);
  const usage = EngineUsageCounter.create(() => now);
  const key = formatModelKey(brandString<ModelName>("m"));
  const before = usage.runTime;
  const end = usage.trackRunning(server.id, key);
  now = millis(600_000);
  end();
  assert.ok(usage.runTime < (before * 7) / 6, `${usage.runTime}`);
});

// Pattern: engines of one service that differ in speed by half. Requests queue
// at the slow ones, whose queues look as short as those of the others.
test("callers wait less before 42 engines, one or every fourth of them slow, than with one pace for all", () => {
  const oneSlow = [...Array.from({ length: 41 }, () => 1), 0.55];
  const manySlow = Array.from({ length: 42 }, (_, index) => {
    if (index % 4 === 3) return 0.55;
    return index < 4 ? 1.2 : 1;
  });
  for (const [speeds, rate] of [
    [oneSlow, 600],
    [manySlow, 500],
  ] as const) {
    const load = { speeds, rate, slots: 12, nodes: 80, duration: 30_000 };
    const earlier = runEngines(fixedPace, load);
    const now = runEngines(learnedPace, load);
    assert.ok(now.mean < 0.9 * earlier.mean, `${now.mean}/${earlier.mean}`);
    assert.ok(now.p95 < 0.9 * earlier.p95, `${now.p95}/${earlier.p95}`);
    assert.ok(now.busiest < 1.25, `${now.busiest}`);
  }
});

// Guards against a slow engine that is avoided for good.
test("one slow engine of six gets less work than the others, and its share after it has recovered", () => {
  const speeds = [1, 1, 1, 1, 1, 0.55];
  const load = { speeds, slots: 12, nodes: 6, rate: 70, duration: 30_000 };
  const slow = runEngines(learnedPace, load);
  assert.ok((slow.shares[5] ?? 1) < 0.11, `${slow.shares}`);
  assert.ok(slow.busiest < 1.25, `${slow.busiest}`);
  // The last four fifths of the run are counted.
  const changes = [{ at: 5_000, engine: 5, speed: 1 }];
  const recovered = runEngines(learnedPace, { ...load, changes });
  assert.ok((recovered.shares[5] ?? 0) > 0.14, `${recovered.shares}`);
});

// Pattern: data centres that crest one after another. Work leaves its region
// while the wait there is longer than the way; with rates of another type of
// engine it left too early, and callers waited longer.
test("work leaves its region at a crest and comes back, with shorter waits than with one pace for all", () => {
  const speeds = Array.from({ length: 42 }, (_, index) =>
    index % 4 === 3 ? 0.55 : 1,
  );
  const load = { speeds, slots: 12, nodes: 80, duration: 40_000, places: 6 };
  const steady = runEngines(learnedPace, { ...load, rate: 420 });
  const crests = { ...load, rate: 420, swing: 0.55 };
  const cresting = runEngines(learnedPace, crests);
  const earlier = runEngines(fixedPace, crests);
  assert.ok(cresting.spilled > 2 * steady.spilled, `${cresting.spilled}`);
  assert.ok(cresting.spilled < earlier.spilled, `${earlier.spilled}`);
  assert.ok(cresting.mean < 0.9 * earlier.mean, `${cresting.mean}`);
});
