import assert from "node:assert/strict";
import { test } from "node:test";
import { OwnerHarness } from "./harness.ts";

/** Creates an owner whose only slot holds adapter a, with the fencing number confirmed. */
function createFullOwner(): OwnerHarness {
  const owner = OwnerHarness.create({ slots: 1 });
  owner.own();
  owner.load("a@1");
  owner.clear();
  return owner;
}

/** Submits work for adapter b, grants a permit and returns the evicted adapters. */
function submitOther(owner: OwnerHarness): string[] {
  owner.submit(`other-${owner.now}`, { adapter: "b@1" });
  owner.send({ type: "permit-granted" });
  return owner.sent("unload");
}

test("an idle adapter is evicted before the new one is loaded", () => {
  const owner = createFullOwner();
  assert.deepEqual(submitOther(owner), ["a@1"]);
  assert.deepEqual(owner.sent("load"), []);
  owner.unloaded("a@1");
  assert.deepEqual(owner.sent("load"), ["b@1"]);
});

test("an adapter with a running request is not evicted", () => {
  const owner = createFullOwner();
  owner.submit("r1", { adapter: "a@1" });
  assert.deepEqual(submitOther(owner), []);
  owner.finish("r1");
  assert.deepEqual(submitOther(owner), ["a@1"]);
});

test("an adapter with a queued request is not evicted", () => {
  const owner = OwnerHarness.create({ slots: 2, batch: 1 });
  owner.own();
  owner.load("a@1");
  owner.load("b@1");
  owner.clear();
  owner.submit("r1", { adapter: "b@1" });
  owner.submit("r2", { adapter: "a@1" });
  owner.submit("r3", { adapter: "c@1" });
  owner.send({ type: "permit-granted" });
  assert.deepEqual(owner.sent("unload"), []);
});

test("an adapter is not evicted until a report of the engine confirms that its cancelled request ended", () => {
  const owner = createFullOwner();
  owner.submit("r1", { adapter: "a@1" });
  owner.cancel("r1");
  assert.deepEqual(submitOther(owner), []);
  owner.advance(2_500);
  owner.report({ running: ["r1"] });
  assert.deepEqual(submitOther(owner), []);
  owner.advance(2_500);
  owner.report();
  assert.deepEqual(submitOther(owner), ["a@1"]);
});

test("an engine that was only unreachable keeps adapters whose requests still run", () => {
  const owner = createFullOwner();
  owner.submit("r1", { adapter: "a@1" });
  owner.failStream("r1", "silent");
  owner.advance(600);
  owner.advance(2_500);
  owner.report({ running: ["r1"] });
  assert.deepEqual(submitOther(owner), []);
  owner.advance(2_500);
  owner.report();
  assert.deepEqual(submitOther(owner), ["a@1"]);
});

test("a new owner evicts nothing while requests of the earlier owner run", () => {
  const owner = createFullOwner();
  owner.own({ fence: 2, running: ["inherited"] });
  owner.loaded("a@1");
  owner.advance(2_500);
  owner.report({ running: ["inherited"] });
  assert.deepEqual(submitOther(owner), []);
  owner.advance(2_500);
  owner.report();
  assert.deepEqual(submitOther(owner), ["a@1"]);
});

test("a new owner evicts only after the engine has seen its fencing number", () => {
  const owner = createFullOwner();
  owner.own({ fence: 2 });
  assert.deepEqual(owner.sent("load"), ["a@1"]);
  assert.deepEqual(submitOther(owner), []);
  owner.loaded("a@1");
  owner.advance(500);
  owner.report();
  assert.deepEqual(submitOther(owner), []);
  owner.advance(2_500);
  owner.report();
  assert.deepEqual(submitOther(owner), ["a@1"]);
});

test("a stream dispatched under an earlier fencing number does not confirm the new one", () => {
  const owner = createFullOwner();
  owner.submit("r1", { adapter: "a@1" });
  owner.own({ fence: 3, running: ["r1"] });
  owner.finish("r1");
  owner.advance(2_500);
  owner.report();
  assert.deepEqual(submitOther(owner), []);
  owner.loaded("a@1");
  owner.advance(2_500);
  owner.report();
  assert.deepEqual(submitOther(owner), ["a@1"]);
});

test("on an engine that ignores fencing numbers nothing is evicted before the time `settledAt`", () => {
  const owner = OwnerHarness.create({ slots: 1, fencing: "ignored" });
  owner.own();
  owner.load("a@1");
  owner.own({ fence: 2, settled: 10_000 });
  owner.clear();
  owner.advance(9_900);
  owner.report();
  assert.deepEqual(submitOther(owner), []);
  owner.advance(3_000);
  owner.report();
  assert.deepEqual(submitOther(owner), ["a@1"]);
});

test("on an engine that ignores fencing numbers free slots are used at once, even before `settledAt`", () => {
  const owner = OwnerHarness.create({ slots: 1, fencing: "ignored" });
  owner.own({ settled: 10_000 });
  owner.submit("r1", { adapter: "a@1" });
  owner.send({ type: "permit-granted" });
  assert.deepEqual(owner.sent("load"), ["a@1"]);
});

test("the adapter with the fewest recent uses is evicted", () => {
  const owner = OwnerHarness.create({ slots: 2 });
  owner.own();
  owner.load("popular@1");
  for (const id of ["r1", "r2", "r3"]) {
    owner.submit(id, { adapter: "popular@1" });
    owner.finish(id);
  }
  owner.load("rare@1");
  owner.clear();
  owner.submit("r4", { adapter: "c@1" });
  owner.send({ type: "permit-granted" });
  assert.deepEqual(owner.sent("unload"), ["rare@1"]);
});
