import assert from "node:assert/strict";
import { test } from "node:test";
import {
  ControllerFixture,
  createModels,
  describe,
} from "./engine_controller_fixture.ts";

/** Time for which the engine waits for requests on the old version, in ms. */
const runTime = 3_000;

/** An engine that holds version 1 of a1 and is ordered to load version 2. */
function createReplacement() {
  const fixture = new ControllerFixture(createModels("a1"));
  fixture.acquire("a1", { version: 2 });
  const order = fixture.takeNextOrder();
  assert.equal(describe(order), "load a1");
  fixture.answer(order, { kind: "accepted" });
  return fixture;
}

/** Sends requests when the owner promises the adapter, until the engine replaces it; returns how many it rejects. */
function countRejections(fixture: ControllerFixture): number {
  let rejections = 0;
  const end = fixture.now + runTime;
  let denied = false;
  while (fixture.now < end) {
    const ticket = fixture.acquire("a1", { version: 2, denied });
    const [reply] = fixture.replies(ticket);
    assert.equal(reply?.kind, "ready");
    if (reply?.kind !== "ready") break;
    denied = reply.inMs === 0;
    if (denied) rejections++;
    fixture.wait(denied ? 2 : reply.inMs);
  }
  return rejections;
}

// Load: one caller at a time, while an engine replaces an adapter for 3 s. Each rejection
// took a retry from the budget of the service, for which others were then refused.
test("requests for a version that waits for the older one are rejected a few times only", () => {
  const rejections = countRejections(createReplacement());
  assert.ok(rejections <= 6, `${rejections} rejections`);
});

// The wait for the older version was taken for the time of all later loads, so that the
// owner refused requests for other adapters as busy.
test("an owner that replaces an adapter is not busy for others", () => {
  const fixture = createReplacement();
  countRejections(fixture);
  for (const name of ["b1", "b2", "b3", "b4"]) fixture.acquire(name);
  const ticket = fixture.acquire("b5", { patience: 500 });
  assert.deepEqual(fixture.replies(ticket), []);
});

// A new version was promised after the time in which the engine's host brings back an old one.
test("a version that the engine has not held is not expected as soon as one that it held", () => {
  const fixture = new ControllerFixture(createModels("a1", "a2", "a3", "a4"));
  fixture.use("a2", "a3", "a4");
  fixture.wait(600);
  fixture.use("a2", "a3", "a4");
  fixture.acquire("a5");
  fixture.answer(fixture.takeNextOrder(), { kind: "done" });
  fixture.answer(fixture.takeNextOrder(), { kind: "accepted" });
  fixture.state.contents.adapterSlots.delete("base/a5" as never);
  const ticket = fixture.acquire("a1", { version: 2 });
  fixture.answer(fixture.takeNextOrder(), { kind: "accepted" });
  const [reply] = fixture.replies(ticket);
  assert.ok(
    reply?.kind === "ready" && reply.inMs >= 265,
    JSON.stringify(reply),
  );
});

// Reports omit an adapter for a while before its slot is free; until then the owner promised
// it at once, however often the engine had rejected requests for it.
test("requests for an adapter that the engine has lost are rejected a few times only", () => {
  const fixture = new ControllerFixture(createModels("a1"));
  let rejections = 0;
  let denied = false;
  for (let at = 0; at < 600; at += 5) {
    fixture.report(createModels(), 0);
    const ticket = fixture.acquire("a1", { denied });
    const [reply] = fixture.replies(ticket);
    denied = reply?.kind === "ready" && reply.inMs === 0;
    if (denied) rejections++;
    fixture.wait(5);
  }
  assert.ok(rejections <= 4, `${rejections} rejections`);
});
