import assert from "node:assert/strict";
import { test } from "node:test";
import { millis } from "../../src/core/clock.ts";
import {
  type EngineHealthState,
  isSlow,
  mayProbe,
  recordEnd,
  recordFirstToken,
  recordStart,
} from "../../src/core/routing/health.ts";
import {
  countSentSince,
  recordSent,
} from "../../src/core/routing/sent_requests.ts";
import { engineOf } from "./routing_fixture.ts";

const engine = engineOf("e");

function recordRequest(
  state: EngineHealthState,
  request: string,
  at: number,
): void {
  const expected = millis(100);
  recordStart(state, { engine, request, expected, now: millis(at) });
}

test("an engine with two requests without a token is slow within 1 s, whatever it reports", () => {
  const state: EngineHealthState = new Map();
  recordRequest(state, "r1", 0);
  recordRequest(state, "r2", 0);
  assert.equal(isSlow(state, { engine, now: millis(500) }), false);
  assert.equal(isSlow(state, { engine, now: millis(1000) }), true);
  recordEnd(state, { engine, request: "r1" });
  assert.equal(isSlow(state, { engine, now: millis(1000) }), false);
});

test("a request that waits for a load or in a queue does not affect the engine's health", () => {
  const state: EngineHealthState = new Map();
  for (const request of ["r1", "r2"])
    recordStart(state, {
      engine,
      request,
      expected: millis(270),
      now: millis(0),
    });
  assert.equal(isSlow(state, { engine, now: millis(5000) }), false);
});

test("late first tokens make an engine slow until tokens arrive in time again", () => {
  const state: EngineHealthState = new Map();
  for (const [index, wait] of [3000, 3000].entries()) {
    recordRequest(state, `late-${index}`, 0);
    const now = millis(wait);
    recordFirstToken(state, { engine, request: `late-${index}`, now });
  }
  assert.equal(isSlow(state, { engine, now: millis(3000) }), true);
  for (let index = 0; index < 10; index++) {
    recordRequest(state, `probe-${index}`, 4000 + index * 1000);
    const now = millis(4100 + index * 1000);
    recordFirstToken(state, { engine, request: `probe-${index}`, now });
  }
  assert.equal(isSlow(state, { engine, now: millis(15_000) }), false);
});

test("a slow engine is probed at most once a second", () => {
  const state: EngineHealthState = new Map();
  recordRequest(state, "r1", 0);
  assert.equal(mayProbe(state, { engine, now: millis(1000) }), true);
  recordRequest(state, "probe", 1000);
  assert.equal(mayProbe(state, { engine, now: millis(1500) }), false);
  assert.equal(mayProbe(state, { engine, now: millis(2000) }), true);
});

test("only requests sent or ended after a view was received correct it", () => {
  const log = new Map();
  recordSent(log, { engine, now: millis(100), change: 1 });
  recordSent(log, { engine, now: millis(200), change: 1 });
  recordSent(log, { engine, now: millis(300), change: -1 });
  const count = (since: number) =>
    countSentSince(log, { engine, since: millis(since) });
  assert.equal(count(0), 1);
  assert.equal(count(150), 0);
  assert.equal(count(250), -1);
});
