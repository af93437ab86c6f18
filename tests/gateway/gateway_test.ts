import assert from "node:assert/strict";
import { test } from "node:test";
import { millis } from "../../src/core/clock.ts";
import { GatewayFixture } from "./gateway_fixture.ts";
import { createBookingFixture, createEngineFixture } from "./gateway_setups.ts";
import { createDemand, createRoute } from "./gateway_values.ts";

test("a node without a configuration refuses as not run", () => {
  const { answer } = new GatewayFixture().open();
  assert.equal(answer.refusal?.code, "notReady");
  assert.equal(answer.refusal?.outcome, "not-run");
});

test("a request without a route is refused as unknown", async () => {
  const fixture = await createBookingFixture();
  const { answer } = fixture.open({ path: "/c/" });
  assert.equal(answer.refusal?.code, "unknownRoute");
});

test("an older configuration never replaces a newer one", async () => {
  const fixture = new GatewayFixture();
  fixture.configure([createRoute({ prefix: "/new/" })], 9);
  fixture.configure([createRoute({ prefix: "/b/" })], 7);
  const { answer } = fixture.open();
  assert.equal(answer.refusal?.code, "unknownRoute");
});

test("an answer is forwarded whole", async () => {
  const fixture = await createBookingFixture();
  const { answer } = fixture.open();
  await fixture.advance(1);
  fixture.lastAttempt().answer("booked");
  assert.equal(answer.outcome, "whole");
  assert.equal(answer.text, "booked");
});

test("a call that may run once is sent once when its answer is lost", async () => {
  const fixture = await createBookingFixture();
  const { answer } = fixture.open();
  await fixture.advance(1);
  fixture.lastAttempt().fail("broken");
  await fixture.advance(100);
  assert.equal(fixture.attempts.length, 1);
  assert.equal(answer.refusal?.outcome, "may-have-run");
});

test("a call that no server ran goes to another server", async () => {
  const fixture = await createBookingFixture();
  const { answer } = fixture.open();
  await fixture.advance(1);
  const [first] = fixture.attempts;
  fixture.lastAttempt().fail("not-run");
  await fixture.advance(1);
  assert.notEqual(fixture.lastAttempt().server, first?.server);
  fixture.lastAttempt().answer("booked");
  assert.equal(answer.outcome, "whole");
});

test("a call that every server rejects is refused as not run", async () => {
  const fixture = await createBookingFixture();
  const { answer } = fixture.open();
  for (let step = 0; step < 60 && answer.outcome === "open"; step++) {
    await fixture.advance(20);
    const attempt = fixture.attempts.at(-1);
    if (attempt && !attempt.cancelled) attempt.fail("not-run");
  }
  assert.equal(answer.refusal?.outcome, "not-run");
  assert.ok(answer.refusal?.retryAfter !== undefined);
});

test("a lookup whose answer is lost is sent to another server", async () => {
  const fixture = await createBookingFixture({ retryRule: "repeatable" });
  const { answer } = fixture.open();
  await fixture.advance(1);
  fixture.lastAttempt().fail("broken");
  await fixture.advance(1);
  assert.equal(fixture.attempts.length, 2);
  fixture.lastAttempt().answer("stock");
  assert.equal(answer.text, "stock");
});

test("a server error is forwarded if the call may not run again", async () => {
  const fixture = await createBookingFixture();
  const { answer } = fixture.open();
  await fixture.advance(1);
  fixture.lastAttempt().answer("no", 500);
  await fixture.advance(1);
  assert.equal(answer.status, 500);
  assert.equal(fixture.attempts.length, 1);
});

test("a request is answered with a refusal when its route's time is over, and the server stops", async () => {
  const fixture = await createBookingFixture({ timeout: millis(700) });
  const { answer } = fixture.open();
  await fixture.advance(1_000);
  assert.equal(answer.refusal?.code, "serviceTimeout");
  assert.equal(answer.at, 10 + 700);
  assert.equal(fixture.lastAttempt().cancelled, true);
});

test("a retry gives the server only the time that is left", async () => {
  const fixture = await createBookingFixture({ retryRule: "repeatable" });
  fixture.open({ deadline: millis(2_000) });
  await fixture.advance(500);
  fixture.lastAttempt().fail("broken");
  await fixture.advance(1);
  assert.ok(fixture.lastAttempt().order.timeLeft <= 1_500);
});

test("a caller that disconnects ends the work at the server", async () => {
  const fixture = await createBookingFixture();
  const { control } = fixture.open();
  await fixture.advance(1);
  control.cancel();
  assert.equal(fixture.lastAttempt().cancelled, true);
  assert.equal(fixture.gateway.openRequests, 0);
});

test("a request that no server can take in time is refused well before its limit", async () => {
  const fixture = await createEngineFixture({}, ["a1", "a2", "a3", "a4"]);
  fixture.orderAnswer = { kind: "conflict", detail: "409" };
  const { answer } = fixture.open({
    demand: createDemand("a9"),
    deadline: millis(10_000),
  });
  const openedAt = fixture.clock.now();
  await fixture.advance(4_000);
  assert.equal(answer.refusal?.code, "adapterNotInTime");
  assert.ok((answer.at as number) - openedAt <= 1_600);
});

test("a drain ends once the last request has ended", async () => {
  const fixture = await createBookingFixture();
  fixture.open();
  await fixture.advance(1);
  let isDone = false;
  fixture.gateway.startDraining(millis(fixture.clock.now() + 8_000));
  void fixture.gateway.whenIdle().then(() => {
    isDone = true;
  });
  assert.equal(fixture.gateway.isReady, false);
  await fixture.advance(100);
  assert.equal(isDone, false);
  fixture.lastAttempt().answer("booked");
  await fixture.advance(1);
  assert.equal(isDone, true);
});

// Guards against a node that is idle at SIGTERM exiting while requests that arrived
// afterwards are still in progress.
test("a drain waits for a request that arrives during it", async () => {
  const fixture = await createBookingFixture();
  fixture.gateway.startDraining(millis(fixture.clock.now() + 8_000));
  const { answer } = fixture.open();
  await fixture.advance(1);
  let isDone = false;
  void fixture.gateway.whenIdle().then(() => {
    isDone = true;
  });
  await fixture.advance(100);
  assert.equal(isDone, false);
  fixture.lastAttempt().answer("booked");
  await fixture.advance(1);
  assert.equal(answer.outcome, "whole");
  assert.equal(isDone, true);
});

test("a stopping node refuses requests that no server has received, as not run", async () => {
  const fixture = new GatewayFixture();
  fixture.configure([createRoute({})]);
  fixture.register();
  const { answer } = fixture.open();
  await fixture.advance(50);
  fixture.gateway.refuseWaiting();
  assert.equal(answer.refusal?.code, "draining");
  assert.equal(answer.refusal?.outcome, "not-run");
});

test("a stopped node releases its leases", async () => {
  const fixture = await createEngineFixture();
  await fixture.gateway.stop();
  const rows = (await fixture.table.scan("engine/")).orDefault([]);
  assert.equal(rows.length, 2);
  for (const { value } of rows) {
    assert.equal((value as { released: boolean }).released, true);
  }
});
