import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type CrashView,
  crash,
  crashTwice,
  createFixture,
  deadly,
  open,
} from "./crashing_prompts.ts";
import { createEngine } from "./gateway_values.ts";

// Guards against crashes of engines that look like something else to a node.

const endConnection: CrashView = (attempt) => attempt.end("connection");

// The end of an answer without a length looks like that of a whole one, and a part that
// has been answered counts as sound: engine after engine crashed under it.
test("a part is convicted also if its engines crash at the end of answers without a length", async () => {
  const fixture = await createFixture();
  await crashTwice(fixture, endConnection);
  const { answer, attempt } = await open(fixture, deadly);
  assert.equal(attempt, undefined);
  assert.equal(answer.refusal?.code, "partWithheld");
});

// Its caller would take the part for the whole.
test("an answer without a length whose engine crashes at its end is broken off", async () => {
  const fixture = await createFixture();
  const { answer, attempt } = await open(fixture, deadly);
  await crash(fixture, attempt, endConnection);
  assert.equal(answer.outcome, "aborted");
});

test("an answer without a length whose engine still works is whole and clears its parts", async () => {
  const fixture = await createFixture();
  await crash(fixture, (await open(fixture, deadly)).attempt);
  const { answer, attempt } = await open(fixture, deadly);
  attempt?.start();
  attempt?.bytes("id: 1\n\n");
  attempt?.end("connection");
  await fixture.advance(100);
  assert.equal(answer.outcome, "whole");
  const next = [await open(fixture, deadly), await open(fixture, deadly)];
  assert.ok(next.every((request) => request.attempt));
});

// An engine that goes down without a word leaves the connection open: the silence after its
// first events counted as a run without a crash.
test("a part is convicted also if its engines become silent at once and are found down later", async () => {
  const fixture = await createFixture();
  const silence = 2_000;
  for (let crashes = 0; crashes < 2; crashes++) {
    const { attempt } = await open(fixture, deadly);
    assert.ok(attempt, "the request was not sent");
    fixture.downEngines.add(attempt.server);
    attempt.start();
    attempt.bytes("id: 1\n\n");
    await fixture.advance(silence);
    attempt.fail("broken");
    await fixture.advance(5);
    fixture.downEngines.delete(attempt.server);
    const born = fixture.clock.now();
    fixture.register({ ...createEngine(attempt.server, ["a1"]), born });
  }
  assert.equal((await open(fixture, deadly)).attempt, undefined);
});

// Answers also break off at engines that go on working.
test("an answer that breaks off at an engine that still works convicts no part", async () => {
  const fixture = await createFixture();
  for (let broken = 0; broken < 4; broken++) {
    const { attempt } = await open(fixture, deadly);
    attempt?.start();
    attempt?.fail("broken");
    await fixture.advance(500);
  }
  assert.ok((await open(fixture, deadly)).attempt);
});
