import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { parseSettings } from "../../src/adapters/settings/settings.ts";

const example = JSON.parse(readFileSync("config/tatry-1.json", "utf8"));

// Guards against: a stop that leaves no time to record and send the outcomes of what it gives up.
test("a time limit of a stop below 5 s is refused with the field and its value", () => {
  const stop = { timeoutMs: 1_000 };
  const refusal = parseSettings({ ...example, stop })
    .swap()
    .unsafeCoerce();
  assert.match(refusal.detail, /"stop\.timeoutMs": value 1000/);
  assert.equal(parseSettings(example).unsafeCoerce().stop.timeoutMs, 60_000);
});

// Guards against: a total for request bodies or connections with which an ordinary caller is refused.
test("limits of bodies and connections have defaults, and values that are too low are named", () => {
  const { limits } = parseSettings(example).unsafeCoerce();
  assert.equal(limits.bodyBytes, 64 * 1024 * 1024);
  assert.equal(limits.connections, 10_000);
  for (const [field, value] of [
    ["bodyBytes", 1024],
    ["connections", 0],
  ] as const) {
    const content = { ...example, limits: { [field]: value } };
    const refusal = parseSettings(content).swap().unsafeCoerce();
    const expected = new RegExp(`"limits\\.${field}": value ${value}`);
    assert.match(refusal.detail, expected);
  }
});
