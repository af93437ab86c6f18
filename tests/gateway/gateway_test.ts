import assert from "node:assert/strict";
import { test } from "node:test";
import { millis } from "../../src/core/clock.ts";
import {
  brandString,
  formatModelAdapterKey,
  type ServerId,
} from "../../src/core/ids.ts";
import {
  createDemand,
  createEngine,
  createRoute,
  createServer,
  engines,
  entryNews,
  GatewayFixture,
} from "./gateway_fixture.ts";
import { model } from "./simulated_engine.ts";

const second = createServer({
  id: brandString<ServerId>("s2"),
  address: "10.0.0.2:80",
});

async function createBookingFixture(
  route: Parameters<typeof createRoute>[0] = {},
) {
  const fixture = new GatewayFixture();
  fixture.configure([createRoute(route)]);
  fixture.register(createServer({}), second);
  await fixture.advance(10);
  return fixture;
}

const streamRoute = {
  retryRule: "stream" as const,
  targets: [{ service: engines, weight: 1 }],
  targetLatency: millis(1_000),
  timeout: millis(10_000),
};

async function createEngineFixture(
  route: Parameters<typeof createRoute>[0] = {},
  held: string[] = ["a1"],
) {
  const fixture = new GatewayFixture();
  fixture.configure([createRoute({ ...streamRoute, ...route })]);
  fixture.register(createEngine("e1", held), createEngine("e2", held));
  await fixture.advance(3_000);
  return fixture;
}

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
      news: entryNews,
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
    news: entryNews,
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
  fixture.gateway.startDraining();
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
  fixture.gateway.startDraining();
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
