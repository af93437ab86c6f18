import assert from "node:assert/strict";
import { test } from "node:test";
import { VirtualClock } from "../../src/adapters/time/virtual_clock.ts";
import { millis } from "../../src/core/clock.ts";
import { PauseWatch } from "../../src/node/gateway/pause_watch.ts";
import { type EventFields, silentMeter } from "../../src/ports/journal.ts";

/** Runs checks after the gaps given, in each of which the process uses half of the time; returns what is logged. */
function watchGaps(gaps: readonly number[]): EventFields[] {
  const clock = VirtualClock.create();
  const logged: EventFields[] = [];
  const watch = PauseWatch.create({
    clock,
    journal: {
      record: (event, fields = {}) => logged.push({ event, ...fields }),
    },
    meter: silentMeter,
    readProcessorTime: () => millis(clock.now() / 2),
  });
  for (const gap of gaps) {
    clock.advanceSync(millis(gap));
    watch.recordCheck();
  }
  return logged;
}

// Guards against a log that does not tell why a node answered nobody for a time.
test("a gap between checks is logged with its processor time, regular checks are not", () => {
  assert.deepEqual(watchGaps([100, 250, 100]), []);
  assert.deepEqual(watchGaps([100, 2_600, 100]), [
    { event: "processStalled", gap: 2_600, processorTime: 1_300 },
  ]);
});
