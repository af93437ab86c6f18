import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../../src/adapters/random/seeded_random.ts";
import { PermitFleet } from "../../src/bench/permit_fleet.ts";
import { millis } from "../../src/core/clock.ts";

/** Seeds that each case is run with. */
const seeds = 60;
/** Time after which every node has heard of the limit and may give out permits, in ms. */
const settleTime = 5_000;
const duration = 45_000;

type Case = {
  readonly name: string;
  readonly nodes: number;
  readonly limit: number;
  readonly hasChurn: boolean;
  readonly loss: number;
};

const cases: Case[] = [
  { name: "one node", nodes: 1, limit: 1.4, hasChurn: false, loss: 0 },
  { name: "8 nodes", nodes: 8, limit: 1.4, hasChurn: false, loss: 0 },
  {
    name: "8 nodes that join, end and freeze, with lost messages",
    nodes: 8,
    limit: 1.4,
    hasChurn: true,
    loss: 0.1,
  },
  {
    name: "20 nodes that join, end and freeze, with lost messages",
    nodes: 20,
    limit: 20,
    hasChurn: true,
    loss: 0.1,
  },
];

/** Joins, ends and freezes of nodes at random times. */
function schedule(fleet: PermitFleet, random: () => number): void {
  for (let at = settleTime; at < duration; at += 2_000 + random() * 3_000)
    fleet.clock.schedule(millis(at), () => fleet.disturb());
}

for (const { name, nodes, limit, hasChurn, loss } of cases) {
  // Each of the nodes kept to the limit, and all of them together broke it.
  test(`no server gets more than it allows in 4 s, and most of what it allows: ${name}`, async () => {
    for (let seed = 1; seed <= seeds; seed++) {
      const random = createSeededRandom(seed);
      const demand = limit * 3;
      const fleet = PermitFleet.create({ nodes, limit, demand, loss, random });
      if (hasChurn) schedule(fleet, random);
      await fleet.run(duration);
      const worst = fleet.findWorstRatio(settleTime);
      assert.ok(worst <= 1, `seed ${seed}: ${worst} of what is allowed`);
      if (hasChurn) continue;
      const use = fleet.findUse(settleTime, duration);
      assert.ok(use >= 0.9, `seed ${seed}: ${use} of the limit used`);
    }
  });
}
