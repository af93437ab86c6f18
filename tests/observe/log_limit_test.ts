import assert from "node:assert/strict";
import { test } from "node:test";
import { limitEntryRate } from "../../src/adapters/observe/log.ts";
import { VirtualClock } from "../../src/adapters/time/virtual_clock.ts";
import { millis } from "../../src/core/clock.ts";
import type { EventFields } from "../../src/ports/journal.ts";
import type { TimelineEntry } from "../../src/ports/operators.ts";

// Guards against a traffic peak that fills the log or hides warnings.
test("lines beyond the limit are left out and counted; warnings always pass", async () => {
  const clock = VirtualClock.create();
  const lines: string[] = [];
  const counts: EventFields[] = [];
  const limited = limitEntryRate((_, level) => lines.push(level), {
    clock,
    journal: () => ({ record: (_, fields = {}) => counts.push(fields) }),
    limit: 3,
  });
  const entry = {} as TimelineEntry;
  for (let i = 0; i < 10; i++) limited(entry, "info");
  limited(entry, "warn");
  assert.deepEqual(lines, ["info", "info", "info", "warn"]);
  await clock.advance(millis(1_001));
  limited(entry, "info");
  assert.deepEqual(counts, [{ count: 7 }]);
});
