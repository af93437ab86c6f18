import assert from "node:assert/strict";
import { test } from "node:test";
import { brandString } from "../../src/core/ids.ts";
import { OwnerHarness } from "./harness.ts";

test("a node that does not own the engine refuses as not run", () => {
  const owner = OwnerHarness.create();
  owner.submit("r1", { adapter: "a@1" });
  assert.deepEqual(owner.refusals(), { r1: "notOwner not-run" });
});

test("no order is sent before the engine has reported its adapters", () => {
  const owner = OwnerHarness.create();
  owner.lease({ fence: 1 });
  owner.submit("r1", { adapter: "a@1" });
  owner.send({ type: "permit-granted" });
  assert.deepEqual(owner.sent("load"), []);
  owner.report();
  owner.send({ type: "permit-granted" });
  assert.deepEqual(owner.sent("load"), ["a@1"]);
});

test("no load starts at or after the end of the lease", () => {
  const owner = OwnerHarness.create();
  owner.own({ lease: 5_000 });
  owner.submit("r1", { adapter: "a@1" });
  owner.advance(5_000);
  owner.send({ type: "permit-granted" });
  assert.deepEqual(owner.sent("load"), []);
  owner.lease({ fence: 1, lease: 5_000 });
  owner.send({ type: "permit-granted" });
  assert.deepEqual(owner.sent("load"), ["a@1"]);
});

test("in a table outage dispatch to loaded adapters continues past the end of the lease", () => {
  const owner = OwnerHarness.create();
  owner.own();
  owner.load("a@1");
  owner.clear();
  owner.lease({ fence: 1, lease: 1_000, dispatch: 60_000 });
  owner.advance(30_000);
  owner.submit("warm", { adapter: "a@1" });
  owner.submit("cold", { adapter: "b@1" });
  owner.send({ type: "permit-granted" });
  assert.deepEqual(owner.sent("dispatch"), ["warm"]);
  assert.deepEqual(owner.sent("load"), []);
  owner.advance(30_000);
  owner.submit("late", { adapter: "a@1" });
  assert.deepEqual(owner.sent("dispatch"), ["warm"]);
});

test("an owner that loses the engine refuses its queue and lets streams continue", () => {
  const owner = OwnerHarness.create({ batch: 1 });
  owner.own();
  owner.load("a@1");
  owner.submit("running", { adapter: "a@1" });
  owner.submit("queued", { adapter: "a@1" });
  owner.send({ type: "ownership-lost" });
  assert.deepEqual(owner.refusals(), { queued: "notOwner not-run" });
  assert.deepEqual(owner.sent("cancel-stream"), []);
});

test("an engine that refuses the fencing number ends the ownership until a lease with a higher one", () => {
  const owner = OwnerHarness.create();
  owner.own();
  owner.load("a@1");
  owner.submit("r1", { adapter: "a@1" });
  owner.failStream("r1", "stale-fence");
  owner.lease({ fence: 1 });
  owner.submit("r2", { adapter: "a@1" });
  assert.deepEqual(owner.refusals(), {
    r1: "notOwner not-run",
    r2: "notOwner not-run",
  });
  owner.own({ fence: 3 });
  owner.submit("r3", { adapter: "a@1" });
  assert.deepEqual(owner.sent("dispatch").slice(-1), ["r3"]);
});

test("requests of the earlier owner use batch capacity", () => {
  const owner = OwnerHarness.create({ batch: 2 });
  owner.own();
  owner.load("a@1");
  owner.own({ fence: 2, running: ["inherited"] });
  owner.clear();
  owner.submit("r1", { adapter: "a@1" });
  owner.submit("r2", { adapter: "a@1" });
  assert.deepEqual(owner.sent("dispatch"), ["r1"]);
});

test("a draining node refuses queued work and finishes what already runs", () => {
  const owner = OwnerHarness.create({ batch: 1 });
  owner.own();
  owner.load("a@1");
  owner.submit("running", { adapter: "a@1" });
  owner.submit("queued", { adapter: "a@1" });
  owner.send({ type: "drain" });
  owner.submit("new", { adapter: "a@1" });
  assert.deepEqual(owner.refusals(), {
    queued: "draining not-run",
    new: "draining not-run",
  });
  owner.finish("running");
  assert.equal(owner.state.running.size, 0);
});

test("a leaving server gets no new work, whichever message reports it", () => {
  const notices: ((owner: OwnerHarness) => void)[] = [
    (owner) => owner.send({ type: "leaving" }),
    (owner) => owner.report({ leaving: true }),
    (owner) => owner.failStream("running", "leaving"),
  ];
  for (const notify of notices) {
    const owner = OwnerHarness.create({ batch: 1 });
    owner.own();
    owner.load("a@1");
    owner.submit("running", { adapter: "a@1" });
    owner.submit("queued", { adapter: "a@1" });
    owner.clear();
    notify(owner);
    owner.submit("new", { adapter: "a@1" });
    assert.equal(owner.refusals().queued, "engineRefused not-run");
    assert.equal(owner.refusals().new, "engineRefused not-run");
    owner.send({
      type: "finished",
      requestId: brandString("running"),
      tokens: 1,
    });
    assert.deepEqual(owner.sent("dispatch"), []);
  }
});
