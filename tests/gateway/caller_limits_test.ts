import assert from "node:assert/strict";
import { test } from "node:test";
import { findCallerLimits } from "../../src/core/gateway/caller_limits.ts";

const megabyte = 1024 * 1024;

// Guards against limits that fall for installations that do not name their machine.
test("without the limits of the machine the largest ones hold", () => {
  const limits = findCallerLimits({});
  assert.deepEqual(limits, { heldBytes: 128 * megabyte, connections: 2_500 });
});

// Guards against limits that do not fit the machine, or that an ordinary caller meets.
test("what is held and connected fits the machine, and a body of the largest size fits in", () => {
  for (const memory of [100, 160, 210, 350, 602, 4_000])
    for (const descriptors of [300, 700, 2_212, 10_250]) {
      const limits = findCallerLimits({
        memory: memory * megabyte,
        descriptors,
      });
      assert.ok(limits.heldBytes >= 8 * megabyte, `${memory} MB`);
      assert.ok(limits.connections >= 64);
      assert.ok(limits.connections <= Math.max(64, descriptors - 200 - 40));
      if (memory < 160) continue;
      const connected = limits.connections * 32 * 1024;
      const taken = limits.heldBytes + connected + 100 * megabyte;
      assert.ok(taken < memory * megabyte, `${memory} MB`);
    }
});
