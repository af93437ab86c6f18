import assert from "node:assert/strict";
import { test } from "node:test";
import { millis } from "../../src/core/clock.ts";
import {
  createReach,
  needsCheck,
  recordCheck,
  startCheck,
} from "../../src/core/gateway/reach.ts";

// Guards against nodes that keep requests though no server reaches them, and against
// nodes that give theirs away because one server is silent.

const never = undefined;

test("servers are not tried while they answer, or while nothing is awaited", () => {
  const reach = createReach(millis(0));
  const isNeeded = (now: number, unansweredSince: number | undefined) =>
    needsCheck(reach, {
      now: millis(now),
      unansweredSince:
        unansweredSince === undefined ? undefined : millis(unansweredSince),
    });
  assert.equal(isNeeded(60_000, never), false);
  reach.heardAt = millis(59_900);
  assert.equal(isNeeded(60_000, 50_000), false, "another server answers");
  assert.equal(isNeeded(60_000, 59_950), false, "the request is young");
  assert.equal(isNeeded(60_500, 59_950), true, "all are silent");
});

test("a failed attempt has servers tried at once, but not more often than 4 times a second", () => {
  const reach = createReach(millis(0));
  reach.hasFailed = true;
  let checks = 0;
  for (let now = 0; now < 10_000; now += 10) {
    reach.hasFailed = true;
    if (!needsCheck(reach, { now: millis(now), unansweredSince: never }))
      continue;
    checks++;
    startCheck(reach, millis(now));
    recordCheck(reach, true);
  }
  assert.ok(checks >= 30 && checks <= 40, `${checks} checks in 10 s`);
});

test("a node is out of reach after two checks in a row without a server, and back after one with", () => {
  const reach = createReach(millis(0));
  assert.equal(recordCheck(reach, false), false);
  assert.equal(recordCheck(reach, true), false);
  assert.equal(recordCheck(reach, false), false);
  assert.equal(recordCheck(reach, false), true);
  assert.equal(reach.isLost, true);
  assert.equal(recordCheck(reach, false), false);
  assert.equal(recordCheck(reach, true), true);
  assert.equal(reach.isLost, false);
});
