import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createOrganisation, QuotaFleet } from "./quota_fleet.ts";
import {
  assertPassed,
  assertRule,
  createLoad,
  hot,
  large,
  small,
  usual,
} from "./quota_loads.ts";

describe("quotas in failures", () => {
  const all = [small, large];
  const seeds = [1, 2, 3, 4, 5];

  /**
   * Plays the usual demand of one organisation and 7 times that of the other,
   * with disturbances. A play has some nine large requests, a quarter of the
   * demand, so that the share is that of several plays.
   */
  async function playDisturbed(
    disturb: (fleet: QuotaFleet) => Promise<void>,
    {
      share = 0.9,
      prepare = () => {},
    }: { share?: number; prepare?: (fleet: QuotaFleet) => void } = {},
  ): Promise<void> {
    const sum = { asked: 0, taken: 0 };
    for (const seed of seeds) {
      const fleet = new QuotaFleet(70, all, seed);
      prepare(fleet);
      await fleet.run(2_000);
      fleet.startLoad(createLoad(fleet, large, hot), 20_000);
      const load = fleet.startLoad(createLoad(fleet, small, usual), 20_000);
      await disturb(fleet);
      await fleet.run(Math.max(0, 22_200 - fleet.clock.now()));
      assertRule(fleet, ...all);
      sum.asked += load.asked;
      sum.taken += load.taken;
    }
    assertPassed(sum, share);
  }

  // Guards against copies of credit, and against a pool whose end stops all others.
  it("bear kills of pools one after another", async () => {
    await playDisturbed(async (fleet) => {
      for (let i = 0; i < 10; i++) {
        // The nodes that receive most are the pools.
        const [busiest] = [...fleet.nodes]
          .filter(({ quotas }) => quotas !== undefined)
          .sort((a, b) => b.sent - a.sent);
        if (busiest === undefined) break;
        fleet.kill(busiest);
        await fleet.run(700);
        if (i % 2 === 0) fleet.start(busiest);
        await fleet.run(700);
      }
    });
  });

  // Guards against seconds without credit after a restart, and against credit for each start.
  it("bear the restart of half and of all nodes", async () => {
    await playDisturbed(async (fleet) => {
      for (const part of [0.5, 1, 1]) {
        await fleet.run(4_000);
        const chosen = fleet.nodes.filter(() => fleet.random() < part);
        for (const node of chosen) fleet.kill(node);
        await fleet.run(300);
        for (const node of chosen) fleet.start(node);
      }
    });
  });

  // Guards against a wait for other nodes before a node earns its part again.
  it("let demand through a second after all nodes have started again", async () => {
    const fleet = new QuotaFleet(70, all);
    await fleet.run(5_000);
    for (const node of fleet.nodes) fleet.kill(node);
    for (const node of fleet.nodes) fleet.start(node);
    await fleet.run(1_000);
    assertPassed(
      await fleet.play(createLoad(fleet, large, usual), 3_000),
      0.95,
    );
  });

  // Guards against refusals of all callers that return together when all nodes are back.
  it("let the callers of half a second in at once after all nodes have started again", async () => {
    const fleet = new QuotaFleet(70, all);
    await fleet.run(5_000);
    for (const node of fleet.nodes) fleet.kill(node);
    await fleet.run(2_000);
    for (const node of fleet.nodes) fleet.start(node);
    await fleet.run(300);
    const load = createLoad(fleet, large, 5 * usual);
    assertPassed(await fleet.play(load, 100), 0.8);
    assertRule(fleet, large);
  });

  // Guards against two pools that both give out the whole rate.
  it("bear partitions between data centres", async () => {
    const disturb = async (fleet: QuotaFleet) => {
      const names = [...new Set(fleet.nodes.map((node) => node.dataCentre))];
      for (const cut of [names.slice(0, 1), names.slice(0, 3), names]) {
        for (const name of cut) fleet.cut.add(name);
        await fleet.run(3_000);
        fleet.cut.clear();
        await fleet.run(2_000);
      }
    };
    await playDisturbed(disturb);
  });

  // Guards against credit that a message brings twice.
  it("bear lost and duplicated messages", async () => {
    const prepare = (fleet: QuotaFleet) => {
      fleet.loss = 0.03;
      fleet.duplicates = 1;
    };
    await playDisturbed(async () => {}, { share: 0.95, prepare });
  });

  // Guards against a node that earns nothing, or too much, without the table.
  it("bear a list of nodes that cannot be read, while nodes join", async () => {
    await playDisturbed(async (fleet) => {
      await fleet.run(3_000);
      fleet.isListReadable = false;
      for (let i = 0; i < 15; i++) fleet.join();
      await fleet.run(8_000);
      fleet.isListReadable = true;
    });
  });

  // Guards against credit from before that outlives a lower limit.
  it("keep to a lowered limit at once", async () => {
    const fleet = new QuotaFleet(70, [large]);
    await fleet.run(4_000);
    const lower = createOrganisation("large", 60_000);
    fleet.startLoad(createLoad(fleet, large, hot), 12_000);
    await fleet.run(2_000);
    fleet.configure([lower]);
    await fleet.run(10_000);
    const worst = fleet.findWorstWindow(lower, 6_000);
    assert.ok(worst <= 1, `${worst} of the rule`);
  });

  // Guards against credit for organisations that are gone, and none for those that come back.
  it("let a raised limit be used", async () => {
    const fleet = new QuotaFleet(8, [small]);
    await fleet.run(2_000);
    const higher = createOrganisation("small", 120_000);
    fleet.configure([higher]);
    await fleet.run(1_500);
    assertPassed(
      await fleet.play(createLoad(fleet, higher, usual), 4_000),
      0.95,
    );
  });
});
