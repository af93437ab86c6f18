import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { StoreClient } from "../../platform/store_client.ts";
import { RealClock } from "../../src/adapters/time/real_clock.ts";
import { millis, sleep } from "../../src/core/clock.ts";
import { silentMeter } from "../../src/ports/journal.ts";
import { type RawAnswer, RawServer } from "./raw_server.ts";

/** Time after which the store has given up a call, and then some, in ms. */
const lateTime = 1_000;

const clock = RealClock.create();
const transaction = { expected: [], writes: [], removals: [] };

let server: RawServer | undefined;

afterEach(() => server?.close());

async function openStore(answer: RawAnswer) {
  server = await RawServer.create(answer);
  const { address } = server;
  return StoreClient.create({ address, clock, meter: silentMeter });
}

/** Result of a transaction that a store which was never restored has committed. */
function commit(newest: number) {
  return { kind: "committed", epoch: 0, newest };
}

function answerWith(version: number): string {
  const body = JSON.stringify({ RowVersion: version });
  return `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}

// Guards against the late answer to a call that was given up reaching the next call, as
// answers of the store carry no id.
test("a connection on which an answer of the store was lost serves no other call", async () => {
  const store = await openStore(({ connection }, socket) => {
    if (connection > 0) return void socket.write(answerWith(2));
    setTimeout(() => socket.write(answerWith(1)), lateTime);
  });
  const lost = await store.transact("t", transaction);
  assert.ok(lost.isLeft());
  await sleep(clock, millis(lateTime));
  const next = await store.transact("t", transaction);
  assert.deepEqual(next.extract(), commit(2));
  const [first, second] = server?.requests ?? [];
  assert.notEqual(first?.connection, second?.connection);
});

// Guards against a second copy of an answer becoming that of the next call.
test("an answer that the store repeats on an idle connection closes it", async () => {
  const store = await openStore(({ connection }, socket) => {
    socket.write(answerWith(connection + 1).repeat(2));
  });
  const first = await store.transact("t", transaction);
  assert.deepEqual(first.extract(), commit(1));
  const next = await store.transact("t", transaction);
  assert.deepEqual(next.extract(), commit(2));
});
