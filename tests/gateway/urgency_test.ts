import assert from "node:assert/strict";
import { test } from "node:test";
import { millis } from "../../src/core/clock.ts";
import { PriorityScale } from "../../src/core/gateway/priority_scale.ts";
import { plainWork } from "../../src/core/gateway/request_work.ts";
import {
  compareUrgency,
  describeUrgency,
  type UrgencyFacts,
} from "../../src/core/gateway/urgency.ts";

function createUrgency(fields: Partial<UrgencyFacts> = {}) {
  return describeUrgency({
    priority: 1,
    arrivedAt: millis(0),
    targetLatency: millis(1_000),
    work: plainWork,
    isAdapterMissing: false,
    isStream: true,
    ...fields,
  });
}

function createWork(promptTokens: number) {
  return { promptTokens, answerTokens: 0, adapter: undefined };
}

// Guards against a large old request of a low priority that goes before an urgent one.
test("the priority goes before work, age and lateness", () => {
  const urgent = createUrgency({
    priority: 0,
    arrivedAt: millis(900),
    work: createWork(14_000),
    isAdapterMissing: true,
  });
  const old = createUrgency({ priority: 1 });
  for (const at of [900, 1_500, 60_000])
    assert.ok(compareUrgency(urgent, old, millis(at)) < 0);
});

// Guards against room that is spent on an answer that is late either way.
test("a request in time goes before an older one of its priority that is late", () => {
  const late = createUrgency({ arrivedAt: millis(0) });
  const inTime = createUrgency({ arrivedAt: millis(800) });
  assert.ok(compareUrgency(late, inTime, millis(900)) < 0);
  assert.ok(compareUrgency(inTime, late, millis(1_001)) < 0);
});

test("a request that needs a load goes after one that does not", () => {
  const plain = createUrgency({ arrivedAt: millis(10) });
  const load = createUrgency({ isAdapterMissing: true });
  assert.ok(compareUrgency(plain, load, millis(20)) < 0);
});

// Guards against large work that waits for good while small requests keep coming.
test("younger small requests overtake a large one for twice its target latency", () => {
  const large = createUrgency({ work: createWork(140_000) });
  const now = millis(2_100);
  const young = createUrgency({ arrivedAt: now });
  assert.ok(compareUrgency(large, young, now) < 0);
});

test("few priorities leave a level for late requests of each", () => {
  const scale = PriorityScale.create([2, 0, 1]);
  const levels = [0, 1, 2].flatMap((priority) => [
    scale.findLevel(priority, false),
    scale.findLevel(priority, true),
  ]);
  assert.deepEqual(levels, [0, 1, 2, 3, 4, 5]);
});

// Guards against priorities above 9 that all reach engines as the same one.
test("priorities above 9 keep their order", () => {
  const scale = PriorityScale.create([5, 12, 40, 900]);
  const levels = [5, 12, 40, 900].map((it) => scale.findLevel(it, false));
  assert.deepEqual(levels, [0, 2, 4, 6]);
});

test("more priorities than engines know are mapped in order, without a late level", () => {
  const priorities = Array.from({ length: 25 }, (_, at) => at * 3);
  const scale = PriorityScale.create(priorities);
  const levels = priorities.map((it) => scale.findLevel(it, true));
  assert.deepEqual(
    levels,
    [...levels].sort((a, b) => a - b),
  );
  assert.equal(levels[0], 0);
  assert.equal(levels.at(-1), 9);
});
