import assert from "node:assert/strict";
import { test } from "node:test";
import {
  ControllerFixture,
  createModels,
  describe,
  fleet,
} from "./engine_controller_fixture.ts";

test("a held adapter is promised at once", () => {
  const fixture = new ControllerFixture(createModels("a1"));
  const ticket = fixture.acquire("a1");
  assert.deepEqual(fixture.replies(ticket), [{ kind: "ready", inMs: 0 }]);
});

test("requests for one adapter share one load", () => {
  const fixture = new ControllerFixture(createModels());
  const tickets = [fixture.acquire("a1"), fixture.acquire("a1")];
  const order = fixture.takeNextOrder();
  assert.equal(describe(order), "load a1");
  fixture.answer(order, { kind: "accepted" });
  assert.equal(fixture.takeNextOrder(), undefined);
  for (const ticket of tickets) {
    assert.equal(fixture.replies(ticket)[0]?.kind, "ready");
  }
});

test("each order carries the number of orders accepted before it", () => {
  const fixture = new ControllerFixture(createModels(), 7);
  fixture.acquire("a1");
  const first = fixture.takeNextOrder();
  assert.equal(first?.expectedCount, 7);
  fixture.answer(first, { kind: "accepted" });
  fixture.acquire("a2");
  assert.equal(fixture.takeNextOrder()?.expectedCount, 8);
});

// Guards against counting a slot only while a request waits for the adapter.
test("an accepted load takes a place in the adapter slots even if no request waits for it any more", () => {
  const fixture = new ControllerFixture(createModels("a1", "a2", "a3"));
  fixture.acquire("a4");
  const order = fixture.takeNextOrder();
  fixture.wait(700);
  fixture.answer(order, { kind: "accepted" });
  assert.equal(fixture.size, 4);
});

test("a load that the engine did not accept frees its place in the adapter slots", () => {
  const fixture = new ControllerFixture(createModels("a1"));
  fixture.acquire("a2");
  fixture.answer(fixture.takeNextOrder(), { kind: "conflict", detail: "409" });
  assert.equal(fixture.size, 1);
});

// Guards against a report that frees the slot of an adapter that was just loaded.
test("one report that does not show an adapter frees no place in the adapter slots", () => {
  const fixture = new ControllerFixture(createModels("a1"), 0);
  fixture.acquire("a2");
  fixture.answer(fixture.takeNextOrder(), { kind: "accepted" });
  fixture.wait(300);
  fixture.acquire("a3");
  fixture.answer(fixture.takeNextOrder(), { kind: "conflict", detail: "409" });
  fixture.wait(150);
  fixture.report(createModels("a1"), 1);
  assert.equal(
    fixture.state.contents.adapterSlots.has("base/a2" as never),
    true,
  );
});

test("a report from before the last accepted order is not applied", () => {
  const fixture = new ControllerFixture(createModels("a1"), 4);
  fixture.acquire("a2");
  fixture.answer(fixture.takeNextOrder(), { kind: "accepted" });
  fixture.acquire("a3");
  fixture.answer(fixture.takeNextOrder(), { kind: "conflict", detail: "409" });
  fixture.wait(150);
  fixture.report(createModels("a1"), 4);
  assert.equal(fixture.state.orderCount, undefined);
  assert.equal(fixture.size, 2);
});

// Guards against a registration, read after an outage, that predates the last loads.
test("a registration does not free a place in the adapter slots", () => {
  const fixture = new ControllerFixture(createModels("a1"));
  fixture.acquire("a2");
  fixture.answer(fixture.takeNextOrder(), { kind: "accepted" });
  fixture.wait(6_000);
  fixture.send({ type: "registered", models: createModels("a1") });
  assert.equal(fixture.size, 2);
  assert.ok(fixture.commands.some(({ type }) => type === "request-status"));
});

test("a newer version replaces the adapter in place", () => {
  const fixture = new ControllerFixture(createModels("a1"));
  fixture.acquire("a1", { version: 2 });
  const order = fixture.takeNextOrder();
  assert.equal(describe(order), "load a1");
  assert.equal(order?.version, 2);
  fixture.answer(order, { kind: "accepted" });
  assert.equal(fixture.size, 1);
});

test("an engine without its base model loads the model first", () => {
  const fixture = new ControllerFixture([]);
  const order = fixture.takeNextOrder();
  assert.equal(describe(order), "load base");
  fixture.answer(order, { kind: "accepted" });
  fixture.acquire("a1");
  assert.equal(fixture.takeNextOrder(), undefined);
  fixture.wait(2_100);
  fixture.acquire("a1");
  // The load may be slow; the engine would refuse the order until it is complete.
  assert.equal(fixture.takeNextOrder(), undefined);
  fixture.report(createModels(), 1);
  assert.equal(describe(fixture.takeNextOrder()), "load a1");
});

test("a load that takes longer than expected raises the expected load time", () => {
  const fixture = new ControllerFixture(createModels());
  fixture.acquire("a1");
  fixture.answer(fixture.takeNextOrder(), { kind: "accepted" });
  fixture.wait(600);
  const ticket = fixture.acquire("a1", { denied: true });
  const [reply] = fixture.replies(ticket);
  assert.ok(reply?.kind === "ready" && reply.inMs > 0);
  assert.ok(fixture.state.coldLoadTime > 600);
});

// Guards against requests that come before the load of their adapter has ended: each costs a retry.
test("the load time of an engine is learnt from few denials", () => {
  const trueLoadTime = 300;
  const loads = 120;
  const fixture = new ControllerFixture(createModels());
  let denials = 0;
  for (let at = 0; at < loads; at++) {
    const name = `b${at}`;
    const ticket = fixture.acquire(name);
    let order = fixture.takeNextOrder();
    if (order?.operation === "unload") {
      fixture.answer(order, { kind: "done" });
      order = fixture.takeNextOrder();
    }
    assert.equal(describe(order), `load ${name}`);
    fixture.answer(order, { kind: "accepted" });
    const [reply] = fixture.replies(ticket);
    assert.ok(reply?.kind === "ready");
    fixture.wait(reply.inMs);
    if (reply.inMs < trueLoadTime) {
      denials++;
      fixture.acquire(name, { denied: true });
    }
    fixture.wait(trueLoadTime);
    fixture.use(name);
    fixture.wait(600);
    fixture.use();
    fixture.wait(200);
  }
  assert.ok(denials > 0);
  assert.ok(denials <= loads / 20, `${denials} denials`);
});

test("no order is sent without the lease", () => {
  const fixture = new ControllerFixture(createModels());
  fixture.send({ type: "tick", mayOrder: false, fleet });
  fixture.acquire("a1");
  assert.equal(fixture.takeNextOrder(), undefined);
});

// Guards against a promise with an infinite wait while the load is being ordered.
test("a request that arrives while the load is being ordered waits for the answer", () => {
  const fixture = new ControllerFixture(createModels());
  fixture.acquire("a1");
  const order = fixture.takeNextOrder();
  const ticket = fixture.acquire("a1");
  assert.deepEqual(fixture.replies(ticket), []);
  fixture.answer(order, { kind: "accepted" });
  const [reply] = fixture.replies(ticket);
  assert.ok(reply?.kind === "ready" && Number.isFinite(reply.inMs));
});
