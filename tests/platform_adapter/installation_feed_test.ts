import assert from "node:assert/strict";
import { test } from "node:test";
import { EntryFaults } from "../../platform/entry_faults.ts";
import { StoreFeed } from "../../platform/installation_feed.ts";
import { StoreClient } from "../../platform/store_client.ts";
import {
  chooseUrgencyPolicy,
  createStoreRows,
} from "../../platform/store_rows.ts";
import { RealClock } from "../../src/adapters/time/real_clock.ts";
import { millis } from "../../src/core/clock.ts";
import { brandString } from "../../src/core/ids.ts";
import { RowRelay } from "../../src/node/gateway/rows/row_relay.ts";
import type { InstallationChange } from "../../src/ports/gateway.ts";
import { silentJournal, silentMeter } from "../../src/ports/journal.ts";
import { configuration, FakeStore, registration } from "./fake_store.ts";

type Change = InstallationChange;

/** Starts a feed on a fake store; `stop` ends both. */
async function follow(prepare: (store: FakeStore) => void) {
  const store = await FakeStore.open();
  prepare(store);
  const clock = RealClock.create();
  const client = StoreClient.create({
    address: store.address,
    clock,
    meter: silentMeter,
  });
  const rows = RowRelay.create({
    machine: brandString("n1"),
    dataCentre: brandString("tatry-a"),
    minOutage: millis(2_400),
    clock,
    random: () => 0.5,
    journal: silentJournal,
    source: createStoreRows(client),
    peers: { followRows: async () => undefined },
    isUrgent: chooseUrgencyPolicy,
    decodeNodes: () => [],
  });
  const feed = StoreFeed.create({
    rows,
    journal: silentJournal,
    faults: EntryFaults.create({ journal: silentJournal, meter: silentMeter }),
  });
  const changes: Change[] = [];
  feed.follow((change) => changes.push(change));
  async function waitForChange(
    check: (change: Change) => boolean,
  ): Promise<Change> {
    for (let tries = 0; tries < 500; tries++) {
      const found = changes.find(check);
      if (found !== undefined) return found;
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
    throw new Error("Expected change not received within 5 s");
  }
  function stop(): void {
    feed.stop();
    rows.stop();
    store.close();
  }
  return { store, changes, waitForChange, stop };
}

const isComplete = (change: Change) =>
  change.type === "complete" && change.topic === "servers";
const isPresent = (change: Change) =>
  change.type === "server" && change.change.type === "present";
const isAbsent = (change: Change) =>
  change.type === "server" && change.change.type === "absent";

test("configuration, versions and servers are decoded and followed", async () => {
  const { store, waitForChange, stop } = await follow((store) => {
    store.put("op", "config", configuration);
    store.put("servers", "i-1", registration);
  });
  const first = await waitForChange(({ type }) => type === "configuration");
  assert.ok(first.type === "configuration");
  assert.equal(first.value.revision, 7);
  const [route] = first.value.routes.get("desk.example") ?? [];
  assert.equal(route?.retryRule, "once");
  await waitForChange(isPresent);
  store.put("op", "version/m0.a3", { Model: "m0", Adapter: "a3", Version: 2 });
  const version = await waitForChange(({ type }) => type === "adapter-version");
  assert.deepEqual(version.type === "adapter-version" && version.value, {
    place: "m0/a3",
    version: 2,
  });
  store.drop("servers", "i-1");
  const gone = await waitForChange(isAbsent);
  assert.ok(gone.type === "server" && gone.change.type === "absent");
  assert.equal(gone.change.outageEndedAt, Number.NEGATIVE_INFINITY);
  stop();
});

// One malformed entry must not hide the others.
test("malformed entries are skipped and add no server under their name", async () => {
  const broken: unknown[] = [
    "no json",
    {},
    { ...registration, State: "odd" },
    { ...registration, Address: 5 },
    { ...registration, Slots: "six" },
    null,
    [],
  ];
  const { changes, waitForChange, stop } = await follow((store) => {
    broken.forEach((value, at) => {
      store.put("servers", `bad-${at}`, value);
    });
    store.put("servers", "i-1", registration);
    store.put("op", "config", "garbage");
  });
  await waitForChange(isComplete);
  assert.equal(changes.filter(isPresent).length, 1);
  assert.equal(
    changes.some(({ type }) => type === "configuration"),
    false,
  );
  stop();
});

test("after the history is truncated all rows are reread, and servers missing from them are removed", async () => {
  const { store, changes, waitForChange, stop } = await follow((store) => {
    store.put("servers", "i-1", registration);
    store.put("servers", "i-2", registration);
  });
  await waitForChange(isComplete);
  store.drop("servers", "i-2");
  store.historyStart = 1_000;
  const gone = await waitForChange(isAbsent);
  assert.equal(
    gone.type === "server" && "id" in gone.change && gone.change.id,
    "i-2",
  );
  assert.ok(changes.filter(isComplete).length >= 2);
  stop();
});

/** Fails all calls for a time, drops a server's entry and returns the news of it. */
async function dropServerAfterFailure(failureTime: number) {
  const { store, waitForChange, stop } = await follow((store) => {
    store.put("servers", "i-1", registration);
  });
  await waitForChange(isComplete);
  store.failWith = 503;
  await new Promise((resolve) => setTimeout(resolve, failureTime));
  store.drop("servers", "i-1");
  store.failWith = undefined;
  const failedUntil = RealClock.create().now();
  const gone = await waitForChange(isAbsent);
  stop();
  assert.ok(gone.type === "server" && gone.change.type === "absent");
  return { outageEndedAt: gone.change.outageEndedAt, failedUntil };
}

test("a server that disappears in a store outage may only have expired", async () => {
  const { outageEndedAt, failedUntil } = await dropServerAfterFailure(2_600);
  assert.ok(outageEndedAt >= failedUntil);
});

// A server that leaves without notice got requests for seconds after a call of
// one node had failed.
test("a server that disappears after calls failed for a moment has left", async () => {
  const { outageEndedAt } = await dropServerAfterFailure(1_000);
  assert.equal(outageEndedAt, Number.NEGATIVE_INFINITY);
});

// After a restore the feed dropped each entry whose version was below the one
// that it had, and took servers that had joined lately for gone at once.
test("after a restore the copy's rows are told from those that are written again", async () => {
  const { store, changes, waitForChange, stop } = await follow((store) => {
    store.put("op", "config", configuration);
    store.put("servers", "i-1", registration);
  });
  await waitForChange(isComplete);
  store.put("op", "config", { ...configuration, Version: 9 });
  store.put("servers", "i-2", registration);
  await waitForChange(
    (change) =>
      change.type === "server" &&
      change.change.type === "present" &&
      change.change.server.id === "i-2",
  );
  changes.length = 0;
  store.restore(2);
  const copied = await waitForChange(({ type }) => type === "configuration");
  assert.ok(copied.type === "configuration");
  assert.deepEqual([copied.value.revision, copied.isFromCopy], [7, true]);
  const absent = await waitForChange(isAbsent);
  assert.ok(absent.type === "server" && absent.change.type === "absent");
  assert.equal(absent.change.id, "i-2");
  assert.ok(Number.isFinite(absent.change.outageEndedAt));
  changes.length = 0;
  store.put("op", "config", { ...configuration, Version: 9 });
  store.put("servers", "i-1", registration);
  const written = await waitForChange(({ type }) => type === "configuration");
  assert.ok(written.type === "configuration");
  assert.deepEqual([written.value.revision, written.isFromCopy], [9, false]);
  const present = await waitForChange(isPresent);
  assert.ok(present.type === "server" && present.change.type === "present");
  assert.equal(present.change.isFromCopy, false);
  stop();
});

// Guards against requests to a server whose entry was overwritten while the
// store did not answer: it was kept like one that has only expired.
test("a server whose entry becomes odd in a store outage is not kept", async (context) => {
  const { store, waitForChange, stop } = await follow((store) => {
    store.put("servers", "i-1", registration);
  });
  context.after(stop);
  await waitForChange(isComplete);
  store.failWith = 503;
  await new Promise((resolve) => setTimeout(resolve, 2_600));
  store.put("servers", "i-1", { ...registration, Address: "127.0.0.1:99999" });
  store.failWith = undefined;
  const gone = await waitForChange(isAbsent);
  assert.ok(gone.type === "server" && gone.change.type === "absent");
  assert.equal(gone.change.outageEndedAt, Number.NEGATIVE_INFINITY);
});
