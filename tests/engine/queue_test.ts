import assert from "node:assert/strict";
import { test } from "node:test";
import { millis } from "../../src/core/clock.ts";
import { baselineEnginePolicies } from "../../src/core/engine/mod.ts";
import { OwnerHarness } from "./harness.ts";

/** Creates an owner with adapter a loaded and `running` requests in the batch. */
function createBusyOwner({ batch = 1, running = 1 } = {}): OwnerHarness {
  const owner = OwnerHarness.create({ batch });
  owner.own();
  owner.load("a@1");
  for (let index = 0; index < running; index++) {
    owner.submit(`busy-${index}`, { adapter: "a@1" });
  }
  owner.clear();
  return owner;
}

test("a higher priority class runs first, even if it arrived later", () => {
  const owner = createBusyOwner();
  owner.submit("bulk", { adapter: "a@1", priority: "bulk" });
  owner.submit("normal", { adapter: "a@1", priority: "normal" });
  owner.submit("urgent", { adapter: "a@1", priority: "urgent" });
  for (const id of ["busy-0", "urgent", "normal"]) owner.finish(id);
  assert.deepEqual(owner.sent("dispatch"), ["urgent", "normal", "bulk"]);
});

test("work of a low class is not starved by newer work of a high class", () => {
  const owner = createBusyOwner();
  owner.submit("old", { adapter: "a@1", priority: "bulk" });
  owner.advance(9_000);
  owner.submit("new", { adapter: "a@1", priority: "urgent" });
  owner.finish("busy-0");
  assert.deepEqual(owner.sent("dispatch"), ["old"]);
});

test("work near its deadline runs before older work of its class", () => {
  const owner = createBusyOwner();
  owner.submit("relaxed", { adapter: "a@1" });
  const deadlineAt = millis(owner.now + 1_500);
  owner.submit("pressing", { adapter: "a@1", deadlineAt });
  owner.finish("busy-0");
  assert.deepEqual(owner.sent("dispatch"), ["pressing"]);
});

test("long work leaves batch capacity for short work that arrives later", () => {
  const owner = createBusyOwner({ batch: 8, running: 0 });
  for (let index = 0; index < 8; index++) {
    owner.submit(`long-${index}`, { adapter: "a@1", expectedTokens: 2_000 });
  }
  assert.equal(owner.sent("dispatch").length, 6);
  owner.clear();
  owner.submit("short", { adapter: "a@1" });
  assert.deepEqual(owner.sent("dispatch"), ["short"]);
});

test("first-come, first-served scheduling lets long work fill the batch", () => {
  const owner = OwnerHarness.create({ batch: 8 }, baselineEnginePolicies);
  owner.own();
  owner.load("a@1");
  owner.clear();
  for (let index = 0; index < 8; index++) {
    owner.submit(`long-${index}`, { adapter: "a@1", expectedTokens: 2_000 });
  }
  assert.equal(owner.sent("dispatch").length, 8);
});

test("long work takes a reserved place in the batch once its patience (maximum delay) has passed", () => {
  const owner = createBusyOwner({ batch: 8, running: 0 });
  const deadlineAt = millis(owner.now + 100_000);
  for (let index = 0; index < 8; index++) {
    const expectedTokens = 2_000;
    owner.submit(`long-${index}`, {
      adapter: "a@1",
      expectedTokens,
      deadlineAt,
    });
  }
  owner.advance(20_100);
  assert.equal(owner.sent("dispatch").length, 8);
});

test("long work may use only a part of the slots, so that cold short work can evict from the others", () => {
  const owner = OwnerHarness.create({ slots: 4, batch: 16 });
  owner.own();
  for (const name of ["a@1", "b@1", "c@1", "d@1"]) owner.load(name);
  owner.clear();
  for (const name of ["a@1", "b@1", "c@1"]) {
    owner.submit(`long-${name}`, { adapter: name, expectedTokens: 2_000 });
  }
  assert.equal(owner.sent("dispatch").length, 2);
  owner.submit("short", { adapter: "e@1" });
  owner.send({ type: "permit-granted" });
  assert.deepEqual(owner.sent("unload"), ["d@1"]);
});

test("a request whose deadline passes in the queue is refused as not run", () => {
  const owner = createBusyOwner();
  const deadlineAt = millis(owner.now + 2_000);
  owner.submit("late", { adapter: "a@1", deadlineAt });
  owner.advance(2_100);
  assert.equal(owner.refusals().late, "deadlinePassed not-run");
  owner.finish("busy-0");
  assert.deepEqual(owner.sent("dispatch"), []);
});

test("a full queue refuses requests as not run and counts them", () => {
  const owner = OwnerHarness.create({ batch: 1, queue: 1 });
  owner.own();
  owner.load("a@1");
  for (const id of ["r1", "r2", "r3"]) owner.submit(id, { adapter: "a@1" });
  assert.deepEqual(owner.refusals(), { r3: "queueFull not-run" });
  assert.equal(owner.state.counters.queueFull, 1);
});

test("cancelled work is not dispatched, and a running stream is ended", () => {
  const owner = createBusyOwner();
  owner.submit("waiting", { adapter: "a@1" });
  owner.cancel("waiting");
  owner.cancel("busy-0");
  assert.deepEqual(owner.sent("cancel-stream"), ["busy-0"]);
  assert.deepEqual(owner.sent("dispatch"), []);
});

/** Creates an owner whose batch of 8 runs five long and three short requests. */
function createMixedOwner(): OwnerHarness {
  const owner = createBusyOwner({ batch: 8, running: 3 });
  for (let index = 0; index < 5; index++) {
    owner.submit(`long-${index}`, { adapter: "a@1", expectedTokens: 2_000 });
  }
  owner.advance(20_100);
  for (let index = 0; index < 5; index++) owner.startStream(`long-${index}`);
  owner.clear();
  return owner;
}

test("a long stream is preempted for short work and resumes where it stopped", () => {
  const owner = createMixedOwner();
  owner.submit("short", { adapter: "a@1" });
  const [long = ""] = owner.sent("preempt");
  owner.preempted(long, 30);
  assert.deepEqual(owner.sent("dispatch"), ["short"]);
  owner.finish("short");
  const resumed = owner.commands.flatMap((command) =>
    command.type === "dispatch" && command.work.requestId === long
      ? [command.work.resumeAt]
      : [],
  );
  assert.deepEqual(resumed, [30]);
});

test("long work keeps its part of the batch during a burst of short work", () => {
  const owner = createMixedOwner();
  for (let index = 0; index < 6; index++) {
    owner.submit(`short-${index}`, { adapter: "a@1" });
  }
  assert.equal(owner.sent("preempt").length, 3);
});

test("a request that was preempted five times runs on without further preemption", () => {
  const owner = createMixedOwner();
  const preemptions: Record<string, number> = {};
  for (let round = 0; round < 40; round++) {
    const id = `short-${round}`;
    owner.submit(id, { adapter: "a@1" });
    for (const long of owner.sent("preempt")) {
      preemptions[long] = (preemptions[long] ?? 0) + 1;
      owner.preempted(long, round);
    }
    owner.finish(id);
    for (const long of owner.sent("dispatch")) owner.startStream(long);
    owner.clear();
    owner.advance(1_000);
    owner.report();
  }
  assert.deepEqual(Object.values(preemptions), [5, 5, 5, 5, 5]);
});

test("work that ran in part is not handed back to its entry node as not run", () => {
  const owner = createMixedOwner();
  owner.submit("short", { adapter: "a@1" });
  const [long = ""] = owner.sent("preempt");
  owner.preempted(long, 30);
  owner.send({ type: "drain" });
  assert.equal(owner.refusals()[long], "draining may-have-run");
});
