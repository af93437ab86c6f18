import assert from "node:assert/strict";
import { test } from "node:test";
import { type Millis, millis } from "../../src/core/clock.ts";
import {
  boundPause,
  malformedPause,
  maxPause,
  parseRetryAfter,
} from "../../src/core/gateway/retry_after.ts";
import {
  computeReturnDelay,
  createServerPauses,
  findEarliestResumption,
  findResumption,
  isPaused,
  recordPause,
  recordSend,
} from "../../src/core/gateway/server_pauses.ts";
import { brandString, type ServerId } from "../../src/core/ids.ts";

const wallNow = millis(Date.parse("Sat, 05 Dec 2026 04:00:00 GMT"));
const server = { id: brandString<ServerId>("s1"), born: 1 };

// An odd value must neither take a server out for good nor be taken for no request at all.
const values: [text: string, form: string, pause: Millis][] = [
  ["2", "seconds", millis(2_000)],
  [" 0.25 ", "seconds", millis(250)],
  ["0", "seconds", millis(0)],
  ["1e2", "seconds", millis(100_000)],
  ["999999", "seconds", maxPause],
  ["-3", "negative", millis(0)],
  ["1e999", "endless", maxPause],
  ["Infinity", "endless", maxPause],
  ["Sat, 05 Dec 2026 04:00:07 GMT", "date", millis(7_000)],
  ["Sat, 05 Dec 2026 03:59:00 GMT", "date", millis(0)],
  ["Sat, 05 Dec 2099 04:00:00 GMT", "date", maxPause],
  ["soon", "malformed", malformedPause],
  ["NaN", "malformed", malformedPause],
  ["1,5", "malformed", malformedPause],
  ["2026", "seconds", maxPause],
  ["", "malformed", malformedPause],
];
for (const [text, form, pause] of values) {
  test(`Retry-After "${text}" is read as ${form} and gives a pause of ${pause} ms`, () => {
    const value = parseRetryAfter(text, wallNow);
    assert.equal(value.kind, form);
    assert.equal(boundPause(value), pause);
  });
}

function pauseFor(duration: number, now = millis(0)) {
  const pauses = createServerPauses();
  recordPause(pauses, server, { duration: millis(duration), now });
  return pauses;
}

// A server that starts again under its id knows nothing of the pause.
test("a pause holds for one incarnation of a server", () => {
  const pauses = pauseFor(1_000);
  assert.ok(isPaused(pauses, server, millis(999)));
  assert.ok(!isPaused(pauses, server, millis(1_000)));
  assert.ok(!isPaused(pauses, { ...server, born: 2 }, millis(1)));
  const other = { id: brandString<ServerId>("s2"), born: 1 };
  assert.ok(!isPaused(pauses, other, millis(1)));
});

// The answers to requests that were on their way name different times.
test("of several pauses the one that ends last counts", () => {
  const pauses = pauseFor(1_000);
  for (const duration of [100, 1_500, 300, 0]) {
    const renewal = { duration: millis(duration), now: millis(10) };
    assert.equal(recordPause(pauses, server, renewal), false);
  }
  assert.ok(isPaused(pauses, server, millis(1_509)));
  assert.ok(!isPaused(pauses, server, millis(1_510)));
});

test("after a pause a server takes requests at no more than twice its usual rate at first, then without a limit", () => {
  const pauses = createServerPauses();
  const usualInterval = 10;
  let now = 0;
  for (; now < 10_000; now += usualInterval)
    recordSend(pauses, server, millis(now));
  const pause = { duration: millis(1_000), now: millis(now) };
  recordPause(pauses, server, pause);
  const end = now + 1_000;
  let sends = 0;
  for (let at = end; at < end + 500; at++) {
    while (findResumption(pauses, server, millis(at)) === undefined) {
      recordSend(pauses, server, millis(at));
      sends++;
    }
  }
  const usual = 500 / usualInterval;
  assert.ok(sends >= usual && sends <= 2 * usual, `${sends} requests`);
  const late = millis(end + 2_000);
  assert.equal(findResumption(pauses, server, late), undefined);
});

// A server that had asked for a pause in its first answers got two requests in two seconds after it.
test("after a pause a server without a usual rate takes requests that double", () => {
  const pauses = pauseFor(1_000);
  const sends = { half: 0, whole: 0 };
  for (let at = 1_000; at < 2_000; at++) {
    if (findResumption(pauses, server, millis(at)) !== undefined) continue;
    recordSend(pauses, server, millis(at));
    sends.whole++;
    if (at < 1_500) sends.half++;
  }
  assert.ok(sends.half >= 3 && sends.half <= 8, `${sends.half} in 500 ms`);
  assert.ok(sends.whole >= 25, `${sends.whole} in a second`);
});

test("the earliest resumption is known only while every server is paused", () => {
  const pauses = pauseFor(1_000);
  const second = { id: brandString<ServerId>("s2"), born: 1 };
  const both = [server, second];
  const now = millis(100);
  assert.equal(findEarliestResumption(pauses, both, now), undefined);
  recordPause(pauses, second, { duration: millis(400), now });
  assert.equal(findEarliestResumption(pauses, both, now)?.at, 500);
  assert.equal(findEarliestResumption(pauses, [], now), undefined);
});

test("refused callers return after the end of the pause, spread over a time", () => {
  const now = millis(200);
  const pause = { at: millis(1_000), pauseLength: millis(900) };
  const resumption = { server: server.id, ...pause };
  const first = computeReturnDelay(resumption, { now, share: 0 });
  const last = computeReturnDelay(resumption, { now, share: 0.999 });
  assert.equal(first, 800);
  assert.ok(last > 1_600 && last < 1_800);
});
