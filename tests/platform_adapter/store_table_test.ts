import assert from "node:assert/strict";
import { test } from "node:test";
import { StoreClient } from "../../platform/store_client.ts";
import { createTableFollower, StoreTable } from "../../platform/store_table.ts";
import { nodeTable } from "../../platform/wire_names.ts";
import { RealClock } from "../../src/adapters/time/real_clock.ts";
import {
  type AttemptToken,
  brandNumber,
  brandString,
  type RowKey,
  type StoreEpoch,
} from "../../src/core/ids.ts";
import { silentMeter } from "../../src/ports/journal.ts";
import type { RowChange, RowFollower } from "../../src/ports/rows.ts";
import type { TableFailure } from "../../src/ports/table.ts";
import { FakeStore } from "./fake_store.ts";
import { deepArray } from "./odd_entries.ts";

const key = brandString<RowKey>("engine/i-1");
const attempt = brandString<AttemptToken>("p/1");

async function open() {
  const store = await FakeStore.open();
  const client = StoreClient.create({
    address: store.address,
    clock: RealClock.create(),
    meter: silentMeter,
  });
  return { store, table: StoreTable.create(client) };
}

test("only one of two claims of a row is committed", async () => {
  const { store, table } = await open();
  const claim = (value: string) =>
    table.transact({
      attempt,
      conditions: [{ key, version: "absent" }],
      writes: [{ key, value }],
    });
  const first = (await claim("a")).orDefault({ kind: "committed" });
  const second = (await claim("b")).orDefault({ kind: "committed" });
  assert.equal(first.kind, "committed");
  assert.equal(second.kind, "conflict");
  const row = (await table.read(key)).orDefault(undefined);
  assert.equal(row?.value, "a");
  assert.equal(first.kind === "committed" && first.version, row?.version);
  store.close();
});

// Guards against a row that no transaction can replace: as long as a corrupted
// row counted as absent, every claim of it failed.
test("rows that another writer corrupted have no value and can be replaced", async (context) => {
  const { store, table } = await open();
  context.after(() => store.close());
  const odd = ["no json", "", "null", deepArray, '{"value":{"machine":"n9"}}'];
  for (const [at, text] of odd.entries())
    store.put(nodeTable, `engine/odd-${at}`, text);
  store.put(nodeTable, "engine/i-8", { attempt: "x", value: 1 });
  const rows = (await table.scan("engine/")).orDefault([]);
  assert.deepEqual(
    rows.map((row) => [row.key, row.value]),
    [
      ["engine/i-8", 1],
      ...odd.map((_, at) => [`engine/odd-${at}`, null] as const),
    ],
  );
  for (const { key, version } of rows) {
    const result = await table.transact({
      attempt,
      conditions: [{ key, version }],
      writes: [{ key, value: "a" }],
    });
    assert.equal(
      result.orDefault({ kind: "conflict" } as never).kind,
      "committed",
    );
  }
});

// A store that does not answer must not be treated like one that refused the write.
test("a write without an answer is unknown, a refused one is not applied", async () => {
  const { store, table } = await open();
  const write = { attempt, conditions: [], writes: [{ key, value: 1 }] };
  store.failWith = 503;
  const refused = (await table.transact(write)).extract() as TableFailure;
  assert.equal(refused.kind, "unavailable");
  store.failWith = undefined;
  store.isUnresponsive = true;
  const unanswered = (await table.transact(write)).extract() as TableFailure;
  assert.equal(unanswered.kind, "unknown");
  store.close();
});

// Rows that a restore removed are found only by a list of those that are left.
test("a follower of the nodes' table gets all rows once the epoch has changed", () => {
  let deliver: (change: RowChange) => void = () => {};
  const events: string[] = [];
  createTableFollower({
    subscribe: (_topic, listener) => {
      deliver = listener;
    },
  } as RowFollower)("engine/", {
    onRow: (row) => events.push(`row ${row.key}`),
    onRestore: (rows) => events.push(`restore ${rows.length}`),
  });
  const value = Buffer.from(JSON.stringify({ attempt: "x", value: 1 }));
  const rows = [
    { key, rowVersion: 5, value },
    { key: "node/n1", rowVersion: 6, value },
  ];
  const origin = { base: 0, source: undefined, maxAge: 0, isComplete: true };
  for (const epoch of [1, 1, 2]) {
    const position = { epoch: brandNumber<StoreEpoch>(epoch), newest: 6 };
    deliver({ rows, ...position, ...origin });
  }
  const row = `row ${key}`;
  assert.deepEqual(events, [row, row, row, "restore 1"]);
});
