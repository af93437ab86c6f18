import assert from "node:assert/strict";
import { test } from "node:test";
import {
  brandNumber,
  brandString,
  type RowKey,
  type StoreEpoch,
} from "../../src/core/ids.ts";
import { GatewayFixture } from "./gateway_fixture.ts";
import {
  createDemand,
  createEngine,
  createRoute,
  engines,
} from "./gateway_values.ts";

/** Starts a gateway with one engine that holds adapter a1. */
function startGateway(): GatewayFixture {
  const fixture = new GatewayFixture();
  const targets = [{ service: engines, weight: 1 }];
  fixture.configure([createRoute({ retryRule: "stream", targets })]);
  fixture.register(createEngine("i-1", ["a1"]));
  return fixture;
}

// Guards against a node that never reads its leases again after one call that throws.
test("a read of the leases that throws is followed by others", async () => {
  const fixture = startGateway();
  fixture.rejectedLeaseReads = 2;
  await fixture.advance(4_000);
  fixture.open({ demand: createDemand("a7") });
  await fixture.advance(500);
  assert.equal(fixture.orders[0]?.adapter, "a7");
});

// Guards against a caller that waits for a model that no engine will hold.
test("a request for a model that no engine changes to is refused at once as not run", async () => {
  const fixture = startGateway();
  await fixture.advance(4_000);
  const demand = { ...createDemand("a1"), model: brandString<never>("m9") };
  const { answer } = fixture.open({ demand });
  await fixture.advance(100);
  assert.equal(answer.outcome, "refused");
  assert.equal(answer.refusal?.outcome, "not-run");
  assert.ok((answer.refusal?.retryAfter ?? 0) > 0);
});

// The other nodes no longer found a node whose address a restore had removed.
test("the address of a node is written again in each epoch, once", async () => {
  const fixture = startGateway();
  await fixture.advance(4_000);
  const key = brandString<RowKey>("node/n1");
  await fixture.table.transact({
    attempt: brandString("test"),
    conditions: [],
    writes: [{ key, value: undefined }],
  });
  fixture.epoch = brandNumber(1);
  await fixture.advance(2_600);
  const row = (await fixture.table.read(key)).orDefault(undefined);
  assert.deepEqual(row?.value, {
    dataCentre: "tatry-a",
    address: "10.0.0.9:7000",
    epoch: 1,
  });
  await fixture.advance(6_000);
  const before = fixture.tableWrites;
  await fixture.advance(6_000);
  assert.equal(fixture.tableWrites, before);
});

// The condition of a claim can hold for a row of another epoch.
test("a claim that is committed in another epoch than that of its basis confers no right", async () => {
  const fixture = startGateway();
  fixture.commitEpoch = brandNumber<StoreEpoch>(1);
  await fixture.advance(4_000);
  fixture.open({ demand: createDemand("a7") });
  await fixture.advance(500);
  assert.equal(fixture.orders.length, 0);
  fixture.commitEpoch = undefined;
  await fixture.advance(1_000);
  fixture.open({ demand: createDemand("a7") });
  await fixture.advance(500);
  assert.equal(fixture.orders[0]?.adapter, "a7");
});
