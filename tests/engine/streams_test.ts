import assert from "node:assert/strict";
import { test } from "node:test";
import { OwnerHarness } from "./harness.ts";

/** Creates an owner with two requests running on adapter a. */
function createRunningOwner(): OwnerHarness {
  const owner = OwnerHarness.create();
  owner.own();
  owner.load("a@1");
  owner.submit("r1", { adapter: "a@1" });
  owner.submit("r2", { adapter: "a@1" });
  owner.clear();
  return owner;
}

test("a broken stream is handed back to its entry node only after a report, and is no suspect if the engine did not crash", () => {
  const owner = createRunningOwner();
  owner.failStream("r1", "broken");
  assert.deepEqual(owner.sent("request-report").length, 1);
  assert.deepEqual(owner.refusals(), {});
  owner.report({ running: ["r2"] });
  assert.deepEqual(owner.refusals(), { r1: "engineLost may-have-run" });
});

test("after a restart every request that was running is a suspect", () => {
  const owner = createRunningOwner();
  owner.failStream("r1", "broken");
  owner.boot = "boot-2";
  owner.report();
  assert.deepEqual(owner.refusals(), {
    r1: "engineLost may-have-run suspect",
    r2: "engineLost may-have-run suspect",
  });
  assert.deepEqual(owner.suspects(), ["digest-r1", "digest-r2"]);
});

test("a restart that is detected late does not free the adapters of requests dispatched since", () => {
  const owner = createRunningOwner();
  owner.failStream("r1", "silent");
  owner.boot = "boot-2";
  owner.report({ running: ["r1", "r2"] });
  assert.deepEqual(owner.refusals(), { r1: "engineLost may-have-run" });
  assert.deepEqual(owner.suspects(), []);
  owner.clear();
  owner.finish("r2");
  for (const adapter of ["b@1", "c@1", "d@1", "e@1", "f@1"]) {
    owner.submit(`for-${adapter}`, { adapter });
    owner.send({ type: "permit-granted" });
    owner.loaded(adapter);
  }
  owner.advance(3_000);
  owner.report({ running: ["r1"] });
  assert.ok(
    !owner.sent("unload").includes("a@1"),
    "a@1 is not evicted while the engine runs r1 on it",
  );
});

test("an engine that does not report within 500 ms counts as crashed", () => {
  const owner = createRunningOwner();
  owner.failStream("r1", "silent");
  owner.advance(490);
  assert.deepEqual(owner.refusals(), {});
  owner.advance(20);
  assert.equal(owner.refusals().r1, "engineLost may-have-run suspect");
  owner.submit("r3", { adapter: "a@1" });
  assert.equal(owner.refusals().r3, "engineRefused not-run");
});

test("an engine that fails three reports in a row gets no more work", () => {
  const owner = createRunningOwner();
  owner.cancel("r1");
  owner.advance(5_000);
  owner.submit("r3", { adapter: "a@1" });
  assert.equal(owner.refusals().r3, "engineRefused not-run");
});

test("an engine that answers again gets work again", () => {
  const owner = createRunningOwner();
  owner.failStream("r1", "broken");
  owner.advance(600);
  owner.clear();
  owner.advance(1_100);
  assert.equal(owner.sent("request-report").length, 1);
  owner.report();
  owner.submit("r3", { adapter: "a@1" });
  assert.deepEqual(owner.sent("dispatch"), ["r3"]);
});

test("a request is requeued once when the engine lacks its adapter", () => {
  const owner = createRunningOwner();
  owner.failStream("r1", "adapter-missing");
  assert.deepEqual(owner.refusals(), {});
  owner.send({ type: "permit-granted" });
  owner.loaded("a@1");
  assert.deepEqual(owner.sent("dispatch"), ["r1"]);
  owner.failStream("r1", "adapter-missing");
  assert.deepEqual(owner.refusals(), { r1: "engineRefused not-run" });
});

test("an order that was never sent is refused as not run", () => {
  for (const kind of ["unreachable", "refused"] as const) {
    const owner = createRunningOwner();
    owner.failStream("r1", kind);
    assert.deepEqual(owner.refusals(), { r1: "engineRefused not-run" });
  }
});

test("a suspect runs alone and delays new work once its patience (maximum delay) has passed", () => {
  const owner = createRunningOwner();
  owner.submit("suspect", { adapter: "a@1", isolated: true });
  owner.submit("r3", { adapter: "a@1" });
  assert.deepEqual(owner.sent("dispatch"), ["r3"]);
  owner.advance(1_000);
  owner.submit("r4", { adapter: "a@1" });
  for (const id of ["r1", "r2", "r3"]) owner.finish(id);
  assert.deepEqual(owner.sent("dispatch"), ["r3", "suspect"]);
  owner.finish("suspect");
  assert.deepEqual(owner.sent("dispatch"), ["r3", "suspect", "r4"]);
});

test("a suspect whose answer is whole after it ran alone is cleared", () => {
  const owner = OwnerHarness.create();
  owner.own();
  owner.load("a@1");
  owner.submit("suspect", { adapter: "a@1", isolated: true });
  owner.finish("suspect");
  const cleared = owner.commands.flatMap((command) =>
    command.type === "clear-suspect" ? [command.digest] : [],
  );
  assert.deepEqual(cleared, ["digest-suspect"]);
});

test("a second submission of a request that is already held is ignored and counted", () => {
  const owner = createRunningOwner();
  owner.submit("r1", { adapter: "a@1" });
  assert.deepEqual(owner.commands, []);
  assert.equal(owner.state.counters.duplicates, 1);
});
