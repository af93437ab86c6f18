import assert from "node:assert/strict";
import { test } from "node:test";
import { StoreClient } from "../../platform/store_client.ts";
import { RealClock } from "../../src/adapters/time/real_clock.ts";
import type { RowBatch } from "../../src/core/gateway/row_replica.ts";
import { silentMeter } from "../../src/ports/journal.ts";
import type { RowFailure } from "../../src/ports/rows.ts";
import { FakeStore } from "./fake_store.ts";

/** Opens a store that has the rows a, b and c at versions 101 to 103, one row per page. */
async function open() {
  const store = await FakeStore.open();
  for (const key of ["a", "b", "c"]) store.put("t", key, 1);
  store.pageSize = 1;
  const clock = RealClock.create();
  const client = StoreClient.create({
    address: store.address,
    clock,
    meter: silentMeter,
  });
  return { store, client };
}

// Rows of two histories must not be joined to one copy.
test("a read whose pages are of two epochs starts over", async () => {
  const { store, client } = await open();
  store.onPage = () => {
    store.onPage = () => {};
    store.restore(3);
    store.put("t", "d", 1);
  };
  const batch = (await client.read("t")).extract() as RowBatch;
  const keys = batch.rows.map(({ key }) => key);
  assert.deepEqual([keys, batch.epoch, batch.newest], [["d"], 1, 101]);
  store.put("t", "e", 1);
  store.onPage = () => store.restore(0);
  const failure = (await client.read("t")).extract() as RowFailure;
  assert.equal(failure.kind, "unknown");
  store.close();
});

test("failures state the epoch of the answer", async () => {
  const { store, client } = await open();
  store.restore(2);
  const wait = 0 as never;
  const gone = await client.follow("t", { after: 103, wait });
  assert.deepEqual([gone.extract()].map(describe), ["gone 1"]);
  store.failWith = 503;
  const refused = await client.read("t");
  assert.deepEqual([refused.extract()].map(describe), ["refused 1"]);
  store.close();
});

function describe(failure: RowBatch | RowFailure): string {
  return "kind" in failure ? `${failure.kind} ${failure.epoch}` : "rows";
}

// A row that changed after its page was read was missed for good: the changes
// were followed from the version of the last page.
test("the version of a read of several pages is that of its first page", async () => {
  const { store, client } = await open();
  store.onPage = () => store.put("t", "a", 2);
  const batch = (await client.read("t")).extract() as RowBatch;
  assert.equal(batch.newest, 103);
  store.close();
});
