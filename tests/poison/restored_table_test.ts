import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../../src/adapters/random/seeded_random.ts";
import { VirtualClock } from "../../src/adapters/time/virtual_clock.ts";
import { millis } from "../../src/core/clock.ts";
import { brandString, type Digest } from "../../src/core/ids.ts";
import {
  PoisonManager,
  type TableRowListener,
} from "../../src/node/poison_manager.ts";
import { silentJournal, silentMeter } from "../../src/ports/journal.ts";
import { MemoryTable } from "../../src/standins/memory_table.ts";

// A node that started after a restore let a request through that had crashed
// two engines.
test("convictions that a restore removed are written again by few nodes", async () => {
  const clock = VirtualClock.create();
  const table = MemoryTable.create(clock);
  const random = createSeededRandom(1);
  const listeners: TableRowListener[] = [];
  const digest = brandString<Digest>("d1");
  const record = { crashes: ["e1/1", "e2/1"], cleared: [] };
  const nodes = Array.from({ length: 20 }, () =>
    PoisonManager.create({
      clock,
      table,
      random,
      createToken: () => brandString("t"),
      journal: silentJournal,
      meter: silentMeter,
      publish: () => {},
      followRows: (_prefix, listener) => listeners.push(listener),
    }),
  );
  for (const node of nodes) node.receiveBroadcast(digest, record);
  for (const { onRestore } of listeners) onRestore([]);
  for (let second = 0; second < 15; second++) {
    await clock.advance(millis(1_000));
    const rows = (await table.scan("poison/")).orDefault([]);
    for (const row of rows) for (const { onRow } of listeners) onRow(row);
  }
  const rows = (await table.scan("poison/")).orDefault([]);
  assert.deepEqual(
    rows.map(({ value }) => value),
    [record],
  );
  assert.ok(table.totals.writes <= 3, `${table.totals.writes} writes`);
  for (const node of nodes) node.stop();
});
