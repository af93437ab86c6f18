import assert from "node:assert/strict";
import { test } from "node:test";
import { LeaseFleet } from "./lease_fleet.ts";

// A holder that waited like a successor left its engine without orders for 10 s.
test("after a restore a holder goes on, and a claim that was lost is made again", async () => {
  const fleet = new LeaseFleet({ nodes: 4, engines: 3, seed: 1 });
  await fleet.run(20_000, () => {});
  const holders = new Map(fleet.orders.map((order) => [order.engine, order]));
  fleet.restore(2);
  const restoredAt = fleet.clock.now();
  await fleet.run(4_000, () => {});
  for (const [engine, { machine, fence }] of holders) {
    const later = fleet.orders.filter(
      (order) => order.engine === engine && order.at > restoredAt + 3_000,
    );
    assert.ok(later.length > 0, engine);
    for (const order of later) {
      assert.equal(order.machine, machine);
      assert.ok(order.fence > fence);
    }
  }
});
