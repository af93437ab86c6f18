import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../../src/adapters/random/seeded_random.ts";
import { claimRetention } from "../../src/core/booking/claim.ts";
import { millis } from "../../src/core/clock.ts";
import { brandString } from "../../src/core/ids.ts";
import { ClaimSweep } from "../../src/node/claim_sweep.ts";
import { silentMeter } from "../../src/ports/journal.ts";
import { BookingSetup } from "./setup.ts";

// Guards against claims that are removed while a caller may still repeat the key,
// and against claims that are never removed.

const hour = 3_600_000;

test("claims are removed after the retention and not before", async () => {
  const setup = new BookingSetup();
  const node = setup.createNode("a");
  await setup.callAndDescribe(node, { key: "old" });
  await setup.clock.advance(millis(claimRetention / 2));
  await setup.callAndDescribe(node, { key: "new" });
  const countClaims = async () =>
    (await setup.rows.scan("claim/")).orDefault([]).length;
  await setup.clock.advance(millis(claimRetention / 2 - hour));
  const sweep = ClaimSweep.create({
    clock: setup.clock,
    table: setup.table,
    meter: silentMeter,
    random: createSeededRandom(3),
    nodeId: node.id,
    services: [brandString("depot")],
    interval: millis(250),
  });
  await setup.clock.advance(millis(hour / 2));
  assert.equal(await countClaims(), 2);
  assert.equal(
    await setup.callAndDescribe(node, { key: "old" }),
    "201 replayed",
  );
  await setup.clock.advance(millis(2 * hour));
  sweep.stop();
  assert.equal(await countClaims(), 1);
  assert.equal(
    await setup.callAndDescribe(node, { key: "new" }),
    "201 replayed",
  );
});
