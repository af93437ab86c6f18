import assert from "node:assert/strict";
import { test } from "node:test";
import { millis } from "../../src/core/clock.ts";
import type { VersionedRow } from "../../src/core/gateway/row_replica.ts";
import {
  brandNumber,
  brandString,
  type StoreEpoch,
} from "../../src/core/ids.ts";
import { createLeaseReader } from "../../src/node/gateway/lease_rows.ts";
import type { RowFollower, RowSnapshot } from "../../src/ports/rows.ts";

function createRow(key: string, rowVersion: number): VersionedRow {
  return { key, rowVersion, value: new Uint8Array() };
}

// The version of the table service rises with each write of any server, several
// times a second; decoding all lease rows each time cost processor time.
test("lease rows are decoded again only when one of them changed", async () => {
  let snapshot: RowSnapshot | undefined;
  let decodedCount = 0;
  const follower: RowFollower = {
    subscribe() {},
    snapshot: () => snapshot,
    refresh: async () => snapshot,
    outageEndedAt: millis(0),
    stop() {},
  };
  const read = createLeaseReader(follower, ({ key, rowVersion }) => {
    decodedCount++;
    const attempt = brandString<never>("a");
    return { key: brandString(key), version: rowVersion, value: null, attempt };
  });
  async function readRows(newest: number, rows: VersionedRow[]) {
    snapshot = { rows, epoch, newest, confirmedAt: millis(newest) };
    const result = await read({ isFresh: false });
    assert.equal(result?.newest, newest);
    assert.equal(result.confirmedAt, newest);
    return result.rows.map(({ key, version }) => `${key}@${version}`);
  }
  let epoch = brandNumber<StoreEpoch>(0);
  const [first, second] = [createRow("a", 1), createRow("b", 2)];
  assert.deepEqual(await readRows(2, [first, second]), ["a@1", "b@2"]);
  assert.deepEqual(await readRows(9, [first, second]), ["a@1", "b@2"]);
  assert.equal(decodedCount, 2);
  assert.deepEqual(await readRows(10, [createRow("a", 10), second]), [
    "a@10",
    "b@2",
  ]);
  assert.deepEqual(await readRows(11, [second]), ["b@2"]);
  assert.deepEqual(await readRows(12, [createRow("c", 12)]), ["c@12"]);
  // Versions are given out again after a restore.
  epoch = brandNumber(1);
  assert.deepEqual(await readRows(12, [createRow("d", 12)]), ["d@12"]);
});
