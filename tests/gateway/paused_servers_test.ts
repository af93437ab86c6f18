import assert from "node:assert/strict";
import { test } from "node:test";
import { millis } from "../../src/core/clock.ts";
import type { BackendServer } from "../../src/core/gateway/servers.ts";
import { brandString, type ServerId } from "../../src/core/ids.ts";
import type { GatewayFixture } from "./gateway_fixture.ts";
import { createBookingFixture, createEngineFixture } from "./gateway_setups.ts";
import { createDemand, createServer } from "./gateway_values.ts";

const first = createServer({});
const second = createServer({
  id: brandString<ServerId>("s2"),
  address: "10.0.0.2:80",
});

/** The server answers 503 with this Retry-After. */
function pause(
  fixture: GatewayFixture,
  seconds: string,
  ...servers: BackendServer[]
): void {
  for (const server of servers)
    fixture.notify(server, { kind: "pause", retryAfter: seconds });
}

test("work goes to the servers that are not paused", async () => {
  const fixture = await createBookingFixture();
  pause(fixture, "1", first);
  for (let i = 0; i < 5; i++) fixture.open();
  await fixture.advance(10);
  const servers = fixture.attempts.map(({ server }) => server);
  assert.deepEqual(new Set(servers), new Set(["s2"]));
});

// Callers waited for their whole time although no server could take the request.
test("a caller is refused at once as not run if all servers are paused for longer than it can wait", async () => {
  const fixture = await createBookingFixture();
  pause(fixture, "5", first);
  pause(fixture, "4", second);
  const answers = Array.from({ length: 20 }, () => fixture.open().answer);
  await fixture.advance(1);
  const delays = answers.map(({ refusal }) => {
    assert.equal(refusal?.code, "serversPaused");
    assert.equal(refusal?.outcome, "not-run");
    return refusal?.retryAfter ?? 0;
  });
  assert.equal(fixture.attempts.length, 0);
  // The stated time holds, and the callers do not come back together.
  for (const delay of delays) assert.ok(delay >= 3_990 && delay <= 5_000);
  assert.ok(Math.max(...delays) - Math.min(...delays) > 500);
});

test("a request waits for the end of a pause that is short enough", async () => {
  const fixture = await createBookingFixture();
  pause(fixture, "0.3", first, second);
  fixture.open();
  await fixture.advance(290);
  assert.equal(fixture.attempts.length, 0);
  await fixture.advance(120);
  assert.equal(fixture.attempts.length, 1);
});

test("a server that starts again under its id is not paused", async () => {
  const fixture = await createBookingFixture();
  pause(fixture, "5", first, second);
  fixture.register({ ...first, born: 2 });
  fixture.open();
  await fixture.advance(1);
  assert.equal(fixture.lastAttempt().server, "s1");
});

// The refusals that ask for a pause suspended the server, so that it stayed out after the pause.
test("refusals that ask for a pause do not suspend the server after its end", async () => {
  const fixture = await createBookingFixture();
  fixture.publish({
    type: "server",
    change: { type: "absent", id: second.id, outageEndedAt: millis(-9_000) },
    origin: { rowVersion: 2, source: undefined, maxAge: 0 },
  });
  for (let i = 0; i < 10; i++) fixture.open();
  await fixture.advance(1);
  pause(fixture, "1", first);
  for (const attempt of fixture.attempts.splice(0)) attempt.fail("not-run");
  await fixture.advance(1_000);
  const { health } = fixture.gateway.context;
  const record = health.records.get(first.id);
  assert.equal(record?.failureRate, 0);
  assert.equal(record?.suspensions, 0);
  fixture.open();
  await fixture.advance(1);
  assert.equal(fixture.attempts.length, 1);
});

// Each refusal took a retry from the budget that could not be sent to any server.
test("a refused request takes no retry from the budget while all servers are paused", async () => {
  const fixture = await createBookingFixture();
  for (let i = 0; i < 60; i++) fixture.open();
  await fixture.advance(1);
  pause(fixture, "3", first, second);
  const refused = fixture.attempts.splice(0);
  for (const attempt of refused) attempt.fail("not-run");
  await fixture.advance(3_001);
  assert.equal(fixture.attempts.length, 0);
  // Were the retries charged, 150 of the 210 that the requests saved would be left.
  const { context } = fixture.gateway;
  const service = first.service;
  for (let i = 0; i < 200; i++) assert.ok(context.takeRetry(service));
});

// The request had chosen its server before the pause and waited for a connection.
test("a request that waits for a connection is not accepted once its server is paused", async () => {
  const fixture = await createBookingFixture();
  fixture.open();
  await fixture.advance(1);
  const { order } = fixture.lastAttempt();
  assert.ok(order.isAccepted());
  pause(fixture, "1", order.server);
  assert.ok(!order.isAccepted());
});

// An engine that asked for a pause was still sent orders and questions.
test("a paused engine gets no order and no status request until its pause ends", async () => {
  const fixture = await createEngineFixture({}, []);
  const { servers } = fixture.gateway.context.directory;
  pause(fixture, "1", ...servers.values());
  const before = fixture.statusRequests;
  fixture.open({ demand: createDemand("a1") });
  await fixture.advance(900);
  assert.equal(fixture.orders.length, 0);
  assert.equal(fixture.statusRequests, before);
  fixture.open({ demand: createDemand("a1") });
  await fixture.advance(1_000);
  assert.ok(fixture.orders.length > 0);
});
