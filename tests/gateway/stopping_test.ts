import assert from "node:assert/strict";
import { test } from "node:test";
import { type Millis, millis } from "../../src/core/clock.ts";
import {
  createRunTimes,
  endRun,
  findLongestRun,
  startRun,
} from "../../src/core/gateway/run_times.ts";
import { findLatestStart } from "../../src/core/gateway/stopping.ts";
import { GatewayFixture } from "./gateway_fixture.ts";
import { createEngineFixture } from "./gateway_setups.ts";
import {
  booking,
  createDemand,
  createRoute,
  createServer,
} from "./gateway_values.ts";

/** Time between the start of the drain and the exit of the process, in ms. */
const drainTime = 7_600;

/** Number of runs from which the next one is estimated. */
const observedRuns = 5;

/** A gateway whose route allows more time than a drain leaves. */
function createLongRequests(): GatewayFixture {
  const fixture = new GatewayFixture();
  fixture.configure([createRoute({ timeout: millis(10_000) })]);
  fixture.register(createServer({}));
  return fixture;
}

function openLong(fixture: GatewayFixture) {
  return fixture.open({ deadline: millis(10_000) }).answer;
}

/** Has the server run a few requests, one after the other, for a time in ms each. */
async function observeRuns(fixture: GatewayFixture, duration: number) {
  for (let run = 0; run < observedRuns; run++) {
    openLong(fixture);
    await fixture.advance(duration);
    fixture.lastAttempt().answer("booked");
    await fixture.advance(1);
  }
}

function startDraining(fixture: GatewayFixture): Millis {
  const exitAt = millis(fixture.clock.now() + drainTime);
  fixture.gateway.startDraining(exitAt);
  return exitAt;
}

// Guards against a request that is taken late in a drain and cut off by the exit.
test("a draining node takes a request that ends before the exit and refuses a later one as not run", async () => {
  const fixture = createLongRequests();
  await observeRuns(fixture, 1_000);
  startDraining(fixture);
  await fixture.advance(5_000);
  const early = openLong(fixture);
  await fixture.advance(1_000);
  fixture.lastAttempt().answer("booked");
  await fixture.advance(1);
  assert.equal(early.outcome, "whole");
  const sent = fixture.attempts.length;
  const late = openLong(fixture);
  assert.equal(late.refusal?.code, "draining");
  assert.equal(late.refusal?.outcome, "not-run");
  assert.equal(late.refusal?.retryAfter, 0);
  await fixture.advance(drainTime);
  assert.equal(fixture.attempts.length, sent);
});

// Guards against a guess where nothing is known of the time that a request needs.
test("a draining node without a recent run relies on the time limit of a request", async () => {
  const fixture = createLongRequests();
  startDraining(fixture);
  assert.equal(openLong(fixture).refusal?.code, "draining");
  const { answer } = fixture.open({ deadline: millis(2_000) });
  await fixture.advance(1);
  assert.equal(answer.refusal, undefined);
  assert.equal(fixture.attempts.length, 1);
});

// Guards against a request that is taken in time, waits, and is sent too late to end.
test("a request that waits for a server is refused as soon as the exit would cut it off", async () => {
  const fixture = createLongRequests();
  await observeRuns(fixture, 2_000);
  fixture.publish({
    type: "server",
    change: {
      type: "absent",
      id: createServer({}).id,
      outageEndedAt: millis(Number.NEGATIVE_INFINITY),
    },
    origin: { rowVersion: 2, source: undefined, maxAge: 0 },
  });
  const exitAt = startDraining(fixture);
  await fixture.advance(4_000);
  const answer = openLong(fixture);
  await fixture.advance(500);
  assert.equal(answer.refusal?.code, "draining");
  assert.equal(answer.refusal?.outcome, "not-run");
  assert.ok((answer.at as number) <= exitAt - 2_000);
});

// The node went on with the stream at another server and cut it off at its exit.
test("a stream that breaks too late to end before the exit is broken off at once, so that its caller can go on elsewhere", async () => {
  const fixture = await createEngineFixture({
    resumable: true,
    timeout: millis(20_000),
  });
  const { answer } = fixture.open({
    demand: createDemand("a1"),
    deadline: millis(20_000),
  });
  await fixture.advance(5);
  const first = fixture.lastAttempt();
  first.start();
  first.bytes("id: 1\n\n");
  startDraining(fixture);
  await fixture.advance(drainTime - 500);
  first.fail("broken");
  await fixture.advance(100);
  assert.equal(answer.outcome, "aborted");
  assert.equal(fixture.attempts.length, 1);
});

// Guards against taking the time until a failure, or until a caller leaves, for that of a run.
test("attempts without a whole answer do not say how long a run takes", async () => {
  const fixture = createLongRequests();
  for (let run = 0; run < 2 * observedRuns; run++) {
    const { control } = fixture.open({ deadline: millis(10_000) });
    await fixture.advance(5);
    if (run % 2 === 0) control.cancel();
    else fixture.lastAttempt().fail("unreachable");
    await fixture.advance(700);
  }
  startDraining(fixture);
  assert.equal(openLong(fixture).refusal?.code, "draining");
});

// Guards against an estimate from short runs while longer ones are still in progress.
test("runs in progress raise the estimate", async () => {
  const fixture = createLongRequests();
  await observeRuns(fixture, 10);
  openLong(fixture);
  await fixture.advance(1_500);
  startDraining(fixture);
  await fixture.advance(2_000);
  assert.equal(openLong(fixture).refusal?.code, "draining");
});

const kind = { route: "r", service: booking };

test("the longest of at least five runs counts for 15 to 30 s", () => {
  const times = createRunTimes();
  const record = (now: number, duration: number) => {
    const run = startRun(times, kind, millis(now - duration));
    endRun(times, run, { isWhole: true, now: millis(now) });
  };
  const find = (now: number) => findLongestRun(times, kind, millis(now));
  for (const duration of [900, 100, 200, 300]) record(1_000, duration);
  assert.equal(find(1_000), undefined);
  record(14_000, 300);
  assert.equal(find(14_999), 900);
  for (let run = 0; run < observedRuns; run++) record(17_000, 400);
  assert.equal(find(30_000), 900);
  assert.equal(find(32_000), 400);
  assert.equal(find(60_000), undefined);
});

test("a request whose time limit ends before the exit may start at any time", () => {
  const exitAt = millis(10_000);
  const longestRun = millis(60_000);
  const limit = millis(9_000);
  const latest = findLatestStart({ exitAt, limit, longestRun });
  assert.equal(latest, Number.POSITIVE_INFINITY);
});
