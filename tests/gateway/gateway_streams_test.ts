import assert from "node:assert/strict";
import { test } from "node:test";
import { millis } from "../../src/core/clock.ts";
import { brandString, formatModelAdapterKey } from "../../src/core/ids.ts";
import { createEngineFixture } from "./gateway_setups.ts";
import { createDemand } from "./gateway_values.ts";
import { model } from "./simulated_engine.ts";

// A stream without a length ends with its connection, also where it has been broken off.
test("a stream that ends within an event does not look complete", async () => {
  for (const text of ["id: 1\n\nid: 2\nda", "id: 1\n\nid: 2\n", "id: 1"]) {
    const fixture = await createEngineFixture();
    const { answer } = fixture.open({ demand: createDemand("a1") });
    await fixture.advance(5);
    fixture.lastAttempt().answer(text);
    await fixture.advance(1);
    assert.equal(answer.outcome, "aborted", JSON.stringify(text));
  }
});

// The cursor of a resumable stream holds back bytes whose event it has not seen end.
test("a resumable stream does not look complete without its last bytes", async () => {
  const fixture = await createEngineFixture({
    resumable: true,
    maxAttempts: 1,
  });
  const { answer } = fixture.open({ demand: createDemand("a1") });
  await fixture.advance(5);
  fixture.lastAttempt().answer("id: 1\n\nid: 2\r\r");
  await fixture.advance(1);
  assert.equal(answer.text, "id: 1\n\n");
  assert.equal(answer.outcome, "aborted");
});

test("a stream that ends after an event is complete, however its lines end", async () => {
  for (const end of ["\n\n", "\r\n\r\n", "\r\r"]) {
    const fixture = await createEngineFixture();
    const { answer } = fixture.open({ demand: createDemand("a1") });
    await fixture.advance(5);
    const attempt = fixture.lastAttempt();
    attempt.start();
    for (const byte of `id: 1${end}`) attempt.bytes(byte);
    attempt.end();
    assert.equal(answer.outcome, "whole", JSON.stringify(end));
  }
});

test("a stream goes to an engine that holds its adapter", async () => {
  const fixture = await createEngineFixture();
  const { answer } = fixture.open({ demand: createDemand("a1") });
  await fixture.advance(5);
  fixture.lastAttempt().start();
  fixture.lastAttempt().bytes("id: 1\n\n");
  assert.equal(answer.text, "id: 1\n\n");
  fixture.lastAttempt().end();
  assert.equal(answer.outcome, "whole");
  assert.equal(fixture.orders.length, 0);
});

test("an adapter that no engine holds is loaded before its request is sent", async () => {
  const fixture = await createEngineFixture();
  fixture.open({ demand: createDemand("a7") });
  await fixture.advance(100);
  assert.equal(fixture.attempts.length, 0);
  assert.equal(fixture.orders[0]?.adapter, "a7");
  await fixture.advance(400);
  assert.equal(fixture.attempts.length, 1);
});

test("a newer version is loaded and named in the request", async () => {
  const fixture = await createEngineFixture();
  const place = formatModelAdapterKey(model, brandString("a1"));
  fixture.publish({ type: "adapter-version", value: { place, version: 2 } });
  fixture.open({ demand: createDemand("a1") });
  await fixture.advance(800);
  assert.equal(fixture.orders[0]?.version, 2);
  assert.equal(fixture.lastAttempt().order.adapterVersion, 2);
});

test("a broken stream that may not be resumed is aborted, so that it does not look complete", async () => {
  const fixture = await createEngineFixture({ maxAttempts: 1 });
  const { answer } = fixture.open({ demand: createDemand("a1") });
  await fixture.advance(5);
  fixture.lastAttempt().start();
  fixture.lastAttempt().bytes("id: 1\n\n");
  fixture.lastAttempt().fail("broken");
  await fixture.advance(50);
  assert.equal(answer.outcome, "aborted");
  assert.equal(fixture.attempts.length, 1);
});

test("a resumable stream resumes at another server after its last whole event", async () => {
  const fixture = await createEngineFixture({ resumable: true });
  const { answer } = fixture.open({ demand: createDemand("a1") });
  await fixture.advance(5);
  const [first] = fixture.attempts;
  first?.start();
  first?.bytes("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
  first?.fail("broken");
  await fixture.advance(500);
  const next = fixture.lastAttempt();
  assert.notEqual(next, first);
  assert.equal(next.order.resumeAfter, "2");
  next.start();
  next.bytes("id: 3\ndata: c\n\n");
  next.end();
  assert.equal(answer.outcome, "whole");
  assert.equal(
    answer.text,
    "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n",
  );
});

// Guards against applying the wait limit for the first server to a retry: a stream
// that broke after that limit was not resumed.
test("a stream that breaks late still resumes at another server", async () => {
  const fixture = await createEngineFixture({ resumable: true });
  const { answer } = fixture.open({
    demand: createDemand("a1"),
    deadline: millis(10_000),
  });
  await fixture.advance(5);
  const [first] = fixture.attempts;
  first?.start();
  first?.bytes("id: 1\ndata: a\n\n");
  await fixture.advance(4_000);
  first?.fail("broken");
  await fixture.advance(500);
  assert.equal(fixture.attempts.length, 2);
  fixture.lastAttempt().start();
  fixture.lastAttempt().end();
  assert.equal(answer.outcome, "whole");
});

// Guards against the loss of events that arrive together with the start of one that is
// too large: the stream went on after them, but the caller had not received them.
test("the events before one that is too large are forwarded before the stream resumes", async () => {
  const fixture = await createEngineFixture({ resumable: true });
  const { answer } = fixture.open({ demand: createDemand("a1") });
  await fixture.advance(5);
  const [first] = fixture.attempts;
  first?.start();
  first?.bytes(`id: 1\ndata: a\n\nid: 2\ndata: ${"b".repeat(300_000)}`);
  assert.equal(answer.text, "id: 1\ndata: a\n\n");
  await fixture.advance(500);
  assert.equal(fixture.attempts.length, 2);
  assert.equal(fixture.lastAttempt().order.resumeAfter, "1");
});
