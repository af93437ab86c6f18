import assert from "node:assert/strict";
import { test } from "node:test";
import { millis } from "../../src/core/clock.ts";
import type { ServerId } from "../../src/core/ids.ts";
import { GatewayFixture } from "./gateway_fixture.ts";
import { createBookingFixture, streamRoute } from "./gateway_setups.ts";
import { createRoute } from "./gateway_values.ts";
import {
  createStreamFixture,
  createVersionedEngine,
  openStream,
  type Resumption,
} from "./stream_callers.ts";

/** Time for which a node must know a single version to rely on it, and more, in ms. */
const longTime = 61_000;

/** Node with engines `e1`, `e2`, ... of these software versions. */
function createFixture(
  versions: (string | undefined)[],
  options: ConstructorParameters<typeof GatewayFixture>[0] = {},
) {
  const engines = versions.map((version, at) =>
    createVersionedEngine(`e${at + 1}`, version),
  );
  return createStreamFixture(engines, options);
}

/** Opens a stream, which the request may take up. */
function open(fixture: GatewayFixture, resumption: Resumption = {}) {
  return openStream(fixture, { ...resumption, wait: 1_000 });
}

/** Version of the server of an attempt. */
function versionOf(versions: (string | undefined)[], server: ServerId) {
  return versions[Number(server.slice(1)) - 1];
}

for (const versions of [
  ["v1", "v1.1"],
  ["v1", undefined],
  [undefined, undefined],
]) {
  // A stream that began at v1.1 went on at a server of v1, and the caller got one text joined from both.
  test(`a broken stream does not go on at a server of another software version: ${versions.join(" and ")}`, async () => {
    const fixture = await createFixture(versions);
    const { answer } = await open(fixture);
    const attempt = fixture.lastAttempt();
    attempt.start();
    attempt.bytes("id: 1\n\n");
    fixture.notify(attempt.order.server, { kind: "leaving" });
    attempt.fail("broken");
    await fixture.advance(100);
    assert.equal(fixture.attempts.length, 1);
    assert.equal(answer.outcome, "aborted");
  });
}

test("a broken stream goes on at another server of its software version", async () => {
  const versions = ["v1", "v1.1", "v1", "v1.1"];
  const fixture = await createFixture(versions);
  const { answer } = await open(fixture);
  const first = fixture.lastAttempt();
  first.start();
  first.bytes("id: 1\n\n");
  first.fail("broken");
  await fixture.advance(500);
  const next = fixture.lastAttempt();
  assert.notEqual(next, first);
  assert.equal(
    versionOf(versions, next.server),
    versionOf(versions, first.server),
  );
  next.start();
  next.bytes("id: 2\n\n");
  next.end();
  assert.equal(answer.outcome, "whole");
});

// The server had been chosen before it started again with other software.
test("a stream does not go on at a server that has started again with another software version", async () => {
  const fixture = await createFixture(["v1", "v1"]);
  await open(fixture);
  const first = fixture.lastAttempt();
  first.start();
  first.bytes("id: 1\n\n");
  first.fail("broken");
  await fixture.advance(100);
  const { order } = fixture.lastAttempt();
  assert.notEqual(order, first.order);
  assert.ok(order.isAccepted());
  const { id } = order.server;
  fixture.register({ ...createVersionedEngine(id, "v1.1"), born: 2 });
  assert.ok(!order.isAccepted());
});

// A new attempt of the caller was sent on to whichever server was free.
test("a caller that takes its stream up again gets a server of the version that began it", async () => {
  const versions = ["v1", "v1.1", "v1", "v1.1"];
  for (const order of [versions, [...versions].reverse()]) {
    const fixture = await createFixture(order);
    const { answer } = await open(fixture);
    const first = fixture.lastAttempt();
    first.start();
    first.bytes("id: 1\n\n");
    first.fail("broken");
    await fixture.advance(500);
    fixture.lastAttempt().fail("broken");
    await fixture.advance(100);
    assert.equal(answer.outcome, "aborted");
    const resumes = first.order.request.requestId;
    fixture.notify(first.order.server, { kind: "leaving" });
    await open(fixture, { resumeAfter: "1", resumes });
    const next = fixture.lastAttempt();
    assert.equal(next.order.resumeAfter, "1");
    assert.equal(versionOf(order, next.server), versionOf(order, first.server));
  }
});

// The take-up had run at the last server of its version: it is not true that it has not run.
test("a take-up that broke and has no other server of its version is not refused as not run", async () => {
  const fixture = await createFixture(["v1", "v1.1"]);
  const { control } = await open(fixture);
  const first = fixture.lastAttempt();
  first.start();
  first.bytes("id: 1\n\n");
  control.cancel();
  const resumes = first.order.request.requestId;
  const { answer } = await open(fixture, { resumeAfter: "1", resumes });
  const next = fixture.lastAttempt();
  assert.notEqual(next, first);
  fixture.notify(next.order.server, { kind: "leaving" });
  next.fail("broken");
  await fixture.advance(100);
  assert.equal(answer.outcome, "refused");
  assert.equal(answer.refusal?.outcome, "may-have-run");
});

// Only the rest of a stream depends on the version that began it.
test("a plain request with the id of an event goes to any server", async () => {
  const fixture = await createBookingFixture();
  fixture.open({ resumeAfter: "1" });
  await fixture.advance(1);
  assert.equal(fixture.attempts.length, 1);
});

for (const [name, resumption] of Object.entries({
  "an unknown attempt": { resumeAfter: "1", resumes: "unknown" },
  "no attempt": { resumeAfter: "1" },
})) {
  test(`a stream that ${name} began is not taken up while two versions serve`, async () => {
    const fixture = await createFixture(["v1", "v1.1"]);
    await fixture.advance(longTime);
    const { answer } = await open(fixture, resumption);
    assert.equal(fixture.attempts.length, 0);
    assert.equal(answer.outcome, "refused");
    assert.equal(answer.refusal?.outcome, "not-run");
    assert.ok((answer.refusal?.retryAfter ?? 0) > 0);
  });
}

// The servers of the old version had just left, so that only one version was in sight.
test("a stream of an unknown origin is not taken up right after the other version has left", async () => {
  const fixture = await createFixture(["v1", "v1.1"]);
  await fixture.advance(longTime);
  const id = createVersionedEngine("e1", "v1").id;
  const origin = { rowVersion: 9, source: undefined, maxAge: 0 };
  const outageEndedAt = millis(Number.NEGATIVE_INFINITY);
  const change = { type: "absent", id, outageEndedAt } as const;
  fixture.publish({ type: "server", change, origin });
  await fixture.advance(500);
  const resumption = { resumeAfter: "1", resumes: "unknown" };
  const early = await open(fixture, resumption);
  assert.equal(early.answer.outcome, "refused");
  await fixture.advance(longTime);
  await open(fixture, resumption);
  assert.equal(fixture.lastAttempt().server, "e2");
});

// The rows of processes that ended in a release stayed for good.
test("a node that starts removes the rows of processes that ended long ago, and no others", async () => {
  const before = await createFixture(["v1", "v1.1"]);
  await before.advance(2_000);
  const { clock, table } = before;
  const listKeys = async () => {
    const rows = (await table.scan("streams/")).orDefault([]);
    return rows.map(({ key }) => key);
  };
  assert.deepEqual(await listKeys(), ["streams/n1/p1"]);
  await before.gateway.stop();
  await clock.advance(millis(longTime));
  await createFixture(["v1.1"], { clock, table, machine: "n2" });
  assert.deepEqual(await listKeys(), ["streams/n1/p1"]);
  await clock.advance(millis(longTime));
  await createFixture(["v1.1"], { clock, table, machine: "n3" });
  assert.deepEqual(await listKeys(), []);
});

// A rejected call of the table ended the process.
test("a table that fails unexpectedly costs a take-up of unknown origin, not the process", async () => {
  const fixture = await createFixture(["v1", "v1.1"]);
  fixture.table.scan = () => Promise.reject(new Error("failed"));
  fixture.table.transact = () => Promise.reject(new Error("failed"));
  const resumption = { resumeAfter: "1", resumes: "unknown" };
  const { answer } = await open(fixture, resumption);
  await fixture.advance(1_000);
  assert.equal(answer.refusal?.code, "streamNotContinued");
});

test("a stream of an unknown origin is taken up where all servers have had one version for long", async () => {
  const fixture = await createFixture(["v1", "v1"]);
  await fixture.advance(longTime);
  await open(fixture, { resumeAfter: "1", resumes: "unknown" });
  assert.equal(fixture.attempts.length, 1);
});

// The node that began the stream had not written it yet.
test("a caller that takes its stream up at once at another node gets a server of the version that began it", async () => {
  const versions = ["v1", "v1.1", "v1", "v1.1"];
  const first = await createFixture(versions);
  const { clock, table } = first;
  const second = await createFixture(versions, { clock, table, machine: "n2" });
  for (let turn = 0; turn < 5; turn++) {
    const { control } = await open(first);
    const attempt = first.lastAttempt();
    attempt.start();
    attempt.bytes("id: 1\n\n");
    control.cancel();
    const resumes = attempt.order.request.requestId;
    const taken = second.attempts.length;
    await open(second, { resumeAfter: "1", resumes });
    assert.equal(second.attempts.length, taken + 1);
    assert.equal(
      versionOf(versions, second.lastAttempt().server),
      versionOf(versions, attempt.server),
    );
    second.lastAttempt().answer("id: 2\n\n");
    await clock.advance(millis(130));
  }
});

// All nodes had been restarted, and none knew which version had begun a stream.
test("after a restart of all nodes a stream goes on at the version that began it, and is refused if that is not known", async () => {
  const versions = ["v1", "v1.1", "v1", "v1.1"];
  const before = await createFixture(versions);
  await open(before);
  const first = before.lastAttempt();
  first.start();
  first.bytes("id: 1\n\n");
  await before.advance(2_000);
  const after = new GatewayFixture({ table: before.table });
  after.configure([createRoute({ ...streamRoute, resumable: true })]);
  after.register(
    ...versions.map((version, at) =>
      createVersionedEngine(`e${at + 1}`, version),
    ),
  );
  await after.advance(3_000);
  const resumes = first.order.request.requestId;
  await open(after, { resumeAfter: "1", resumes });
  const next = after.lastAttempt();
  assert.equal(
    versionOf(versions, next.server),
    versionOf(versions, first.server),
  );
  const { answer } = await open(after, { resumeAfter: "1", resumes: "other" });
  assert.equal(answer.outcome, "refused");
});
