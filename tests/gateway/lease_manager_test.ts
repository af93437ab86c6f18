import assert from "node:assert/strict";
import { test } from "node:test";
import { brandString } from "../../src/core/ids.ts";
import {
  createDemand,
  createEngine,
  createRoute,
  engines,
  GatewayFixture,
} from "./gateway_fixture.ts";

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
