import assert from "node:assert/strict";
import { test } from "node:test";
import { millis } from "../../src/core/clock.ts";
import { brandString } from "../../src/core/ids.ts";
import {
  crash,
  crashTwice,
  createFixture,
  deadly,
  open,
  sound,
} from "./crashing_prompts.ts";
import { streamRoute } from "./gateway_setups.ts";

// Guards against requests with one part of a prompt that crash engine after
// engine, and against sound requests that are refused because of them.

test("a request whose part has crashed two engines is refused as not run, and sent to none", async () => {
  const fixture = await createFixture();
  await crashTwice(fixture);
  const { answer, attempt } = await open(fixture, ["other", "deadly"]);
  const unproven = await open(fixture, deadly);
  assert.equal(unproven.attempt, undefined);
  assert.equal(unproven.answer.refusal?.code, "partWithheld");
  assert.equal(unproven.answer.refusal?.outcome, "not-run");
  // One of three parts is to blame; a request with one of them is a trial.
  assert.ok(attempt);
  await crash(fixture, attempt);
  assert.equal(answer.outcome, "aborted");
  const next = await open(fixture, ["third", "deadly"]);
  assert.equal(next.attempt, undefined);
});

test("a sound request with the same first part is sent at once and clears the part", async () => {
  const fixture = await createFixture();
  await crashTwice(fixture);
  const { answer, attempt } = await open(fixture, sound);
  assert.ok(attempt);
  attempt.answer("id: 1\n\n");
  assert.equal(answer.outcome, "whole");
  for (let i = 0; i < 3; i++) {
    const next = await open(fixture, sound);
    assert.ok(next.attempt, "requests with sound parts run side by side");
  }
  assert.equal((await open(fixture, deadly)).attempt, undefined);
});

test("of the requests with a suspect part one runs at a time, and the others wait for its result", async () => {
  const fixture = await createFixture();
  await crash(fixture, (await open(fixture, deadly)).attempt);
  const trial = await open(fixture, deadly);
  assert.ok(trial.attempt);
  const waiting = await open(fixture, deadly);
  assert.equal(waiting.attempt, undefined);
  trial.attempt.answer("id: 1\n\n");
  await fixture.advance(100);
  assert.equal(fixture.attempts.length, 3);
  assert.equal(fixture.lastAttempt().cancelled, false);
});

// Answers that are still running when others crash their engines are often the only sign that
// a part which all of them share is sound.
test("an answer that goes on after the crash of another engine clears the parts that both share", async () => {
  const fixture = await createFixture();
  const running = await open(fixture, sound);
  running.attempt?.start();
  running.attempt?.bytes("id: 1\n\n");
  fixture.reportCrash([...sound], ["e8/1", "e9/1"]);
  await fixture.advance(1_000);
  assert.equal((await open(fixture, sound)).attempt, undefined);
  running.attempt?.bytes("id: 2\n\n");
  const next = await open(fixture, sound);
  assert.ok(next.attempt, "the shared parts are still refused");
  assert.equal(running.answer.outcome, "open");
});

// Each trial that crashed an engine put off the next one of the parts that sound requests share.
test("a convicted part that sound requests share is tried by one of those, not by one with further suspects", async () => {
  const fixture = await createFixture();
  await crashTwice(fixture);
  await fixture.advance(4_000);
  const repeated = await open(fixture, deadly);
  assert.equal(repeated.attempt, undefined);
  await fixture.advance(100);
  const { attempt } = await open(fixture, ["tenant"]);
  assert.ok(attempt, "the sound request is not tried");
  attempt.answer("id: 1\n\n");
  const before = fixture.attempts.length;
  await fixture.advance(500);
  assert.equal(fixture.attempts.length, before + 1, "the other is tried later");
});

// Otherwise the trials of all requests of one tenant would wait for each other.
test("a part that is known to be sound is not on trial with the others", async () => {
  const fixture = await createFixture();
  const tenant = await open(fixture, ["tenant"]);
  tenant.attempt?.answer("id: 1\n\n");
  fixture.reportCrash(["tenant", "user", "third"]);
  await fixture.advance(5);
  assert.ok((await open(fixture, ["tenant", "user"])).attempt);
  assert.ok((await open(fixture, ["tenant", "third"])).attempt);
  const second = await open(fixture, ["tenant", "user"]);
  assert.equal(second.attempt, undefined);
});

test("a request that waits for a trial is refused when the trial crashes an engine", async () => {
  const fixture = await createFixture();
  await crash(fixture, (await open(fixture, deadly)).attempt);
  const trial = await open(fixture, deadly);
  const waiting = await open(fixture, deadly);
  await crash(fixture, trial.attempt);
  await fixture.advance(100);
  assert.equal(waiting.answer.refusal?.code, "partWithheld");
  assert.equal(fixture.attempts.length, 2);
});

// The engine is asked for its status first, which takes a while.
test("the next request with a suspect part waits until the crash of the last one is known", async () => {
  const fixture = await createFixture();
  await crash(fixture, (await open(fixture, deadly)).attempt);
  const trial = await open(fixture, deadly);
  const waiting = await open(fixture, deadly);
  assert.ok(trial.attempt);
  fixture.statusDelay = millis(300);
  fixture.downEngines.add(trial.attempt.server);
  trial.attempt.start();
  trial.attempt.fail("broken");
  await fixture.advance(1_000);
  assert.equal(trial.answer.outcome, "aborted");
  assert.equal(waiting.answer.refusal?.code, "partWithheld");
  assert.equal(fixture.attempts.length, 2);
});

test("crashes that other nodes report count, and a request already sent is withdrawn", async () => {
  const fixture = await createFixture();
  const { answer, attempt } = await open(fixture, ["deadly"]);
  fixture.reportCrash(["deadly"], ["e1/1", "e2/1"]);
  await fixture.advance(5);
  assert.equal(attempt?.cancelled, true);
  assert.notEqual(answer.refusal?.outcome, "not-run");
  const next = await open(fixture, ["deadly"]);
  assert.equal(next.answer.refusal?.outcome, "not-run");
});

test("a request waits while another node has its part on trial", async () => {
  const fixture = await createFixture();
  await crash(fixture, (await open(fixture, deadly)).attempt);
  fixture.receive({
    type: "trial",
    from: brandString("n0"),
    units: deadly.map((part) => brandString(part)),
    duration: millis(400),
  });
  assert.equal((await open(fixture, deadly)).attempt, undefined);
  await fixture.advance(500);
  assert.equal(fixture.attempts.length, 2);
});

// A stream that was resumed after a crash would crash the next engine.
test("a broken stream is resumed only after its engine was checked", async () => {
  const fixture = await createFixture({
    ...streamRoute,
    resumable: true,
  } as typeof streamRoute);
  await crash(fixture, (await open(fixture, deadly)).attempt);
  await fixture.advance(100);
  assert.equal(fixture.attempts.length, 2, "the trial");
  await crash(fixture, fixture.lastAttempt());
  await fixture.advance(500);
  assert.equal(fixture.attempts.length, 2, "no further engine");
});

// Its parts run well elsewhere, so only the whole request tells it from the others.
test("a prompt that comes again and crashes engines is refused, and others with the same parts are not", async () => {
  const fixture = await createFixture();
  const shared = ["tenant", "user"];
  const sendAgain = () => open(fixture, shared, "again");
  (await open(fixture, shared)).attempt?.answer("id: 1\n\n");
  for (let crashes = 0; crashes < 2; crashes++) {
    await crash(fixture, (await sendAgain()).attempt);
    (await open(fixture, shared)).attempt?.answer("id: 1\n\n");
  }
  const again = await sendAgain();
  assert.equal(again.attempt, undefined);
  assert.equal(again.answer.refusal?.code, "partWithheld");
  assert.ok((await open(fixture, shared)).attempt);
});

// A server that crashes while it holds many requests would otherwise block their parts.
test("an engine that crashes before it answers leaves no suspicion on the parts of a prompt", async () => {
  const fixture = await createFixture();
  const { attempt } = await open(fixture, deadly);
  assert.ok(attempt);
  fixture.downEngines.add(attempt.server);
  attempt.fail("broken");
  await fixture.advance(5);
  fixture.downEngines.delete(attempt.server);
  assert.ok((await open(fixture, deadly)).attempt);
  assert.ok((await open(fixture, deadly)).attempt);
});

// Callers that ask the same question would lose its answer with the next server that crashes.
test("a request that others have sent alike, and that is answered, is not refused after two crashes", async () => {
  const fixture = await createFixture();
  const ask = () => open(fixture, [], "popular");
  (await ask()).attempt?.answer("id: 1\n\n");
  for (let crashes = 0; crashes < 2; crashes++)
    await crash(fixture, (await ask()).attempt);
  const next = await ask();
  assert.ok(next.attempt);
  next.attempt.answer("id: 1\n\n");
  assert.equal(next.answer.outcome, "whole");
});
