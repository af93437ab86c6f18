import assert from "node:assert/strict";
import { test } from "node:test";
import { type Millis, millis } from "../../src/core/clock.ts";
import { decideBegin } from "../../src/core/gateway/begin_in_time.ts";
import { createEngineFixture, streamRoute } from "./gateway_setups.ts";
import { createDemand, createEngine, createRoute } from "./gateway_values.ts";

const times = { timeLeft: millis(1_000), fullTime: millis(3_000) };

function waits(...values: number[]): Millis[] {
  return values.map(millis);
}

test("one server that can begin the request in time is enough", () => {
  const decision = decideBegin(waits(9_000, 0, 20_000), times);
  assert.equal(decision.kind, "in-time");
});

test("a wait that exceeds the time left by less than its error refuses nothing", () => {
  assert.equal(decideBegin(waits(1_150), times).kind, "in-time");
  assert.equal(decideBegin(waits(1_250), times).kind, "too-late");
});

test("without a known server the request may wait for one", () => {
  assert.equal(decideBegin([], times).kind, "in-time");
});

test("a refused caller returns once the wait fits into its whole time", () => {
  const decision = decideBegin(waits(5_000), times);
  assert.deepEqual(decision, { kind: "too-late", returnsIn: 2_000 });
});

// Load: 120 requests within 120 ms for two engines with six places each, which answer nothing.
// Guards against requests that wait at engines in vain, and against refusals whose
// Retry-After does not come true.
test("a request that no engine can begin before its deadline is refused, and begins when it returns", async () => {
  const fixture = await createEngineFixture();
  const demand = createDemand("a1");
  const answers: ReturnType<typeof fixture.open>[] = [];
  for (let i = 0; i < 120; i++) {
    answers.push(fixture.open({ demand }));
    await fixture.advance(1);
  }
  const refused = answers.filter(({ answer }) => answer.outcome === "refused");
  assert.ok(refused.length > 0 && refused.length < 100, `${refused.length}`);
  for (const { answer } of refused) {
    assert.equal(answer.refusal?.code, "tooLateToBegin");
    assert.equal(answer.refusal?.outcome, "not-run");
  }
  const delays = refused.map(({ answer }) => answer.refusal?.retryAfter ?? 0);
  assert.ok(Math.max(...delays) - Math.min(...delays) > 100, "no jitter");
  for (const attempt of fixture.attempts.splice(0))
    attempt.answer("data: a\n\n");
  await fixture.advance(Math.max(...delays));
  for (let i = 0; i < refused.length; i++) {
    fixture.open({ demand });
    await fixture.advance(20);
    const sent = fixture.attempts.splice(0);
    assert.equal(sent.length, 1);
    for (const attempt of sent) attempt.answer("data: a\n\n");
  }
});

// Load: as before, but one more engine has registered. Guards against refusals while a
// server has a free place.
test("no request is refused while an engine is idle", async () => {
  const fixture = await createEngineFixture();
  const demand = createDemand("a1");
  for (let i = 0; i < 120; i++) {
    fixture.open({ demand });
    await fixture.advance(1);
  }
  const last = fixture.open({ demand });
  await fixture.advance(1);
  assert.equal(last.answer.outcome, "refused");
  fixture.register(createEngine("e3", ["a1"]));
  await fixture.advance(10);
  const { answer } = fixture.open({ demand });
  await fixture.advance(20);
  assert.equal(answer.outcome, "open");
});

// Guards against an answer that is given up for an estimate after a part of it has come.
test("a stream that has begun is not refused for the expected wait", async () => {
  const fixture = await createEngineFixture({ resumable: true });
  fixture.configure([createRoute({ ...streamRoute, resumable: true })], 2);
  const demand = createDemand("a1");
  const { answer } = fixture.open({ demand });
  await fixture.advance(5);
  const attempt = fixture.lastAttempt();
  attempt.start();
  attempt.bytes("id: 1\ndata: a\n\n");
  for (let i = 0; i < 150; i++) {
    fixture.open({ demand });
    await fixture.advance(1);
  }
  attempt.fail("broken");
  await fixture.advance(100);
  assert.equal(answer.outcome, "open");
});
