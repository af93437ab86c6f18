import assert from "node:assert/strict";
import { test } from "node:test";
import {
  ControllerFixture,
  createFullEngineFixture,
  createModels,
  describe,
  fullEngineModels,
} from "./engine_controller_fixture.ts";

test("a load without an answer keeps its place in the adapter slots until reports omit the adapter", () => {
  const fixture = new ControllerFixture(createModels("a1"), 3);
  fixture.acquire("a2");
  fixture.answer(fixture.takeNextOrder(), { kind: "lost" });
  assert.equal(fixture.size, 2);
  // No request waits for the adapter any more, so the load is not repeated.
  fixture.wait(700);
  fixture.report(createModels("a1"), 3);
  assert.equal(fixture.size, 2);
  fixture.acquire("a3");
  fixture.wait(600);
  fixture.report(createModels("a1"), 3);
  assert.equal(
    fixture.state.contents.adapterSlots.has("base/a2" as never),
    false,
  );
});

// Guards against such an answer leaving the slot unusable until the engine restarts.
for (const kind of ["conflict", "rejected", "unreachable"] as const) {
  test(`an adapter whose unload was answered with ${kind} can be used again`, () => {
    const fixture = createFullEngineFixture(5);
    const order = fixture.takeNextOrder();
    assert.equal(describe(order), "unload a1");
    const detail = "409";
    fixture.answer(order, kind === "unreachable" ? { kind } : { kind, detail });
    const ticket = fixture.acquire("a1");
    assert.deepEqual(fixture.replies(ticket), [{ kind: "ready", inMs: 0 }]);
  });
}

test("an unload without an answer is repeated with the same count", () => {
  const fixture = createFullEngineFixture(5);
  const first = fixture.takeNextOrder();
  assert.equal(describe(first), "unload a1");
  fixture.answer(first, { kind: "lost" });
  fixture.wait(150);
  fixture.report(fullEngineModels, 5);
  assert.deepEqual(fixture.takeNextOrder(), first);
});

test("a load without an answer is repeated at once while a request waits for it", () => {
  const fixture = new ControllerFixture(createModels("a1"), 3);
  const ticket = fixture.acquire("a2");
  const first = fixture.takeNextOrder();
  fixture.answer(first, { kind: "lost" });
  fixture.wait(150);
  fixture.report(createModels("a1"), 3);
  const second = fixture.takeNextOrder();
  assert.deepEqual(second, first);
  fixture.answer(second, { kind: "accepted" });
  assert.equal(fixture.replies(ticket)[0]?.kind, "ready");
  assert.equal(fixture.size, 2);
});

test("a load without an answer is dropped once the engine accepts another order", () => {
  const fixture = new ControllerFixture(createModels("a1"), 3);
  fixture.acquire("a2");
  fixture.answer(fixture.takeNextOrder(), { kind: "lost" });
  fixture.wait(700);
  fixture.acquire("a3");
  fixture.report(createModels("a1"), 3);
  const other = fixture.takeNextOrder();
  assert.equal(describe(other), "load a3");
  fixture.answer(other, { kind: "accepted" });
  assert.equal(
    fixture.state.contents.adapterSlots.has("base/a2" as never),
    false,
  );
  assert.equal(fixture.size, 2);
});

test("a lost unload with an older count leaves its adapter in place and usable", () => {
  const fixture = createFullEngineFixture(5);
  fixture.answer(fixture.takeNextOrder(), { kind: "lost" });
  fixture.wait(150);
  fixture.report(fullEngineModels, 6);
  fixture.wait(300);
  fixture.acquire("a6");
  fixture.report(fullEngineModels, 6);
  const ticket = fixture.acquire("a1");
  assert.deepEqual(fixture.replies(ticket), [{ kind: "ready", inMs: 0 }]);
});

// Guards against a slot that is freed although the engine still holds the adapter; found by the fuzz test.
test("a load after an unload, both without an answer, leaves the adapter held", () => {
  const fixture = createFullEngineFixture(6);
  const unload = fixture.takeNextOrder();
  assert.equal(describe(unload), "unload a1");
  fixture.answer(unload, { kind: "lost" });
  fixture.wait(700);
  fixture.report(fullEngineModels, 6);
  fixture.acquire("a1");
  const load = fixture.takeNextOrder();
  assert.equal(describe(load), "load a1");
  fixture.answer(load, { kind: "lost" });
  fixture.wait(700);
  fixture.report(fullEngineModels, 6);
  fixture.acquire("a1", { version: 2 });
  const other = fixture.takeNextOrder();
  assert.equal(describe(other), "load a1");
  fixture.answer(other, { kind: "done" });
  assert.equal(fixture.size, 4);
});

// Guards against reports from before the load counting as missing the adapter; found by the fuzz test.
test("a load that is carried out late keeps its place in the adapter slots despite a report that does not show it yet", () => {
  const fixture = new ControllerFixture(createModels("a1"), 3);
  fixture.acquire("a2");
  fixture.answer(fixture.takeNextOrder(), { kind: "lost" });
  fixture.wait(700);
  fixture.report(createModels("a1"), 3);
  fixture.wait(700);
  fixture.acquire("a3");
  fixture.report(createModels("a1"), 4);
  assert.equal(
    fixture.state.contents.adapterSlots.has("base/a2" as never),
    true,
  );
});

// Guards against a load into a full engine while an evicted adapter may still be there; found by the fuzz test.
test("nothing is loaded while there may be more adapters than slots", () => {
  const fixture = createFullEngineFixture(5);
  fixture.answer(fixture.takeNextOrder(), { kind: "lost" });
  fixture.wait(700);
  fixture.report(createModels("a2", "a3", "a4", "a6"), 6);
  assert.equal(fixture.size, 5);
  fixture.acquire("a1", { version: 2 });
  assert.equal(fixture.takeNextOrder(), undefined);
});
