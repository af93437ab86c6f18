import assert from "node:assert/strict";
import { test } from "node:test";
import { createRouter } from "../../src/bench/router.ts";
import { Simulation } from "../../src/bench/simulation.ts";
import { chainHire, createWorkload } from "../../src/bench/workload.ts";
import { defaultRouteCosts } from "../../src/core/routing/costs.ts";
import { chooseEngine } from "../../src/core/routing/route.ts";

test("every simulated request gets its whole answer on the adapter it names", async () => {
  const simulation = await Simulation.run({
    seed: 1,
    arrivals: createWorkload(chainHire, { seed: 1, rate: 5, duration: 5_000 }),
    regions: chainHire.regions,
    createRouter: ({ clock }) =>
      createRouter({ choose: chooseEngine, costs: defaultRouteCosts, clock }),
  });
  const { records, hosts } = simulation;
  assert.ok(records.length > 10);
  for (const { whole, tokens, arrival } of records) {
    assert.equal(whole, true);
    assert.equal(tokens, arrival.tokens);
  }
  const named = new Map(
    records.map(({ requestId, arrival }) => [requestId, arrival.adapter]),
  );
  for (const { model } of hosts.values()) {
    assert.deepEqual(model.unloadedInUse, []);
    for (const { requestId, adapter } of model.runs) {
      assert.equal(adapter, named.get(requestId));
    }
  }
});
