import assert from "node:assert/strict";
import { test } from "node:test";
import {
  ControllerFixture,
  describe,
  fullEngine,
  list,
} from "./engine_controller_fixture.ts";

// The engine answers such an order with success and frees no place.
test("an adapter that may still be on its way is not unloaded", () => {
  const owner = new ControllerFixture(list("a1", "a2", "a3"));
  owner.acquire("a4");
  owner.answer(owner.takeNextOrder(), { kind: "accepted" });
  owner.use("a1", "a2", "a3");
  owner.wait(900);
  owner.use("a1", "a2", "a3");
  owner.wait(100);
  owner.acquire("a5");
  assert.notEqual(describe(owner.takeNextOrder()), "unload a4");
});

test("the adapter used longest ago makes room", () => {
  const owner = new ControllerFixture(fullEngine);
  owner.use("a1", "a3", "a4");
  owner.wait(500);
  owner.use("a1");
  owner.wait(800);
  owner.acquire("a5");
  assert.equal(describe(owner.takeNextOrder()), "unload a2");
});

test("adapters in use are not unloaded; the request is told that there is no room", () => {
  const owner = new ControllerFixture(fullEngine);
  owner.use("a1", "a2", "a3", "a4");
  const ticket = owner.acquire("a5");
  for (let step = 0; step < 8; step++) {
    owner.wait(100);
    owner.use("a1", "a2", "a3", "a4");
  }
  assert.equal(owner.takeNextOrder(), undefined);
  assert.deepEqual(owner.replies(ticket), [
    { kind: "refused", reason: "full" },
  ]);
});

// Places once stayed taken for half a second after each stream, while requests were refused.
test("an adapter that every node has released makes room at once", () => {
  const owner = new ControllerFixture(fullEngine);
  owner.use("a1", "a2", "a3", "a4");
  owner.useAt("node-2", "a1");
  owner.wait(100);
  owner.use("a2", "a3", "a4");
  owner.wait(180);
  owner.acquire("a5");
  assert.equal(owner.takeNextOrder(), undefined);
  owner.useAt("node-2");
  owner.use("a2", "a3", "a4");
  owner.wait(180);
  assert.equal(describe(owner.takeNextOrder()), "unload a1");
});

test("an adapter that was promised after its release does not make room", () => {
  const owner = new ControllerFixture(fullEngine);
  owner.use("a1", "a2", "a3", "a4");
  owner.wait(100);
  owner.use("a2", "a3", "a4");
  owner.acquire("a1");
  owner.wait(200);
  owner.use("a2", "a3", "a4");
  owner.acquire("a5");
  assert.equal(owner.takeNextOrder(), undefined);
});

// Each report once made all adapters look as if they had just been used.
test("a report does not change which adapter was used longest ago", () => {
  const owner = new ControllerFixture(fullEngine, 5);
  for (const name of ["a3", "a1", "a4", "a2"]) {
    owner.use(name);
    owner.wait(200);
    owner.report(fullEngine, 5);
  }
  owner.wait(200);
  owner.report(fullEngine, 5);
  owner.acquire("a5");
  assert.equal(describe(owner.takeNextOrder()), "unload a3");
});
