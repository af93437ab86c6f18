import assert from "node:assert/strict";
import { test } from "node:test";
import {
  ControllerFixture,
  describe,
  list,
} from "./engine_controller_fixture.ts";

test("an adapter that is held is promised at once", () => {
  const owner = new ControllerFixture(list("a1"));
  const ticket = owner.acquire("a1");
  assert.deepEqual(owner.replies(ticket), [{ kind: "ready", inMs: 0 }]);
});

test("requests for one adapter share one load", () => {
  const owner = new ControllerFixture(list());
  const tickets = [owner.acquire("a1"), owner.acquire("a1")];
  const order = owner.takeNextOrder();
  assert.equal(describe(order), "load a1");
  owner.answer(order, { kind: "accepted" });
  assert.equal(owner.takeNextOrder(), undefined);
  for (const ticket of tickets) {
    assert.equal(owner.replies(ticket)[0]?.kind, "ready");
  }
});

test("orders carry the number of orders accepted before", () => {
  const owner = new ControllerFixture(list(), 7);
  owner.acquire("a1");
  const first = owner.takeNextOrder();
  assert.equal(first?.expectedCount, 7);
  owner.answer(first, { kind: "accepted" });
  owner.acquire("a2");
  assert.equal(owner.takeNextOrder()?.expectedCount, 8);
});

// The owner once counted a place only while a request waited for the adapter.
test("an accepted load takes a place though nobody waits for it any more", () => {
  const owner = new ControllerFixture(list("a1", "a2", "a3"));
  owner.acquire("a4");
  const order = owner.takeNextOrder();
  owner.wait(700);
  owner.answer(order, { kind: "accepted" });
  assert.equal(owner.size, 4);
});

test("a load that the engine did not accept gives its place back", () => {
  const owner = new ControllerFixture(list("a1"));
  owner.acquire("a2");
  owner.answer(owner.takeNextOrder(), { kind: "conflict", detail: "409" });
  assert.equal(owner.size, 1);
});

// A report once freed the place of an adapter that had just arrived.
test("one report that does not show an adapter frees no place", () => {
  const owner = new ControllerFixture(list("a1"), 0);
  owner.acquire("a2");
  owner.answer(owner.takeNextOrder(), { kind: "accepted" });
  owner.wait(300);
  owner.acquire("a3");
  owner.answer(owner.takeNextOrder(), { kind: "conflict", detail: "409" });
  owner.wait(150);
  owner.report(list("a1"), 1);
  assert.equal(owner.state.contents.adapterSlots.has("base/a2" as never), true);
});

test("a report from before the last accepted order is not believed", () => {
  const owner = new ControllerFixture(list("a1"), 4);
  owner.acquire("a2");
  owner.answer(owner.takeNextOrder(), { kind: "accepted" });
  owner.acquire("a3");
  owner.answer(owner.takeNextOrder(), { kind: "conflict", detail: "409" });
  owner.wait(150);
  owner.report(list("a1"), 4);
  assert.equal(owner.state.orderCount, undefined);
  assert.equal(owner.size, 2);
});

// A registration read after an outage was older than the last loads.
test("a registration frees no place", () => {
  const owner = new ControllerFixture(list("a1"));
  owner.acquire("a2");
  owner.answer(owner.takeNextOrder(), { kind: "accepted" });
  owner.wait(6_000);
  owner.send({ type: "registered", models: list("a1") });
  assert.equal(owner.size, 2);
  assert.ok(owner.commands.some(({ type }) => type === "ask-status"));
});

test("a newer version replaces the adapter in its place", () => {
  const owner = new ControllerFixture(list("a1"));
  owner.acquire("a1", { version: 2 });
  const order = owner.takeNextOrder();
  assert.equal(describe(order), "load a1");
  assert.equal(order?.version, 2);
  owner.answer(order, { kind: "accepted" });
  assert.equal(owner.size, 1);
});

test("an engine without its base model gets it first", () => {
  const owner = new ControllerFixture([]);
  const order = owner.takeNextOrder();
  assert.equal(describe(order), "load base");
  owner.answer(order, { kind: "accepted" });
  owner.acquire("a1");
  assert.equal(owner.takeNextOrder(), undefined);
  owner.wait(2_100);
  owner.acquire("a1");
  assert.equal(describe(owner.takeNextOrder()), "load a1");
});

test("a load that takes longer than expected raises the expectation", () => {
  const owner = new ControllerFixture(list());
  owner.acquire("a1");
  owner.answer(owner.takeNextOrder(), { kind: "accepted" });
  owner.wait(600);
  const ticket = owner.acquire("a1", { denied: true });
  const [reply] = owner.replies(ticket);
  assert.ok(reply?.kind === "ready" && reply.inMs > 0);
  assert.ok(owner.state.coldLoadTime > 600);
});

test("nothing is ordered without the right to", () => {
  const owner = new ControllerFixture(list());
  owner.send({ type: "tick", mayOrder: false });
  owner.acquire("a1");
  assert.equal(owner.takeNextOrder(), undefined);
});

// The owner once promised an adapter for the time after an endless load.
test("a request that comes while the load is being ordered waits for the answer", () => {
  const owner = new ControllerFixture(list());
  owner.acquire("a1");
  const order = owner.takeNextOrder();
  const ticket = owner.acquire("a1");
  assert.deepEqual(owner.replies(ticket), []);
  owner.answer(order, { kind: "accepted" });
  const [reply] = owner.replies(ticket);
  assert.ok(reply?.kind === "ready" && Number.isFinite(reply.inMs));
});
