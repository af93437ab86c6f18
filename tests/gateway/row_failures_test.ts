import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { type Either, Right } from "purify-ts";
import { EntryFaults } from "../../platform/entry_faults.ts";
import { StoreFeed } from "../../platform/installation_feed.ts";
import { RealClock } from "../../src/adapters/time/real_clock.ts";
import { millis } from "../../src/core/clock.ts";
import type {
  RowBatch,
  VersionedRow,
} from "../../src/core/gateway/row_replica.ts";
import {
  brandNumber,
  brandString,
  type StoreEpoch,
} from "../../src/core/ids.ts";
import type { EventName } from "../../src/core/observe/events.ts";
import { RowRelay } from "../../src/node/gateway/rows/row_relay.ts";
import { silentMeter } from "../../src/ports/journal.ts";
import type { RowFailure, RowSource, RowTopic } from "../../src/ports/rows.ts";
import { registration } from "../platform_adapter/fake_store.ts";

const epoch = brandNumber<StoreEpoch>(0);
const relays: RowRelay[] = [];

afterEach(() => {
  for (const relay of relays.splice(0)) relay.stop();
});

/** Source of rows of servers, in the memory of the test. */
class MemoryRows implements RowSource {
  readonly #rows: VersionedRow[] = [];
  /** Number of calls for the servers that reject. */
  rejections = 0;

  put(key: string): void {
    const value = new TextEncoder().encode(JSON.stringify(registration));
    this.#rows.push({ key, rowVersion: this.#newest + 1, value });
  }

  read(topic: RowTopic): Promise<Either<RowFailure, RowBatch>> {
    return this.follow(topic, { after: 0 });
  }

  async follow(
    topic: RowTopic,
    { after }: { readonly after: number },
  ): Promise<Either<RowFailure, RowBatch>> {
    await sleep(20);
    const newest = this.#newest;
    if (topic !== "servers") return Right({ rows: [], epoch, newest });
    if (this.rejections > 0) {
      this.rejections--;
      throw new Error("Unexpected failure of a call");
    }
    const rows = this.#rows.filter(({ rowVersion }) => rowVersion > after);
    return Right({ rows, epoch, newest });
  }

  get #newest(): number {
    return 10 + this.#rows.length;
  }
}

function start(source: RowSource) {
  const events: EventName[] = [];
  const journal = { record: (event: EventName) => void events.push(event) };
  const relay = RowRelay.create({
    machine: brandString("n1"),
    dataCentre: brandString("tatry-a"),
    minOutage: millis(2_400),
    clock: RealClock.create(),
    random: () => 0.5,
    journal,
    source,
    peers: { followRows: async () => undefined },
    isUrgent: () => () => true,
    decodeNodes: () => [],
  });
  relays.push(relay);
  return { relay, journal, events };
}

async function waitFor(check: () => boolean): Promise<boolean> {
  for (let tries = 0; tries < 400 && !check(); tries++) await sleep(10);
  return check();
}

// Guards against a listener that throws: the task that reads a topic ended with
// it, and with the task the process.
test("a listener that throws stops neither the other listeners nor the reading", async () => {
  const source = new MemoryRows();
  source.put("s1");
  const { relay, events } = start(source);
  const seen: string[] = [];
  relay.subscribe("servers", () => {
    throw new Error("Unexpected failure of a listener");
  });
  relay.subscribe("servers", ({ rows }) => {
    for (const { key } of rows) seen.push(key);
  });
  assert.ok(await waitFor(() => seen.includes("s1")));
  source.put("s2");
  assert.ok(await waitFor(() => seen.includes("s2")));
  assert.ok(events.includes("rowsNotApplied"));
});

test("an entry that cannot be applied stops neither the others nor later changes", async () => {
  const source = new MemoryRows();
  for (const key of ["s1", "odd", "s2"]) source.put(key);
  const { relay, journal, events } = start(source);
  const seen: string[] = [];
  const feed = StoreFeed.create({
    rows: relay,
    journal,
    faults: EntryFaults.create({ journal, meter: silentMeter }),
  });
  let isComplete = false;
  feed.follow((change) => {
    if (change.type === "complete") isComplete ||= change.topic === "servers";
    if (change.type !== "server" || change.change.type !== "present") return;
    const { id } = change.change.server;
    if (id === "odd") throw new Error("Unexpected failure of a change");
    seen.push(id);
  });
  assert.ok(await waitFor(() => isComplete));
  assert.deepEqual(seen, ["s1", "s2"]);
  source.put("s3");
  assert.ok(await waitFor(() => seen.includes("s3")));
  assert.ok(events.includes("entryNotApplied"));
});

// Guards against a call that throws: its topic was not read again.
test("a call for rows that throws is followed by others, and logged", async () => {
  const source = new MemoryRows();
  source.put("s1");
  source.rejections = 2;
  const { relay, events } = start(source);
  const seen: string[] = [];
  relay.subscribe("servers", ({ rows }) => {
    for (const { key } of rows) seen.push(key);
  });
  assert.ok(await waitFor(() => seen.includes("s1")));
  assert.ok(events.includes("storeLost"));
});
