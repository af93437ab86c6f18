import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { millis } from "../../src/core/clock.ts";
import type { VersionedRow } from "../../src/core/gateway/row_replica.ts";
import {
  brandNumber,
  brandString,
  type StoreEpoch,
} from "../../src/core/ids.ts";
import {
  createLeaseReader,
  decodeLeases,
  decodeNodes,
} from "../../src/node/gateway/rows/lease_rows.ts";
import type { RowFollower, RowSnapshot } from "../../src/ports/rows.ts";
import type { Json, Row } from "../../src/ports/table.ts";
import { deepArray, oddNumbers } from "../platform_adapter/odd_entries.ts";

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

function createTableRow(key: string, value: Json): Row {
  const attempt = brandString<never>("a");
  return { key: brandString(key), version: 40, value, attempt };
}

const goodRows = [
  createTableRow("engine/good", {
    machine: "n2",
    process: "p",
    fence: 7,
    released: false,
  }),
  createTableRow("node/n2", { dataCentre: "a", address: "10.0.0.2:7000" }),
];

function assertGoodRowsDecoded(rows: readonly Row[]): void {
  assert.equal(decodeLeases(rows).get(brandString("good"))?.fence, 7);
  assert.ok(decodeNodes(rows).some(({ machine }) => machine === "n2"));
}

// Guards against one odd row that hides all others: a process token that is no
// text threw while it was decoded, and the node went on with the leases of before.
test("an odd lease row leaves the others readable and has no holder with an odd fence", () => {
  const lease = { machine: "x", process: "p", fence: 1, released: false };
  const odd: Json[] = [
    ...oddNumbers.map((json) => ({ ...lease, fence: JSON.parse(json) })),
    ...oddNumbers
      .filter((json) => json !== "0.5")
      .map((json) => ({ ...lease, wait: JSON.parse(json) })),
    ...["machine", "process"].flatMap((field) =>
      [deepArray, '{"toString":1}', "5", "null"].map((json) => ({
        ...lease,
        [field]: JSON.parse(json),
      })),
    ),
    JSON.parse(deepArray),
  ];
  const rows = odd.map((value, at) => createTableRow(`engine/${at}`, value));
  assertGoodRowsDecoded([...rows, ...goodRows]);
  for (const [engine, { machine, fence }] of decodeLeases(rows)) {
    assert.notEqual(machine, "x", engine);
    assert.ok(Number.isSafeInteger(fence + 1), engine);
  }
});

test("rows of any form neither throw nor hide the others", () => {
  const key = fc.oneof(
    fc.string(),
    fc.string().map((id) => `engine/odd-${id}`),
    fc.string().map((id) => `node/odd-${id}`),
  );
  const field = fc.oneof(
    fc.jsonValue({ maxDepth: 3 }),
    fc.constant({ toString: 1, valueOf: 1 }),
  );
  const value = fc.oneof(
    field,
    fc.record(
      {
        machine: field,
        process: field,
        fence: fc.oneof(field, fc.double()),
        dataCentre: field,
        address: field,
      },
      { requiredKeys: [] },
    ),
  );
  const row = fc
    .tuple(key, value)
    .map(([name, json]) => createTableRow(name, json as Json));
  fc.assert(
    fc.property(fc.array(row), (rows) => {
      assertGoodRowsDecoded([...rows, ...goodRows]);
    }),
    { seed: 30, numRuns: 1_000 },
  );
});
