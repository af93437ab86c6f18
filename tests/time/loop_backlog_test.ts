import assert from "node:assert/strict";
import { test } from "node:test";
import {
  setImmediate as nextTurn,
  setTimeout as sleep,
} from "node:timers/promises";
import { LoopBacklog } from "../../src/adapters/time/loop_backlog.ts";
import { RealClock } from "../../src/adapters/time/real_clock.ts";
import { standStill } from "../support/stand_still.ts";

const standstill = 400;

// Guards against work that goes on after a standstill as if nothing had come meanwhile.
test("events may be waiting right after a standstill, and some time later no more", async (context) => {
  const backlog = LoopBacklog.create(RealClock.create());
  context.after(() => backlog.stop());
  await sleep(150);
  assert.equal(backlog.isBehind, false);
  standStill(standstill);
  assert.equal(backlog.isBehind, true);
  await backlog.whenHandled();
  await sleep(standstill);
  assert.equal(backlog.isBehind, false);
});

test("what a standstill has held up is handled first", async (context) => {
  const backlog = LoopBacklog.create(RealClock.create());
  context.after(() => backlog.stop());
  await sleep(20);
  const handled: string[] = [];
  setTimeout(() => handled.push("held up"), standstill / 2);
  standStill(standstill);
  await backlog.whenHandled();
  assert.deepEqual(handled, ["held up"]);
});

// Guards against connections that a process with too little processor time accepts late:
// each turn of its loop after the standstill takes long.
test("events may be waiting as long as the turns after a standstill take long", async (context) => {
  const backlog = LoopBacklog.create(RealClock.create());
  context.after(() => backlog.stop());
  await sleep(150);
  standStill(standstill);
  for (let turn = 0; turn < 20; turn++) {
    await nextTurn();
    standStill(30);
  }
  assert.equal(backlog.isBehind, true);
  await sleep(standstill);
  assert.equal(backlog.isBehind, false);
});
