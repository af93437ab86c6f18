import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Organisation } from "../../src/core/gateway/organisations.ts";
import { createOrganisation, type Load, QuotaFleet } from "./quota_fleet.ts";

/** Organisations of a deployment, by their quotas. */
export const small = createOrganisation("small", 29_000);
export const medium = createOrganisation("medium", 100_000);
export const large = createOrganisation("large", 270_000);
/** Parts of the quota that an organisation usually asks for, and at most. */
export const usual = 1 / 1.8;
export const hot = 7 / 1.8;
/** Data centres of the fleet. */
const dataCentres = 6;

/** Requests of usual sizes, and a few large ones. */
export function createLoad(
  fleet: QuotaFleet,
  organisation: Organisation,
  factor: number,
  chooseNode = () => Math.floor(fleet.random() * fleet.nodes.length),
): Load {
  const { random } = fleet;
  const drawUnits = () =>
    random() < 0.03 ? 9_000 : 650 + Math.floor(random() * 250);
  const rate = (organisation.quota?.rate ?? 0) * factor;
  return { organisation, rate, drawUnits, chooseNode };
}

/** A node of the data centre that the demand is at, which changes every 1.5 s. */
function chooseMovingNode(fleet: QuotaFleet): () => number {
  return () => {
    const at = Math.floor(fleet.clock.now() / 1_500) % dataCentres;
    const nodes = fleet.nodes.length;
    const perCentre = Math.ceil((nodes - at) / dataCentres);
    return at + dataCentres * Math.floor(fleet.random() * perCentre);
  };
}

/** Checks that no window of 8 s exceeds what the rule allows. */
export function assertRule(
  fleet: QuotaFleet,
  ...all: readonly Organisation[]
): void {
  for (const organisation of all) {
    const worst = fleet.findWorstWindow(organisation);
    assert.ok(worst <= 1, `${organisation.name}: ${worst} of the rule`);
  }
}

export function assertPassed(
  { asked, taken }: { asked: number; taken: number },
  share: number,
): void {
  const part = taken / asked;
  assert.ok(part >= share, `${part} was let through`);
}

/** Describes the tests of one size of fleet; each load is played for `duration` ms. */
export function describeFleet(nodes: number, duration: number): void {
  describe(`quotas of ${nodes} nodes`, () => {
    for (const organisation of [small, large]) {
      // Guards against equal shares, which starve organisations whose callers reach few nodes.
      it(`let ${organisation.name} demand below the limit through at one node`, async () => {
        const fleet = new QuotaFleet(nodes, [small, large]);
        await fleet.run(2_000);
        const load = createLoad(fleet, organisation, usual, () => 3);
        assertPassed(await fleet.play(load, duration), 0.95);
      });

      // Guards against credit that stays where it was earned, and is used up by expiry.
      it(`let ${organisation.name} demand through that is spread or moves`, async () => {
        const fleet = new QuotaFleet(nodes, [small, large]);
        await fleet.run(2_000);
        const spread = createLoad(fleet, organisation, usual);
        assertPassed(await fleet.play(spread, duration), 0.95);
        const choose = chooseMovingNode(fleet);
        const moving = createLoad(fleet, organisation, usual, choose);
        assertPassed(await fleet.play(moving, duration), 0.95);
      });
    }

    // Guards against limits that each node keeps to alone.
    it("keep three organisations with 7 times their usual demand to the rule", async () => {
      const all = [small, medium, large];
      const fleet = new QuotaFleet(nodes, all);
      for (const one of all)
        fleet.startLoad(createLoad(fleet, one, hot), duration);
      await fleet.run(duration);
      assertRule(fleet, ...all);
    });
  });
}
