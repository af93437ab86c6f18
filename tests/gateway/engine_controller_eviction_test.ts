import assert from "node:assert/strict";
import { test } from "node:test";
import {
  ControllerFixture,
  createModels,
  describe,
  fullEngineModels,
} from "./engine_controller_fixture.ts";

// The engine would answer such an order with success and free no slot.
test("an adapter that may still be loading is not unloaded", () => {
  const fixture = new ControllerFixture(createModels("a1", "a2", "a3"));
  fixture.acquire("a4");
  fixture.answer(fixture.takeNextOrder(), { kind: "accepted" });
  fixture.use("a1", "a2", "a3");
  fixture.wait(900);
  fixture.use("a1", "a2", "a3");
  fixture.wait(100);
  fixture.acquire("a5");
  assert.notEqual(describe(fixture.takeNextOrder()), "unload a4");
});

test("the least recently used adapter is evicted", () => {
  const fixture = new ControllerFixture(fullEngineModels);
  fixture.use("a1", "a3", "a4");
  fixture.wait(500);
  fixture.use("a1");
  fixture.wait(800);
  fixture.acquire("a5");
  assert.equal(describe(fixture.takeNextOrder()), "unload a2");
});

test("adapters in use are not unloaded; the request is refused as full", () => {
  const fixture = new ControllerFixture(fullEngineModels);
  fixture.use("a1", "a2", "a3", "a4");
  const ticket = fixture.acquire("a5");
  for (let step = 0; step < 8; step++) {
    fixture.wait(100);
    fixture.use("a1", "a2", "a3", "a4");
  }
  assert.equal(fixture.takeNextOrder(), undefined);
  assert.deepEqual(fixture.replies(ticket), [
    { kind: "refused", reason: "full" },
  ]);
});

// Guards against slots that stay taken for half a second after each stream, while requests are refused.
test("an adapter that every node has released is evicted at once", () => {
  const fixture = new ControllerFixture(fullEngineModels);
  fixture.use("a1", "a2", "a3", "a4");
  fixture.useAt("node-2", "a1");
  fixture.wait(100);
  fixture.use("a2", "a3", "a4");
  fixture.wait(180);
  fixture.acquire("a5");
  assert.equal(fixture.takeNextOrder(), undefined);
  fixture.useAt("node-2");
  fixture.use("a2", "a3", "a4");
  fixture.wait(180);
  assert.equal(describe(fixture.takeNextOrder()), "unload a1");
});

test("an adapter that was promised after its release is not evicted", () => {
  const fixture = new ControllerFixture(fullEngineModels);
  fixture.use("a1", "a2", "a3", "a4");
  fixture.wait(100);
  fixture.use("a2", "a3", "a4");
  fixture.acquire("a1");
  fixture.wait(200);
  fixture.use("a2", "a3", "a4");
  fixture.acquire("a5");
  assert.equal(fixture.takeNextOrder(), undefined);
});

// Guards against reports that mark all adapters as just used.
test("a report does not change which adapter is least recently used", () => {
  const fixture = new ControllerFixture(fullEngineModels, 5);
  for (const name of ["a3", "a1", "a4", "a2"]) {
    fixture.use(name);
    fixture.wait(200);
    fixture.report(fullEngineModels, 5);
  }
  fixture.wait(200);
  fixture.report(fullEngineModels, 5);
  fixture.acquire("a5");
  assert.equal(describe(fixture.takeNextOrder()), "unload a3");
});
