import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { RealClock } from "../../src/adapters/time/real_clock.ts";
import { millis } from "../../src/core/clock.ts";

// Guards against time limits that pass at once: Node runs a timer whose delay
// exceeds 2^31 - 1 ms after 1 ms.
test("a delay longer than the longest timer does not pass at once", async (context) => {
  const clock = RealClock.create();
  const passed: number[] = [];
  for (const delay of [2 ** 31, 1e12, 1e308, Number.POSITIVE_INFINITY]) {
    const cancel = clock.schedule(millis(delay), () => passed.push(delay));
    context.after(cancel);
  }
  await sleep(100);
  assert.deepEqual(passed, []);
});

test("a delay that passes in several timers ends in time and can be cancelled", (context) => {
  context.mock.timers.enable({ apis: ["setTimeout"] });
  const clock = RealClock.create();
  let passed = 0;
  clock.schedule(millis(2 ** 31 + 5), () => passed++);
  const cancel = clock.schedule(millis(2 ** 31 + 5), () => passed++);
  context.mock.timers.tick(2 ** 31 - 1);
  cancel();
  context.mock.timers.tick(5);
  assert.equal(passed, 0);
  context.mock.timers.tick(1);
  assert.equal(passed, 1);
});
