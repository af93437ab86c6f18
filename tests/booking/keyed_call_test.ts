import assert from "node:assert/strict";
import { test } from "node:test";
import { millis } from "../../src/core/clock.ts";
import { BookingSetup, describeReply } from "./setup.ts";

// Guards against keyed calls that run twice or are reported with a wrong outcome.

const unknown = "outcomeUnknown may-have-run";
const inProgress = "callInProgress may-have-run";

test("a key used again through another node gets the recorded answer", async () => {
  const setup = new BookingSetup();
  const [first, second] = [setup.createNode("a"), setup.createNode("b")];
  assert.equal(await setup.callAndDescribe(first, { key: "k" }), "201");
  assert.equal(
    await setup.callAndDescribe(second, { key: "k" }),
    "201 replayed",
  );
  assert.equal(
    await setup.callAndDescribe(first, { key: "k" }),
    "201 replayed",
  );
  assert.equal(setup.runs, 1);
});

test("a key used again with another body is refused without a run", async () => {
  const setup = new BookingSetup();
  const node = setup.createNode("a");
  await setup.callAndDescribe(node, { key: "k" });
  const again = { key: "k", body: "three sets" };
  assert.equal(await setup.callAndDescribe(node, again), "keyReused not-run");
  assert.equal(setup.runs, 1);
});

test("the same key of two customers names two calls", async () => {
  const setup = new BookingSetup();
  const node = setup.createNode("a");
  await setup.callAndDescribe(node, { key: "k" });
  const other = { key: "k", customer: "wisla" };
  assert.equal(await setup.callAndDescribe(node, other), "201");
  assert.equal(setup.runs, 2);
});

test("the same key through two nodes at once runs once", async () => {
  const setup = new BookingSetup();
  const nodes = [setup.createNode("a"), setup.createNode("b")];
  const replies = [...nodes, ...nodes].map((node) =>
    setup.call(node, { key: "k" }),
  );
  await setup.clock.advance(millis(1_000));
  const described = replies.map((reply) => describeReply(reply())).sort();
  assert.deepEqual(described, ["201", inProgress, inProgress, inProgress]);
  assert.equal(setup.runs, 1);
});

test("a lost answer to the claim does not lose or repeat the call", async () => {
  for (const fault of ["lost", "dropped"] as const) {
    const setup = new BookingSetup();
    const node = setup.createNode("a");
    setup.tableFault = fault;
    const reply = setup.call(node, { key: "k" });
    await setup.clock.advance(millis(1));
    setup.tableFault = undefined;
    await setup.clock.advance(millis(1_000));
    assert.equal(describeReply(reply()), "201", fault);
    assert.equal(
      await setup.callAndDescribe(node, { key: "k" }),
      "201 replayed",
      fault,
    );
    assert.equal(setup.runs, 1, fault);
  }
});

test("a claim that cannot be recorded is refused as not run within the deadline", async () => {
  for (const fault of ["down", "lost", "dropped", "silent"] as const) {
    const setup = new BookingSetup();
    const node = setup.createNode("a");
    setup.tableFault = fault;
    const reply = setup.call(node, { key: "k", within: 1_500 });
    await setup.clock.advance(millis(2_100));
    assert.equal(describeReply(reply()), "claimUnavailable not-run", fault);
    setup.tableFault = undefined;
    await setup.clock.advance(millis(10_000));
    assert.equal(setup.runs, 0, fault);
    assert.equal(await setup.callAndDescribe(node, { key: "k" }), "201", fault);
    assert.equal(setup.runs, 1, fault);
  }
});

test("an outage refuses keyed calls at once after its first seconds", async () => {
  const setup = new BookingSetup();
  const node = setup.createNode("a");
  setup.tableFault = "down";
  for (let call = 0; call < 5; call++) {
    const shape = { key: `k${call}` };
    assert.equal(
      await setup.callAndDescribe(node, shape),
      "claimUnavailable not-run",
    );
  }
  const reply = setup.call(node, { key: "late" });
  await setup.clock.advance(millis(60));
  assert.equal(describeReply(reply()), "claimUnavailable not-run");
  assert.equal(setup.runs, 0);
});

test("a call that may have run is never sent again under its key", async () => {
  const expected = {
    broken: "serviceBroken may-have-run",
    silent: "serviceTimeout may-have-run",
    crossed: "crossedAnswer may-have-run",
  };
  for (const fault of ["broken", "silent", "crossed"] as const) {
    const setup = new BookingSetup();
    const [first, second] = [setup.createNode("a"), setup.createNode("b")];
    setup.failServers(fault);
    assert.equal(
      await setup.callAndDescribe(first, { key: "k" }),
      expected[fault],
    );
    // After a timeout the outcome is awaited for another 10 s.
    await setup.clock.advance(millis(11_000));
    setup.failServers(undefined);
    assert.equal(await setup.callAndDescribe(first, { key: "k" }), unknown);
    assert.equal(await setup.callAndDescribe(second, { key: "k" }), unknown);
    assert.equal(setup.runs, 1);
  }
});

test("a call that no server took may run under the same key", async () => {
  const setup = new BookingSetup();
  const node = setup.createNode("a");
  setup.failServers("unreachable");
  const refusal = "serviceUnreachable not-run";
  assert.equal(await setup.callAndDescribe(node, { key: "k" }), refusal);
  setup.failServers(undefined);
  assert.equal(await setup.callAndDescribe(node, { key: "k" }), "201");
  assert.equal(setup.runs, 1);
});

test("one server that cannot be reached does not fail the call", async () => {
  const setup = new BookingSetup();
  const node = setup.createNode("a");
  const [first, second] = setup.servers;
  if (first !== undefined) first.fault = "unreachable";
  if (second !== undefined) second.fault = "leaving";
  for (let call = 0; call < 10; call++) {
    assert.equal(await setup.callAndDescribe(node, { key: `k${call}` }), "201");
  }
  assert.equal(setup.runs, 10);
});

test("an answer after the deadline is recorded although the caller got a timeout", async () => {
  const setup = new BookingSetup();
  const node = setup.createNode("a");
  setup.failServers("slow");
  const shape = { key: "k", within: 1_000 };
  assert.equal(
    await setup.callAndDescribe(node, shape),
    "serviceTimeout may-have-run",
  );
  assert.equal(await setup.callAndDescribe(node, { key: "k" }), inProgress);
  await setup.clock.advance(millis(3_000));
  assert.equal(await setup.callAndDescribe(node, { key: "k" }), "201 replayed");
  assert.equal(setup.runs, 1);
});

test("the key of a killed node becomes unknown when its session is gone", async () => {
  const setup = new BookingSetup();
  const [first, second] = [setup.createNode("a"), setup.createNode("b")];
  setup.call(first, { key: "k", within: 60_000 });
  await setup.clock.advance(millis(7));
  first.callManager.stop();
  assert.equal(await setup.callAndDescribe(second, { key: "k" }), inProgress);
  setup.renewSession("a", undefined);
  assert.equal(await setup.callAndDescribe(second, { key: "k" }), unknown);
});

test("the key of a killed node becomes unknown after the deadline of its call", async () => {
  const setup = new BookingSetup();
  const [first, second] = [setup.createNode("a"), setup.createNode("b")];
  setup.call(first, { key: "k", within: 2_000 });
  await setup.clock.advance(millis(7));
  first.callManager.stop();
  assert.equal(await setup.callAndDescribe(second, { key: "k" }), inProgress);
  await setup.clock.advance(millis(20_000));
  assert.equal(await setup.callAndDescribe(second, { key: "k" }), unknown);
});

test("a claimant that lost its lease does not send a call that was reported as unknown", async () => {
  const setup = new BookingSetup();
  const [first, second] = [setup.createNode("a"), setup.createNode("b")];
  const reply = setup.call(first, { key: "k" });
  await setup.clock.advance(millis(1));
  first.lease = undefined;
  setup.renewSession("a", undefined);
  await setup.clock.advance(millis(5));
  const other = setup.call(second, { key: "k" });
  await setup.clock.advance(millis(2_000));
  assert.equal(describeReply(reply()), "claimUnavailable not-run");
  assert.notEqual(describeReply(other()), "201 replayed");
  assert.equal(setup.runs, describeReply(other()) === "201" ? 1 : 0);
});

test("a released key stays unknown once that was reported to a caller", async () => {
  const setup = new BookingSetup();
  const [first, second] = [setup.createNode("a"), setup.createNode("b")];
  setup.failServers("unreachable");
  setup.rows.delay = 200;
  const reply = setup.call(first, { key: "k" });
  await setup.clock.advance(millis(150));
  setup.renewSession("a", undefined);
  const other = setup.call(second, { key: "k" });
  await setup.clock.advance(millis(5_000));
  assert.equal(describeReply(reply()), "serviceUnreachable not-run");
  setup.failServers(undefined);
  const reported = describeReply(other());
  const again = await setup.callAndDescribe(second, { key: "k" });
  if (reported === unknown) assert.equal(again, unknown);
  else assert.ok(["201", "201 replayed"].includes(again), again);
});

test("an answer too long to keep is passed on once and reported as run after that", async () => {
  const setup = new BookingSetup();
  const node = setup.createNode("a");
  const shape = { key: "k", body: "long".repeat(10_000) };
  assert.equal(await setup.callAndDescribe(node, shape), "201");
  assert.equal(await setup.callAndDescribe(node, shape), "answerNotKept ran");
  assert.equal(setup.runs, 1);
});

test("outcomes of an outage are recorded after it, and settle waits for them", async () => {
  const setup = new BookingSetup();
  const [first, second] = [setup.createNode("a"), setup.createNode("b")];
  setup.failServers("slow");
  const reply = setup.call(first, { key: "k" });
  await setup.clock.advance(millis(100));
  setup.tableFault = "down";
  await setup.clock.advance(millis(3_600_000));
  assert.equal(describeReply(reply()), "201");
  let settled = false;
  void first.callManager.waitIdle().then(() => {
    settled = true;
  });
  await setup.clock.advance(millis(100));
  assert.equal(settled, false);
  setup.tableFault = undefined;
  await setup.clock.advance(millis(10_000));
  assert.equal(settled, true);
  assert.equal(
    await setup.callAndDescribe(second, { key: "k" }),
    "201 replayed",
  );
});
