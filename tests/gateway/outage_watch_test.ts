import assert from "node:assert/strict";
import { test } from "node:test";
import { millis } from "../../src/core/clock.ts";
import {
  createOutageWatch,
  recordTableAnswer,
} from "../../src/core/gateway/outage_watch.ts";

const minOutage = millis(2_400);

function recordAnswers(...times: number[]): number {
  const watch = createOutageWatch(minOutage);
  for (const at of times) recordTableAnswer(watch, millis(at));
  return watch.endedAt;
}

test("an outage ends with the first answer after one in which registrations can expire", () => {
  assert.equal(recordAnswers(0, 900, 3_300, 3_900), 3_300);
});

test("a shorter silence is no outage", () => {
  assert.equal(recordAnswers(0, 900, 3_299), Number.NEGATIVE_INFINITY);
});

// A reader that was turned away learns later that others had answers.
test("answers to other nodes shorten the silence", () => {
  assert.equal(recordAnswers(0, 2_000, 4_000, 3_000), Number.NEGATIVE_INFINITY);
});

test("the first answer of all ends no outage", () => {
  assert.equal(recordAnswers(10_000), Number.NEGATIVE_INFINITY);
});
