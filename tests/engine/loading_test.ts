import assert from "node:assert/strict";
import { test } from "node:test";
import { millis } from "../../src/core/clock.ts";
import { brandString } from "../../src/core/ids.ts";
import { OwnerHarness } from "./harness.ts";

function createOwner(limits = {}): OwnerHarness {
  const owner = OwnerHarness.create(limits);
  owner.own();
  return owner;
}

test("concurrent requests for one adapter share one load", () => {
  const owner = createOwner();
  owner.submit("r1", { adapter: "a@1" });
  owner.submit("r2", { adapter: "a@1" });
  owner.send({ type: "permit-granted" });
  owner.send({ type: "permit-granted" });
  assert.deepEqual(owner.sent("load"), ["a@1"]);
  owner.loaded("a@1");
  assert.deepEqual(owner.sent("dispatch"), ["r1", "r2"]);
});

test("no load starts without a permit, and each permit is released once", () => {
  const owner = createOwner();
  owner.submit("r1", { adapter: "a@1" });
  assert.equal(owner.sent("request-permit").length, 1);
  assert.deepEqual(owner.sent("load"), []);
  owner.send({ type: "permit-granted" });
  owner.loaded("a@1");
  owner.send({ type: "permit-granted" });
  const used = owner.commands.flatMap((command) =>
    command.type === "release-permit" ? [command.used] : [],
  );
  assert.deepEqual(used, [true, false]);
});

test("a failed load refuses its requests and is retried after a delay", () => {
  const owner = createOwner();
  owner.submit("r1", { adapter: "a@1" });
  owner.send({ type: "permit-granted" });
  owner.failLoad("a@1");
  assert.deepEqual(owner.refusals(), { r1: "loadFailed not-run" });
  owner.clear();
  owner.submit("r2", { adapter: "a@1" });
  assert.deepEqual(owner.sent("request-permit"), []);
  owner.advance(600);
  assert.equal(owner.sent("request-permit").length, 1);
});

test("the delay after failed loads grows and has jitter", () => {
  const owner = createOwner();
  const delays = [0, 1, 2].map((attempt) => {
    const before = owner.now;
    owner.submit(`r${attempt}`, { adapter: "a@1" });
    while (owner.state.permits.urgent === 0) owner.advance(10);
    const waited = owner.now - before;
    owner.send({ type: "permit-granted" });
    owner.failLoad("a@1");
    return waited;
  });
  // Half of 500 and 1,000 ms and, with the random number 0.5, half of the rest.
  assert.deepEqual(delays, [0, 380, 750]);
});

test("a load that does not answer counts as failed after its time-out", () => {
  const owner = createOwner();
  owner.submit("r1", { adapter: "a@1" });
  owner.send({ type: "permit-granted" });
  owner.advance(10_100);
  assert.deepEqual(owner.refusals(), { r1: "loadFailed not-run" });
});

test("a request is refused and handed back to its entry node at once when its load would finish after the deadline", () => {
  const owner = createOwner();
  const deadlineAt = millis(owner.now + 100);
  owner.submit("r1", { adapter: "a@1", deadlineAt });
  assert.deepEqual(owner.refusals(), { r1: "loadFailed not-run" });
});

test("queued work is refused and handed back to its entry node once its load can no longer finish before the deadline", () => {
  const owner = createOwner();
  const deadlineAt = millis(owner.now + 3_000);
  owner.submit("r1", { adapter: "a@1", deadlineAt });
  owner.advance(2_990);
  assert.deepEqual(owner.refusals(), { r1: "loadFailed not-run" });
});

test("the adapter that more requests wait for is loaded first", () => {
  const owner = createOwner();
  owner.submit("r1", { adapter: "a@1" });
  owner.advance(100);
  owner.submit("r2", { adapter: "b@1" });
  owner.submit("r3", { adapter: "b@1" });
  owner.send({ type: "permit-granted" });
  assert.deepEqual(owner.sent("load"), ["b@1"]);
});

test("a load that only long work waits for does not take an urgent permit", () => {
  const owner = createOwner();
  owner.submit("long", { adapter: "a@1", expectedTokens: 2_000 });
  owner.submit("short", { adapter: "b@1" });
  const urgent = owner.commands.flatMap((command) =>
    command.type === "request-permit" ? [command.urgent] : [],
  );
  assert.deepEqual(urgent, [false, true]);
  owner.send({ type: "permit-granted" });
  assert.deepEqual(owner.sent("load"), ["b@1"]);
});

test("placement loads into a free slot and evicts nothing that was used recently", () => {
  const owner = createOwner({ slots: 2 });
  owner.load("a@1");
  const adapters = [brandString<never>("p@1"), brandString<never>("q@1")];
  owner.send({ type: "placement", adapters });
  owner.send({ type: "permit-granted" });
  owner.loaded("p@1");
  owner.submit("r1", { adapter: "a@1" });
  owner.finish("r1");
  owner.send({ type: "permit-granted" });
  assert.deepEqual(owner.sent("unload"), []);
  assert.equal(owner.state.slots.size, 2);
});
