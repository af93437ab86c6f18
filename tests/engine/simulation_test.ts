import assert from "node:assert/strict";
import { test } from "node:test";
import { createRouter } from "../../src/bench/router.ts";
import { Simulation } from "../../src/bench/simulation.ts";
import { chainHire, createWorkload } from "../../src/bench/workload.ts";
import { defaultRouteCosts } from "../../src/core/routing/costs.ts";
import { chooseEngine } from "../../src/core/routing/route.ts";

test("every simulated request gets its whole answer from the adapter it names", async () => {
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

test("a preempted stream neither loses nor repeats a token", async () => {
  const profile = { ...chainHire, adapters: 3, zipf: 0 };
  const { records, hosts } = await Simulation.run({
    seed: 5,
    arrivals: createWorkload(profile, { seed: 5, rate: 6, duration: 30_000 }),
    regions: profile.regions,
    limits: { batch: 4 },
    createRouter: ({ clock }) =>
      createRouter({ choose: chooseEngine, costs: defaultRouteCosts, clock }),
  });
  const preemptions = [...hosts.values()].reduce(
    (sum, { state }) => sum + state.counters.preemptions,
    0,
  );
  assert.ok(preemptions > 0);
  for (const { whole, tokens, arrival } of records) {
    if (whole) assert.equal(tokens, arrival.tokens);
  }
});
