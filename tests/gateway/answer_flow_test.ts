import assert from "node:assert/strict";
import { test } from "node:test";
import { millis } from "../../src/core/clock.ts";
import { GatewayFixture } from "./gateway_fixture.ts";
import { createRoute, createServer } from "./gateway_values.ts";

/** Gateway with one server and a stream whose caller takes nothing after the first event. */
async function openPausedStream(resumable = false) {
  const fixture = new GatewayFixture();
  fixture.configure([
    createRoute({ retryRule: "stream", resumable, timeout: millis(10_000) }),
  ]);
  fixture.register(createServer({}));
  const { answer, control } = fixture.open({ deadline: millis(10_000) });
  await fixture.advance(0);
  const attempt = fixture.lastAttempt();
  attempt.start();
  answer.takesMore = false;
  attempt.bytes("id: 1\ndata: a\n\n");
  return { fixture, answer, control, attempt };
}

// Guards against a node that reads an answer faster than its caller takes it.
test("an answer is paused while its caller takes no more, and goes on afterwards", async () => {
  for (const resumable of [false, true]) {
    const { answer, control, attempt } = await openPausedStream(resumable);
    assert.ok(attempt.paused);
    answer.takesMore = true;
    control.resume();
    assert.ok(!attempt.paused);
    attempt.bytes("id: 2\ndata: b\n\n");
    attempt.end();
    assert.equal(answer.outcome, "whole");
    assert.equal(answer.text, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  }
});

// Guards against a paused answer that is taken for one of a silent server.
test("an answer that was paused for seconds ends well and does not count against its server", async () => {
  const { fixture, answer, control, attempt } = await openPausedStream();
  await fixture.advance(8_000);
  assert.equal(answer.outcome, "open");
  assert.ok(!attempt.cancelled);
  control.resume();
  attempt.end();
  assert.equal(answer.outcome, "whole");
  const next = fixture.open();
  await fixture.advance(0);
  assert.equal(fixture.attempts.length, 2);
  next.control.cancel();
});

// Guards against a caller that holds the place of a request at a server without reading.
test("a request whose caller takes nothing is cancelled at its server", async () => {
  const { fixture, control, attempt } = await openPausedStream();
  control.stall("nothing taken");
  assert.ok(attempt.cancelled);
  assert.equal(fixture.gateway.openRequests, 0);
});

// Guards against a pause that outlasts the time limit of its request.
test("a paused answer is broken off at the time limit of its request", async () => {
  const { fixture, answer, attempt } = await openPausedStream();
  await fixture.advance(10_001);
  assert.equal(answer.outcome, "aborted");
  assert.ok(attempt.cancelled);
  assert.equal(fixture.gateway.openRequests, 0);
});

// Guards against the bodies of failures, and pieces of a few bytes, that fill the memory of a node.
test("an answer that is kept until it is complete fails beyond its bound", async () => {
  const bounds = [
    { status: 500, piece: 1_024, count: 256 },
    { status: 200, piece: 64 * 1_024, count: 128 },
    { status: 200, piece: 1, count: 33_000 },
  ];
  for (const { status, piece, count } of bounds) {
    const fixture = new GatewayFixture();
    fixture.configure([createRoute({})]);
    fixture.register(createServer({}));
    const { answer } = fixture.open();
    await fixture.advance(0);
    const attempt = fixture.lastAttempt();
    attempt.start(status);
    for (let at = 0; at < count; at++) attempt.bytes("x".repeat(piece));
    await fixture.advance(0);
    assert.ok(attempt.cancelled, `status ${status}, pieces of ${piece}`);
    assert.equal(answer.refusal?.code, "serviceBroken");
  }
});

// Guards against many answers within the bound of one that together fill the memory of a node.
test("beyond the limit of all answers kept, the largest ones fail and small ones are served", async () => {
  const fixture = new GatewayFixture();
  fixture.configure([createRoute({ timeout: millis(10_000) })]);
  fixture.register(createServer({}));
  const large = Array.from({ length: 40 }, () => fixture.open());
  await fixture.advance(0);
  const endless = [...fixture.attempts];
  for (const attempt of endless) attempt.start();
  for (let at = 0; at < 16; at++)
    for (const attempt of endless)
      if (!attempt.cancelled) attempt.bytes("x".repeat(64 * 1_024));
  const small = fixture.open();
  await fixture.advance(0);
  fixture.lastAttempt().answer("ok");
  assert.equal(small.answer.text, "ok");
  const failed = endless.filter(({ cancelled }) => cancelled);
  assert.ok(failed.length >= 8, `${failed.length} of ${large.length} failed`);
  assert.ok(failed.length < large.length, "all failed");
  for (const attempt of endless) if (!attempt.cancelled) attempt.end();
  assert.equal(fixture.gateway.context.answerBudget.used, 0);
});
