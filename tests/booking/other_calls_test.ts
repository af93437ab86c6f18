import assert from "node:assert/strict";
import { test } from "node:test";
import { millis } from "../../src/core/clock.ts";
import { maxCallsInFlight } from "../../src/node/service_call_manager.ts";
import { BookingSetup, describeReply } from "./setup.ts";

// Guards against repeated sends of calls that may run only once, and against extra
// sends of lookups beyond their budget.

const lookup = { method: "GET", path: "/stock/zakopane?size=7" };

test("a call without a key is sent once even when its answer is lost", async () => {
  for (const fault of ["broken", "crossed", "silent", "slow"] as const) {
    const setup = new BookingSetup();
    const node = setup.createNode("a");
    setup.failServers(fault);
    const reply = await setup.callAndDescribe(node, { within: 1_000 });
    assert.match(reply, /may-have-run$/, fault);
    assert.equal(setup.runs, 1, fault);
  }
});

test("a call without a key is sent to another server when one did not take it", async () => {
  const setup = new BookingSetup();
  const node = setup.createNode("a");
  setup.servers.slice(1).forEach((server) => {
    server.fault = "unreachable";
  });
  assert.equal(await setup.callAndDescribe(node), "201");
  assert.equal(setup.runs, 1);
});

test("calls without a key and lookups are served while the table is down", async () => {
  const setup = new BookingSetup();
  const node = setup.createNode("a");
  setup.tableFault = "down";
  const writes = setup.rows.totals.writes;
  assert.equal(await setup.callAndDescribe(node), "201");
  assert.equal(await setup.callAndDescribe(node, lookup), "201");
  assert.equal(setup.rows.totals.writes, writes);
});

test("a lookup is sent to another server after a failure", async () => {
  for (const fault of [
    "broken",
    "crossed",
    "unreachable",
    "leaving",
  ] as const) {
    const setup = new BookingSetup();
    const node = setup.createNode("a");
    for (const server of setup.servers.slice(1)) server.fault = fault;
    for (let call = 0; call < 5; call++) {
      assert.equal(await setup.callAndDescribe(node, lookup), "201", fault);
    }
  }
});

test("a lookup at a silent server is hedged and answered in time", async () => {
  const setup = new BookingSetup();
  const node = setup.createNode("a");
  const [silent] = setup.servers;
  if (silent !== undefined) silent.fault = "silent";
  for (let call = 0; call < 5; call++) {
    const reply = setup.call(node, { ...lookup, within: 1_000 });
    await setup.clock.advance(millis(400));
    assert.equal(describeReply(reply()), "201");
  }
});

test("extra sends of lookups stay within their budget", async () => {
  const setup = new BookingSetup();
  const node = setup.createNode("a");
  setup.failServers("broken");
  const calls = 400;
  for (let call = 0; call < calls; call++) {
    const reply = setup.call(node, { ...lookup, within: 300 });
    await setup.clock.advance(millis(300));
    assert.match(describeReply(reply()), /serviceBroken|serviceUnreachable/);
  }
  // The full budget is 20 retries and 10 hedges, and each call earns 0.15.
  assert.ok(setup.runs <= calls * 1.15 + 30, `${setup.runs} runs`);
});

test("a path that only starts like a lookup is not repeated", async () => {
  const setup = new BookingSetup();
  const node = setup.createNode("a");
  setup.failServers("broken");
  const shape = { method: "GET", path: "/stock-charge" };
  assert.equal(
    await setup.callAndDescribe(node, shape),
    "serviceBroken may-have-run",
  );
  assert.equal(setup.runs, 1);
});

test("a server that is leaving gets no new call", async () => {
  const setup = new BookingSetup();
  const node = setup.createNode("a");
  node.leaving.add("s0");
  const [, second] = setup.servers;
  if (second !== undefined) second.fault = "leaving";
  for (let call = 0; call < 20; call++) {
    assert.equal(await setup.callAndDescribe(node, { key: `k${call}` }), "201");
  }
  if (second !== undefined) second.fault = undefined;
  for (let call = 0; call < 20; call++)
    await setup.callAndDescribe(node, lookup);
  assert.deepEqual(
    new Set(setup.ran.map(({ server }) => server)),
    new Set(["s2"]),
  );
  assert.equal(setup.runs, 40);
});

test("calls beyond the bound of a node are refused as not run", async () => {
  const setup = new BookingSetup();
  const node = setup.createNode("a");
  setup.failServers("silent");
  for (let call = 0; call < maxCallsInFlight; call++) setup.call(node);
  const last = setup.call(node);
  await setup.clock.advance(millis(100));
  assert.equal(describeReply(last()), "tooManyInFlight not-run");
  assert.equal(setup.runs, maxCallsInFlight);
  await setup.clock.advance(millis(10_000));
  setup.failServers(undefined);
  assert.equal(await setup.callAndDescribe(node), "201");
});

test("an unknown service is refused", async () => {
  const setup = new BookingSetup();
  const node = setup.createNode("a");
  const shape = { service: "nowhere" };
  assert.equal(
    await setup.callAndDescribe(node, shape),
    "unknownService not-run",
  );
});
