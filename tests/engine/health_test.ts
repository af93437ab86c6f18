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

const usual = observeAll(createHealth(), [
  ...repeat({ kind: "first-token", value: 20 }, 20),
  ...repeat({ kind: "token-gap", value: 12 }, 20),
]);

test("two gaps five times the usual make an engine slow, one does not", () => {
  const gap: HealthSample = { kind: "token-gap", value: 60 };
  assert.equal(observeAll(usual, [gap]).state, "ok");
  assert.equal(observeAll(usual, [gap, gap]).state, "slow");
});

test("a request without a token for long makes an engine slow at once", () => {
  assert.equal(observeAll(usual, [{ kind: "age", value: 200 }]).state, "ok");
  assert.equal(observeAll(usual, [{ kind: "age", value: 400 }]).state, "slow");
});

test("three good probes in a row end the slow state", () => {
  const slow = observeAll(usual, [{ kind: "age", value: 400 }]);
  const good: HealthSample = { kind: "first-token", value: 22 };
  const bad: HealthSample = { kind: "first-token", value: 100 };
  assert.equal(observeAll(slow, [good, good, bad, good]).state, "slow");
  assert.equal(observeAll(slow, [good, good, good]).state, "ok");
});

test("slow times become usual after a minute, so that an engine is not avoided for ever", () => {
  const slow = observeAll(usual, [{ kind: "age", value: 400 }]);
  const sample: HealthSample = { kind: "first-token", value: 100 };
  const later = observeAll(slow, [sample, sample], 61_000);
  assert.equal(later.state, "ok");
});

test("a stalled engine is shown as slow within a second and ok after probes", () => {
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
