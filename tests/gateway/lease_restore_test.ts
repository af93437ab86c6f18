import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../../src/adapters/random/seeded_random.ts";
import { LeaseFleet, type SentOrder } from "./lease_fleet.ts";

/** Time within which two holders must not take turns, in ms. */
const minTurnTime = 3_000;

/** Violations of the rules for the orders to one engine, in the order in which they were sent. */
function findViolations(orders: readonly SentOrder[]): string[] {
  const violations: string[] = [];
  const holders = new Map<number, string>();
  let last: SentOrder | undefined;
  for (const order of orders) {
    const { machine, fence, at } = order;
    const holder = holders.get(fence) ?? machine;
    holders.set(fence, holder);
    const label = `${machine} with ${fence} at ${at}`;
    if (holder !== machine) violations.push(`${label}: fence of ${holder}`);
    if (last !== undefined && fence < last.fence)
      violations.push(`${label}: after ${last.fence}`);
    if (last !== undefined && machine !== last.machine) {
      if (at < last.at + minTurnTime)
        violations.push(`${label}: ${last.machine} ordered at ${last.at}`);
    }
    last = order;
  }
  return violations;
}

function checkOrders(fleet: LeaseFleet, label: string): void {
  for (const engine of new Set(fleet.orders.map((order) => order.engine))) {
    const orders = fleet.orders.filter((order) => order.engine === engine);
    const [violation] = findViolations(orders);
    assert.equal(violation, undefined, `${label}, ${engine}: ${violation}`);
  }
}

// Guards against two holders with one fencing number, and against two nodes
// that order in the same period, when leases and claims are lost by a restore.
test("across restores one machine at a time sends orders, with rising fencing numbers", async () => {
  let orders = 0;
  for (let seed = 1; seed <= 60; seed++) {
    const random = createSeededRandom(seed);
    const restoreRate = seed % 2 === 0 ? 0.02 : 0.006;
    const fleet = new LeaseFleet({ nodes: 4, engines: 3, seed });
    await fleet.run(90_000, () => {
      const node = fleet.nodes[Math.floor(random() * 4)];
      if (node === undefined) return;
      if (random() < 0.04) node.isConnected = !node.isConnected;
      if (random() < 0.04) node.isHeard = !node.isHeard;
      if (random() < 0.01) fleet.restart(node);
      if (random() < restoreRate) fleet.restore(Math.floor(random() * 6));
    });
    orders += fleet.orders.length;
    checkOrders(fleet, `seed ${seed}`);
  }
  assert.ok(orders > 60_000, `${orders} orders`);
});

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
