import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import { afterEach, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import fc from "fast-check";
import { EntryFaults } from "../../platform/entry_faults.ts";
import { StoreFeed } from "../../platform/installation_feed.ts";
import { decodeRows, parseBody } from "../../platform/store_answers.ts";
import { StoreClient } from "../../platform/store_client.ts";
import {
  chooseUrgencyPolicy,
  createStoreRows,
} from "../../platform/store_rows.ts";
import { RealClock } from "../../src/adapters/time/real_clock.ts";
import { millis } from "../../src/core/clock.ts";
import { brandString } from "../../src/core/ids.ts";
import { RowRelay } from "../../src/node/gateway/rows/row_relay.ts";
import { silentJournal, silentMeter } from "../../src/ports/journal.ts";
import { registration } from "./fake_store.ts";
import { deepArray, oddNumbers } from "./odd_entries.ts";

const closers: (() => void)[] = [];

afterEach(() => {
  for (const close of closers.splice(0).reverse()) close();
});

const value = Buffer.from(JSON.stringify(registration)).toString("base64");
const goodRow = JSON.stringify({ Key: "good", RowVersion: 5, Value: value });

/** Answers that are none of the store. */
const oddAnswers = [
  "",
  "null",
  "[]",
  deepArray,
  '{"Rows":5,"RowVersion":9}',
  '{"Rows":{},"RowVersion":9}',
  '{"Rows":"x","RowVersion":9}',
  '{"Rows":[{"Key":5}],"RowVersion":9,"HasMore":true}',
  ...oddNumbers.map((json) => `{"Rows":[${goodRow}],"RowVersion":${json}}`),
];

/** Rows that are none, as JSON. */
const oddRows = [
  "null",
  "5",
  deepArray,
  `{"Key":5,"RowVersion":6,"Value":"${value}"}`,
  `{"RowVersion":6,"Value":"${value}"}`,
  '{"Key":"odd-value","RowVersion":6,"Value":5}',
  '{"Key":"odd-list","RowVersion":6,"Value":[1]}',
  `{"Key":"odd-deep","RowVersion":6,"Value":${deepArray}}`,
  '{"Key":"odd-null","RowVersion":6,"Value":null}',
  ...oddNumbers.map(
    (json, at) => `{"Key":"odd-${at}","RowVersion":${json},"Value":"${value}"}`,
  ),
];

/** Starts a store that sends one answer after the other, the last one again and again. */
async function openStore(answers: readonly string[]): Promise<StoreClient> {
  let sent = 0;
  const server = createServer((message, response) => {
    message.resume();
    const answer = answers[Math.min(sent++, answers.length - 1)];
    response.end(answer);
  }).listen(0, "127.0.0.1");
  await once(server, "listening");
  closers.push(() => {
    server.close();
    server.closeAllConnections();
  });
  const { port } = server.address() as { port: number };
  return StoreClient.create({
    address: `127.0.0.1:${port}`,
    clock: RealClock.create(),
    meter: silentMeter,
  });
}

// Guards against an answer of another form that throws in the task that follows
// the store, which ended the process.
test("an answer that is none of the store is a failed call", async () => {
  for (const answer of oddAnswers) {
    const store = await openStore([answer]);
    const wait = millis(0);
    const label = answer.slice(0, 80);
    assert.ok((await store.read("servers")).isLeft(), label);
    assert.ok(
      (await store.follow("servers", { after: 1, wait })).isLeft(),
      label,
    );
    const write = { expected: [], writes: [], removals: [] };
    assert.ok((await store.transact("t", write)).isLeft(), label);
  }
});

test("an odd row of an answer leaves the others readable", async () => {
  const rows = [...oddRows, goodRow].join();
  const store = await openStore([`{"Rows":[${rows}],"RowVersion":9}`]);
  const batch = (await store.read("servers")).unsafeCoerce();
  const good = batch.rows.filter(({ key }) => key === "good");
  assert.equal(good.length, 1);
  for (const { key, rowVersion } of batch.rows) {
    assert.equal(typeof key, "string");
    assert.ok(Number.isSafeInteger(rowVersion) && rowVersion <= 9, key);
  }
});

// Guards against a task that ends with the first odd answer: the node then kept
// the rows of before until it was started again.
test("the rows are followed on after odd answers", async () => {
  const store = await openStore([
    ...oddAnswers.slice(0, 7),
    `{"Rows":[${oddRows.join()},${goodRow}],"RowVersion":9}`,
  ]);
  const rows = RowRelay.create({
    machine: brandString("n1"),
    dataCentre: brandString("tatry-a"),
    minOutage: millis(2_400),
    clock: RealClock.create(),
    random: () => 0.5,
    journal: silentJournal,
    source: createStoreRows(store),
    peers: { followRows: async () => undefined },
    isUrgent: chooseUrgencyPolicy,
    decodeNodes: () => [],
  });
  closers.push(() => rows.stop());
  const found = new Set<string>();
  const feed = StoreFeed.create({
    rows,
    journal: silentJournal,
    faults: EntryFaults.create({ journal: silentJournal, meter: silentMeter }),
  });
  feed.follow((change) => {
    if (change.type === "server" && change.change.type === "present")
      found.add(change.change.server.id);
  });
  for (let tries = 0; tries < 100 && found.size === 0; tries++)
    await sleep(100);
  assert.deepEqual([...found], ["good"]);
});

test("answers of any form neither throw nor yield rows of another form", () => {
  const field = fc.oneof(fc.jsonValue({ maxDepth: 3 }), fc.double(), fc.nat());
  const row = fc.record(
    { Key: field, RowVersion: field, Value: field, Tombstone: field },
    { requiredKeys: [] },
  );
  const body = fc.record(
    {
      Rows: fc.oneof(field, fc.array(fc.oneof(row, field))),
      RowVersion: fc.oneof(field, fc.constant(9)),
      HasMore: fc.oneof(field, fc.boolean()),
    },
    { requiredKeys: [] },
  );
  fc.assert(
    fc.property(body, (content) => {
      const parsed = parseBody(Buffer.from(JSON.stringify(content)));
      for (const { key, rowVersion, value } of parsed
        .map(decodeRows)
        .orDefault([])) {
        assert.equal(typeof key, "string");
        assert.ok(Number.isSafeInteger(rowVersion) && rowVersion >= 0);
        assert.ok(value === undefined || value instanceof Uint8Array);
      }
    }),
    { seed: 30, numRuns: 2_000 },
  );
});
