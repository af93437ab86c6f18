import assert from "node:assert/strict";
import { test } from "node:test";
import { millis } from "../../src/core/clock.ts";
import {
  applyRows,
  createRowReplica,
  listRows,
  type RowBatch,
  type RowPosition,
  type RowReplica,
  selectRowsAfter,
} from "../../src/core/gateway/row_replica.ts";
import { brandNumber, type StoreEpoch } from "../../src/core/ids.ts";

function position(epoch: number, newest: number): RowPosition {
  return { epoch: brandNumber<StoreEpoch>(epoch), newest };
}

/** A batch in which each row has the version that its key states. */
function batch(at: RowPosition, versions: number[]): RowBatch {
  const value = new Uint8Array();
  const rows = versions.map((rowVersion) => ({
    key: `k${rowVersion}`,
    rowVersion,
    value,
  }));
  return { ...at, rows };
}

function apply(
  replica: RowReplica,
  rows: RowBatch,
  options: { isComplete: boolean; base?: number },
) {
  const now = millis(1_000);
  const confirmedAt = { now, wall: now };
  const read = { ...options, confirmedAt, now, isUrgent: () => false };
  return applyRows(replica, rows, read);
}

function listKeys(replica: RowReplica): string[] {
  return listRows(replica).map(({ key }) => key);
}

// A reader took the rows of a restored table service for a late answer, or
// added changes to the rows of before.
test("rows of a later epoch replace the replica, and only as a whole", () => {
  const replica = createRowReplica();
  apply(replica, batch(position(0, 9), [3, 9]), { isComplete: true });
  const changes = batch(position(1, 9), [9]);
  assert.equal(apply(replica, changes, { isComplete: false }), undefined);
  const copy = batch(position(1, 4), [3, 4]);
  assert.deepEqual(apply(replica, copy, { isComplete: true }), {
    hasUrgent: true,
  });
  assert.deepEqual(listKeys(replica), ["k3", "k4"]);
  const late = batch(position(0, 12), [12]);
  assert.equal(apply(replica, late, { isComplete: true }), undefined);
});

test("a follower gets all rows of a later epoch and none of an earlier one", () => {
  const replica = createRowReplica();
  apply(replica, batch(position(2, 5), [3, 5]), { isComplete: true });
  assert.equal(selectRowsAfter(replica, position(1, 5)).isComplete, true);
  assert.deepEqual(selectRowsAfter(replica, position(3, 5)).rows, []);
  assert.deepEqual(selectRowsAfter(replica, position(2, 5)).rows, []);
});

// The rows of a copy and the rows that were written again must be told apart.
test("the base of an epoch is the lowest version that any node learnt first", () => {
  const replica = createRowReplica();
  apply(replica, batch(position(0, 9), [9]), { isComplete: true });
  assert.equal(replica.base, 0);
  apply(replica, batch(position(1, 8), [4]), { isComplete: true });
  assert.equal(replica.base, 8);
  const delivery = batch(position(1, 8), []);
  apply(replica, delivery, { isComplete: false, base: 6 });
  assert.equal(replica.base, 6);
});

// A server that was removed while a reader restarted stayed listed at the
// followers that had an older version of the rows.
test("a follower whose version is older than the first read of its reader gets all rows", () => {
  const replica = createRowReplica();
  apply(replica, batch(position(0, 9), [3]), { isComplete: true });
  assert.equal(selectRowsAfter(replica, position(0, 5)).isComplete, true);
  assert.equal(selectRowsAfter(replica, position(0, 9)).isComplete, false);
});
