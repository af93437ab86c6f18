import assert from "node:assert/strict";
import { test } from "node:test";
import { millis } from "../../src/core/clock.ts";
import {
  createHealth,
  type Health,
  type HealthSample,
  observeHealth,
  summarizeEngine,
} from "../../src/core/engine/mod.ts";
import { brandString } from "../../src/core/ids.ts";
import { OwnerHarness } from "./harness.ts";

function observeAll(
  health: Health,
  samples: readonly HealthSample[],
  start = 0,
): Health {
  return samples.reduce(
    (state, sample, index) =>
      observeHealth(state, { sample, now: millis(start + index * 10) }),
    health,
  );
}

function repeat(sample: HealthSample, count: number): HealthSample[] {
  return Array.from({ length: count }, () => sample);
}

const baseline = observeAll(createHealth(), [
  ...repeat({ kind: "first-token", value: 20 }, 20),
  ...repeat({ kind: "token-gap", value: 12 }, 20),
]);

test("two token gaps of five times the baseline make an engine slow, one does not", () => {
  const gap: HealthSample = { kind: "token-gap", value: 60 };
  assert.equal(observeAll(baseline, [gap]).state, "ok");
  assert.equal(observeAll(baseline, [gap, gap]).state, "slow");
});

test("one request that gets no token for long makes an engine slow at once", () => {
  assert.equal(observeAll(baseline, [{ kind: "age", value: 200 }]).state, "ok");
  assert.equal(
    observeAll(baseline, [{ kind: "age", value: 400 }]).state,
    "slow",
  );
});

test("three good probes in a row end the slow state", () => {
  const slow = observeAll(baseline, [{ kind: "age", value: 400 }]);
  const healthy: HealthSample = { kind: "first-token", value: 22 };
  const slowSample: HealthSample = { kind: "first-token", value: 100 };
  assert.equal(
    observeAll(slow, [healthy, healthy, slowSample, healthy]).state,
    "slow",
  );
  assert.equal(observeAll(slow, [healthy, healthy, healthy]).state, "ok");
});

test("slow times become the baseline after a minute, so that an engine is not avoided for ever", () => {
  const slow = observeAll(baseline, [{ kind: "age", value: 400 }]);
  const sample: HealthSample = { kind: "first-token", value: 100 };
  const later = observeAll(slow, [sample, sample], 61_000);
  assert.equal(later.state, "ok");
});

test("a stalled engine is reported as slow within a second and as ok after healthy probes", () => {
  const owner = OwnerHarness.create();
  owner.own();
  owner.load("a@1");
  const answer = (id: string, wait: number): void => {
    owner.submit(id, { adapter: "a@1" });
    owner.advance(wait);
    owner.send({ type: "first-token", requestId: brandString(id) });
    owner.finish(id);
  };
  for (let index = 0; index < 5; index++) answer(`before-${index}`, 20);
  owner.submit("stalled", { adapter: "a@1" });
  owner.advance(1_000);
  assert.equal(summarizeEngine(owner.state, owner.now).state, "slow");
  owner.cancel("stalled");
  for (let index = 0; index < 3; index++) answer(`probe-${index}`, 20);
  assert.equal(summarizeEngine(owner.state, owner.now).state, "ok");
});
