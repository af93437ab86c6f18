import assert from "node:assert/strict";
import { test } from "node:test";
import { millis } from "../../src/core/clock.ts";
import {
  createEnginePaces,
  findPace,
  forgetPace,
  notePace,
} from "../../src/core/gateway/engine_pace.ts";
import { brandString, type ServerId } from "../../src/core/ids.ts";

const engine: ServerId = brandString("e1");

function play(answers: readonly number[]) {
  const paces = createEnginePaces();
  answers.forEach((actual, index) => {
    const now = millis(index * 100);
    notePace(paces, engine, { actual, expected: 100, now });
  });
  return { paces, now: millis(answers.length * 100) };
}

// A server that is slow while its health looks good was once found only by failures.
test("an engine that begins its answers late is expected to do so within a second", () => {
  const { paces, now } = play(new Array(10).fill(750));
  assert.ok(findPace(paces, engine, now) > 4);
});

test("one late answer among others tells little", () => {
  const { paces, now } = play([100, 100, 100, 100, 750]);
  assert.ok(findPace(paces, engine, now) < 2.5);
});

// An engine that is avoided gives no answers by which it could recover.
test("an engine that gets no requests is expected to recover", () => {
  const { paces, now } = play(new Array(10).fill(750));
  const later = millis(now + 20_000);
  assert.ok(findPace(paces, engine, later) < 1.3);
});

test("an engine that restarted or is unknown has the usual pace", () => {
  const { paces, now } = play([750, 750]);
  forgetPace(paces, engine);
  assert.equal(findPace(paces, engine, now), 1);
});
