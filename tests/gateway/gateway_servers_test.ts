import assert from "node:assert/strict";
import { test } from "node:test";
import { millis } from "../../src/core/clock.ts";
import { brandString } from "../../src/core/ids.ts";
import { createBookingFixture, createEngineFixture } from "./gateway_setups.ts";
import {
  createDemand,
  createEngine,
  createServer,
  entryOrigin,
} from "./gateway_values.ts";

test("a leaving server gets no request", async () => {
  const fixture = await createBookingFixture();
  fixture.register(createServer({ leaving: true }));
  for (let i = 0; i < 5; i++) fixture.open();
  await fixture.advance(1);
  for (const attempt of fixture.attempts) assert.equal(attempt.server, "s2");
});

test("a server whose entry expires in an outage stays usable for a grace period", async () => {
  const fixture = await createBookingFixture();
  const outageEndedAt = fixture.clock.now();
  for (const id of ["s1", "s2"]) {
    fixture.publish({
      type: "server",
      change: { type: "absent", id: brandString(id), outageEndedAt },
      origin: entryOrigin,
    });
  }
  fixture.open();
  await fixture.advance(1);
  assert.equal(fixture.attempts.length, 1);
  await fixture.advance(3_100);
  const { answer } = fixture.open();
  await fixture.advance(1_000);
  assert.equal(fixture.attempts.length, 1);
  assert.equal(answer.refusal?.outcome, "not-run");
});

// The entry of a server that leaves without notice looks like an expired one.
test("a server whose entry disappears without an outage gets no request", async () => {
  const fixture = await createBookingFixture();
  const outageEndedAt = millis(fixture.clock.now() - 3_000);
  fixture.publish({
    type: "server",
    change: { type: "absent", id: brandString("s1"), outageEndedAt },
    origin: entryOrigin,
  });
  for (let i = 0; i < 5; i++) fixture.open();
  await fixture.advance(1);
  for (const attempt of fixture.attempts) assert.equal(attempt.server, "s2");
});

// A request that waited for an adapter was sent to an engine that had left meanwhile.
test("a request whose server leaves while it waits for an adapter goes to another", async () => {
  const fixture = await createEngineFixture({}, []);
  fixture.open({ demand: createDemand("a1") });
  await fixture.advance(100);
  assert.equal(fixture.attempts.length, 0);
  const [order] = fixture.orders;
  assert.equal(order?.operation, "load");
  const chosen = fixture.engineOfOrder(0);
  fixture.register({ ...createEngine(chosen, []), leaving: true });
  await fixture.advance(1_500);
  const servers = fixture.attempts.map(({ server }) => server);
  assert.equal(servers.includes(chosen), false);
  assert.equal(servers.length, 1);
});
