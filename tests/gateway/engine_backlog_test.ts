import assert from "node:assert/strict";
import { test } from "node:test";
import { millis } from "../../src/core/clock.ts";
import {
  createBacklogLedger,
  estimateBacklogWait,
  recordPromisedRequest,
  recordUsage,
  sumOtherBacklog,
} from "../../src/core/gateway/engine_backlog.ts";
import {
  brandString,
  type MachineName,
  type ServerId,
} from "../../src/core/ids.ts";

const engine: ServerId = brandString("i-1");
const own: MachineName = brandString("n0");
/** An engine with a small batch, whose requests run for a second and a half. */
const pace = { slots: 12, runTime: 1_500 };

function createUse(running: number, queued = 0) {
  return {
    engine,
    ran: [],
    queuedAdapters: [],
    queuedRequests: queued,
    queuedTokens: queued * 1_000,
    runningRequests: running,
    contentsVersion: 0,
  };
}

// Pattern: engines with few slots and popular adapters. An engine whose slots
// are taken has no queue of prompts yet, but the next request waits for a slot;
// requests of low priority ended at their deadline in such queues.
test("an engine with all slots taken has a wait although no prompt is queued", () => {
  const free = { requests: 0, tokens: 0, running: 11 };
  const full = { requests: 0, tokens: 0, running: 12 };
  const step =
    estimateBacklogWait(full, pace, 0) - estimateBacklogWait(free, pace, 0);
  assert.ok(step >= 125, `${step} ms`);
  const overloaded = { requests: 6, tokens: 0, running: 12 };
  assert.ok(estimateBacklogWait(overloaded, pace, 0) > 800);
});

// Pattern: long prompts beside short streams. Running requests slow a long
// prompt down more than a short one, so it goes further for a free engine.
test("running requests delay a long prompt more than a short one", () => {
  const idle = { requests: 0, tokens: 0, running: 0 };
  const half = { requests: 0, tokens: 0, running: 6 };
  for (const promptTokens of [100, 9_000]) {
    assert.equal(estimateBacklogWait(idle, pace, promptTokens), 0);
  }
  const short = estimateBacklogWait(half, pace, 100);
  const long = estimateBacklogWait(half, pace, 9_000);
  assert.ok(short < 50, `${short} ms`);
  assert.ok(long > 250, `${long} ms`);
});

test("the requests that run and wait at an engine are summed over the other nodes", () => {
  const ledger = createBacklogLedger();
  const now = millis(0);
  for (let i = 0; i < 5; i++) {
    const from: MachineName = brandString(`n${i}`);
    recordUsage(ledger, { from, use: createUse(2, 1) }, now);
  }
  const others = sumOtherBacklog(ledger, { engine, except: own }, now);
  assert.deepEqual(others, { requests: 4, tokens: 4_000, running: 8 });
});

// Guards against nodes that all choose the same engine before any of them has reported it.
test("requests that were promised an adapter count until their node must have reported them", () => {
  const ledger = createBacklogLedger();
  const to: MachineName = brandString("n1");
  for (let i = 0; i < 3; i++) {
    recordPromisedRequest(ledger, { engine, to }, millis(0));
  }
  const count = (except: MachineName, now: number) =>
    sumOtherBacklog(ledger, { engine, except }, millis(now)).requests;
  assert.equal(count(own, 100), 3);
  assert.equal(count(to, 100), 0);
  assert.equal(count(own, 1_000), 0);
});
