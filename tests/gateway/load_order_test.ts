import assert from "node:assert/strict";
import { test } from "node:test";
import {
  ControllerFixture,
  createModels,
  describe,
} from "./engine_controller_fixture.ts";

const urgent = { level: 0, delay: 0 };
const idle = { level: 4, delay: 0 };

// Load: two idle loads and an urgent one are pending while an order is in flight.
// Guards against loads that begin in the order in which they were asked for.
test("the owner orders the most urgent pending load first", () => {
  const fixture = new ControllerFixture(createModels());
  fixture.acquire("a1", { urgency: idle });
  const inFlight = fixture.takeNextOrder();
  fixture.acquire("a2", { urgency: idle });
  fixture.acquire("a3", { urgency: urgent });
  fixture.answer(inFlight, { kind: "accepted" });
  assert.equal(describe(fixture.takeNextOrder()), "load a3");
});

test("at one level the owner orders the load with the earliest turn first", () => {
  const fixture = new ControllerFixture(createModels());
  fixture.acquire("a1");
  const inFlight = fixture.takeNextOrder();
  fixture.acquire("a2", { urgency: { level: 2, delay: 400 } });
  fixture.acquire("a3", { urgency: { level: 2, delay: -100 } });
  fixture.answer(inFlight, { kind: "accepted" });
  assert.equal(describe(fixture.takeNextOrder()), "load a3");
});

// Load: urgent loads keep coming. Guards against adapters of the least urgent callers
// that are never loaded.
test("a load that has waited long enough goes before a new one that is more urgent", () => {
  const fixture = new ControllerFixture(createModels());
  fixture.acquire("a1");
  const inFlight = fixture.takeNextOrder();
  fixture.acquire("a2", { urgency: { level: 2, delay: 0 } });
  fixture.wait(450);
  fixture.acquire("a3", { urgency: { level: 0, delay: 0 } });
  fixture.answer(inFlight, { kind: "accepted" });
  assert.equal(describe(fixture.takeNextOrder()), "load a2");
});

// A load whose order the engine has not answered was counted twice and taken to last
// for ever, so that owners with three pending loads refused all others as busy.
test("an owner is not busy because an order is in flight", () => {
  const fixture = new ControllerFixture(createModels());
  fixture.acquire("a1");
  fixture.acquire("a2");
  fixture.acquire("a3");
  const ticket = fixture.acquire("a4", { patience: 500 });
  assert.deepEqual(fixture.replies(ticket), []);
});

// Load: more pending loads of idle callers than the engine begins in time.
// Guards against an urgent caller that is refused as busy for the sake of others.
test("pending loads that are less urgent make no owner busy", () => {
  const fixture = new ControllerFixture(createModels());
  for (let i = 0; i < 20; i++)
    fixture.acquire(`idle${i}`, { urgency: idle, patience: 60_000 });
  const patience = 500;
  const refused = fixture.acquire("b1", { urgency: idle, patience });
  assert.equal(fixture.replies(refused)[0]?.kind, "refused");
  const kept = fixture.acquire("b2", { urgency: urgent, patience });
  assert.deepEqual(fixture.replies(kept), []);
});

// Load: the 64 loads that an owner keeps pending, and one more.
test("an urgent load takes the place of the least urgent pending one", () => {
  const fixture = new ControllerFixture(createModels());
  const tickets = Array.from({ length: 64 }, (_, i) =>
    fixture.acquire(`idle${i}`, {
      urgency: { level: 4, delay: i },
      patience: 60_000,
    }),
  );
  const ticket = fixture.acquire("urgent", { urgency: urgent });
  assert.deepEqual(fixture.replies(ticket), []);
  const refused = tickets.filter((it) => fixture.replies(it).length > 0);
  assert.deepEqual(refused, tickets.slice(-1));
});
