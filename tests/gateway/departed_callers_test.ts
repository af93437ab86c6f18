import assert from "node:assert/strict";
import { test } from "node:test";
import { createBookingFixture } from "./gateway_setups.ts";

// Guards against requests that wait for a connection to their server, and are written to it though
// their caller has left or was promised less time: in the turn of the write no timer or close may
// have been handled yet.

test("a request is not written to its server after its caller has left", async () => {
  const fixture = await createBookingFixture();
  const { control } = fixture.open();
  await fixture.advance(5);
  const { isAccepted } = fixture.lastAttempt().order;
  assert.equal(isAccepted(), true);
  control.cancel();
  assert.equal(isAccepted(), false);
});

test("a request is not written to its server after its time limit", async () => {
  const fixture = await createBookingFixture();
  fixture.open();
  await fixture.advance(5);
  const { isAccepted } = fixture.lastAttempt().order;
  await fixture.advance(3_000);
  assert.equal(isAccepted(), false);
});

test("a request whose connection takes long is not written with the time that was left before", async () => {
  const fixture = await createBookingFixture();
  fixture.open();
  await fixture.advance(5);
  const first = fixture.lastAttempt();
  assert.equal(first.order.isAccepted(), true);
  await fixture.advance(600);
  assert.equal(first.order.isAccepted(), false);
  first.fail("left");
  await fixture.advance(100);
  const next = fixture.lastAttempt();
  assert.notEqual(next, first);
  assert.equal(next.order.isAccepted(), true);
  assert.ok(next.order.timeLeft <= first.order.timeLeft - 600);
});
