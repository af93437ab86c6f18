import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../../src/adapters/random/seeded_random.ts";
import { countMaxLoads } from "./model_engine.ts";
import { ModelFleet, type OrderFate } from "./model_fleet.ts";

/** Allowed loads from the weight store in five seconds, for 3.4 per second. */
const maxLoadsInFiveSeconds = 3.4 * 5 * 1.1 + 3;

function createFleet(held: readonly number[], models: number, seed = 1) {
  const random = createSeededRandom(seed);
  return new ModelFleet({ held, models, random });
}

/** Checks that no model with demand is served less than a quarter as often as all together. */
function assertFairShares(fleet: ModelFleet, models: number): void {
  const shares = Array.from({ length: models }, (_, i) => fleet.getShare(i));
  const mean = shares.reduce((sum, share) => sum + share, 0) / models;
  for (const [i, share] of shares.entries()) {
    assert.ok(share >= mean / 4, `m${i}: ${share} of ${shares}`);
  }
}

// Pattern: several base models on engines that hold one. Models that no engine
// held at the start were never served.
test("three models in demand share the engines that all held one of them", () => {
  const fleet = createFleet([0, 0, 0, 0, 0, 0, 0, 0], 3);
  fleet.rates = [24, 9, 7];
  fleet.run(25_000);
  fleet.resetCounts();
  fleet.run(20_000);
  assertFairShares(fleet, 3);
  for (let i = 0; i < 3; i++) assert.ok(fleet.getShare(i) > 0.8, `m${i}`);
});

test("a model that is hardly asked for does not displace those in use", () => {
  const fleet = createFleet([0, 0, 0, 1, 1, 1, 2, 2], 12);
  fleet.rates = [20, 18, 15, ...Array.from({ length: 9 }, () => 0.1)];
  fleet.run(60_000);
  assert.ok(fleet.loads.length <= 4, `${fleet.loads.length} loads`);
  for (let i = 0; i < 3; i++) assert.ok(fleet.getShare(i) > 0.9, `m${i}`);
});

test("engines that nothing uses change to a model in demand within seconds", () => {
  const fleet = createFleet([0, 0, 1, 1], 3);
  fleet.rates = [10, 0, 0];
  fleet.run(12_000);
  fleet.rates = [10, 0, 10];
  fleet.run(6_000);
  fleet.resetCounts();
  fleet.run(10_000);
  assert.ok(fleet.getShare(2) > 0.9, `${fleet.getShare(2)}`);
});

test("when demand moves, the engines follow within fifteen seconds", () => {
  const fleet = createFleet([0, 0, 0, 0, 0, 1, 1, 2], 3);
  fleet.rates = [24, 9, 7];
  fleet.run(15_000);
  fleet.rates = [10, 9, 21];
  fleet.run(15_000);
  fleet.resetCounts();
  fleet.run(15_000);
  for (let i = 0; i < 3; i++) assert.ok(fleet.getShare(i) > 0.8, `m${i}`);
});

test("the last copy of a model in use is kept although others are wanted more", () => {
  const fleet = createFleet([0, 1], 2);
  fleet.rates = [60, 1];
  fleet.run(30_000);
  assert.equal(fleet.countHolders()[1], 1);
  assert.ok(fleet.getShare(1) > 0.95);
});

test("an engine that returns empty gets the model that lacks engines most", () => {
  const fleet = createFleet([0, 0, 0, 1], 2);
  fleet.rates = [6, 30];
  fleet.run(4_000);
  fleet.restart(3);
  fleet.restart(0);
  fleet.run(12_000);
  fleet.resetCounts();
  fleet.run(10_000);
  assert.ok(fleet.getShare(1) > 0.6, `${fleet.getShare(1)}`);
  assert.ok(fleet.getShare(0) > 0.6, `${fleet.getShare(0)}`);
});

// Guards against engines that crash because they are ordered to hold more than their memory.
test("lost and late orders never exceed the memory or the rate of loads", () => {
  for (let seed = 1; seed <= 20; seed++) {
    const random = createSeededRandom(seed);
    const fleet = createFleet([0, 0, 0, 1, 1, 2, 2, 3], 6, seed);
    const fates: OrderFate[] = ["answered", "answered", "lost", "late"];
    fleet.loadSlowdown = 2;
    fleet.chooseFate = () => fates[Math.floor(random() * 4)] as OrderFate;
    for (let phase = 0; phase < 8; phase++) {
      fleet.rates = Array.from({ length: 6 }, () => random() * 16);
      fleet.run(5_000);
      if (random() < 0.3) fleet.restart(Math.floor(random() * 8));
    }
    assert.equal(fleet.violations, 0, `seed ${seed}`);
    const loads = countMaxLoads(fleet.loads, 5_000);
    assert.ok(loads <= maxLoadsInFiveSeconds, `seed ${seed}: ${loads} loads`);
  }
});

// Guards against a second load into the memory that a slow first one still takes:
// the engine crashes once the first is complete. While it loads, the engine
// refuses every other order.
test("a load that takes longer than expected keeps its memory, and no order is sent meanwhile", () => {
  for (let seed = 1; seed <= 10; seed++) {
    const held = [0, 0, 0, 1, 1, 2, 2, 3];
    const random = createSeededRandom(seed);
    const fleet = new ModelFleet({ held, models: 6, capacity: 2, random });
    fleet.loadSlowdown = 2;
    for (let phase = 0; phase < 6; phase++) {
      const wanted = phase % 6;
      fleet.rates = Array.from({ length: 6 }, (_, i) =>
        i === wanted ? 40 : 2,
      );
      fleet.run(8_000);
    }
    assert.equal(fleet.violations, 0, `seed ${seed}`);
    assert.ok(fleet.loads.length > 3);
    assert.equal(fleet.refusedOrders, 0, `seed ${seed}`);
  }
});
