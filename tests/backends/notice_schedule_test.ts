import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../../src/adapters/random/seeded_random.ts";
import { VirtualClock } from "../../src/adapters/time/virtual_clock.ts";
import { millis } from "../../src/core/clock.ts";
import { MemoryService } from "../../src/standins/memory_service.ts";
import { scheduleNotices } from "../../src/standins/notice_schedule.ts";

/** Runs 50 servers for 10 periods; returns how often each kind of notice was given. */
async function count(pauseShare: number, leavingShare: number, seed: number) {
  const clock = VirtualClock.create();
  const services = Array.from({ length: 50 }, () =>
    MemoryService.create(clock),
  );
  const random = createSeededRandom(seed);
  const plan = { pauseShare, leavingShare, random };
  const times = { pauseLength: millis(400), period: millis(1_000) };
  const stop = scheduleNotices(services, { ...plan, ...times }, clock);
  const seen: string[] = [];
  for (let period = 0; period < 10; period++) {
    for (const [at, service] of services.entries()) {
      if (service.pausedUntil > clock.now()) seen.push(`${period}/${at} pause`);
      if (service.isLeaving) seen.push(`${period}/${at} leaving`);
    }
    await clock.advance(millis(1_000));
  }
  stop();
  return seen;
}

// A plan that ignored its share or seed would make runs with it prove nothing.
test("the share of servers that pause and leave follows the plan, and the seed fixes which", async () => {
  const seen = await count(0.3, 0.1, 5);
  const pauses = seen.filter((text) => text.endsWith("pause")).length;
  const leavings = seen.length - pauses;
  assert.ok(pauses > 110 && pauses < 190, `${pauses} of 500`);
  assert.ok(leavings > 25 && leavings < 80, `${leavings} of 500`);
  assert.deepEqual(await count(0.3, 0.1, 5), seen);
  assert.notDeepEqual(await count(0.3, 0.1, 6), seen);
  assert.deepEqual(await count(0, 0, 5), []);
});
