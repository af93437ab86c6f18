import assert from "node:assert/strict";
import { test } from "node:test";
import { millis } from "../../src/core/clock.ts";
import {
  brandString,
  type Digest,
  type MachineName,
} from "../../src/core/ids.ts";
import {
  claimTrial,
  endTrials,
  holdsTrial,
  maxTrialTime,
  recordTrialClaim,
  type Trials,
} from "../../src/core/poison/trials.ts";

const units = [brandString<Digest>("p1")];
const now = millis(0);

function createClaim(machine: string) {
  const name = brandString<MachineName>(machine);
  return { machine: name, units, duration: maxTrialTime };
}

const own = createClaim("n2");

// A suspect part must not crash several engines while it is being tried.
test("a part is on trial at one node at a time", () => {
  const trials: Trials = new Map();
  assert.equal(claimTrial(trials, own, now), true);
  assert.equal(claimTrial(trials, own, now), false);
  assert.equal(claimTrial(trials, createClaim("n1"), now), false);
  endTrials(trials, own);
  assert.equal(claimTrial(trials, createClaim("n1"), now), true);
});

test("a trial whose end is not reported ends by itself", () => {
  const trials: Trials = new Map();
  recordTrialClaim(trials, createClaim("n1"), now);
  assert.equal(claimTrial(trials, own, millis(maxTrialTime - 1)), false);
  assert.equal(claimTrial(trials, own, maxTrialTime), true);
});

test("of two claims that cross, one holds at both nodes", () => {
  const atFirst: Trials = new Map();
  const atSecond: Trials = new Map();
  const first = createClaim("n1");
  claimTrial(atFirst, first, now);
  claimTrial(atSecond, own, now);
  recordTrialClaim(atFirst, own, now);
  recordTrialClaim(atSecond, first, now);
  assert.equal(holdsTrial(atFirst, first, now), true);
  assert.equal(holdsTrial(atSecond, own, now), false);
});
