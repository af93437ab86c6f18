import assert from "node:assert/strict";
import { test } from "node:test";
import { xoroshiro128plus } from "pure-rand";
import { GuardedTable } from "../../src/adapters/platform/guarded_table.ts";
import { VirtualClock } from "../../src/adapters/time/virtual_clock.ts";
import { millis } from "../../src/core/clock.ts";
import { MemoryTable } from "../../src/standins/memory_table.ts";
import { key, write } from "./rows.ts";

function setUp(seed = 1) {
  const clock = VirtualClock.create();
  const table = MemoryTable.create(clock);
  const generator = xoroshiro128plus(seed);
  const outages: [boolean, number][] = [];
  const refused: string[] = [];
  const guard = GuardedTable.create({
    table,
    clock,
    random: () => (generator.unsafeNext() >>> 0) / 2 ** 32,
    writeBudget: { rate: 10, burst: 5 },
    onOutage: (outage) => outages.push([outage, clock.now()]),
    meter: {
      count: (_name, labels) => refused.push(labels?.reason ?? ""),
      observe() {},
      gauge() {},
    },
  });
  return { clock, table, guard, outages, refused };
}

async function failThreeReads({ table, guard }: ReturnType<typeof setUp>) {
  table.outage = true;
  for (let count = 0; count < 3; count++) await guard.read(key("a"));
}

test("after three failures calls fail at once and only probes reach the table", async () => {
  const fixture = setUp();
  await failThreeReads(fixture);
  const before = fixture.table.totals.reads;
  for (let count = 0; count < 50; count++) {
    const result = await fixture.guard.transact(write("a", 1));
    assert.equal(result.swap().unsafeCoerce().kind, "unavailable");
  }
  assert.deepEqual(fixture.table.totals, { reads: before, writes: 0 });
  await fixture.clock.advance(millis(20_000));
  const probes = fixture.table.totals.reads - before;
  assert.ok(probes >= 10 && probes <= 25, `${probes} probes in 20 s`);
  assert.equal(fixture.refused.length, 50);
});

test("a success between failures keeps the breaker closed", async () => {
  const { table, guard } = setUp();
  for (let count = 0; count < 6; count++) {
    table.outage = count % 3 !== 2;
    await guard.read(key("a"));
  }
  assert.equal(guard.outage, false);
});

test("the end of an outage is detected within the maximum probe delay, and work resumes at a limited rate", async () => {
  const fixture = setUp();
  await failThreeReads(fixture);
  await fixture.clock.advance(millis(10_000));
  fixture.table.outage = false;
  await fixture.clock.advance(millis(2000));
  assert.deepEqual(
    fixture.outages.map(([outage]) => outage),
    [true, false],
  );
  let served = 0;
  for (let count = 0; count < 100; count++) {
    if ((await fixture.guard.read(key("a"))).isRight()) served++;
  }
  assert.ok(served <= 40, `${served} calls at once after the outage`);
  assert.ok((await fixture.guard.urgent.transact(write("b", 1))).isRight());
  await fixture.clock.advance(millis(2000));
  for (let count = 0; count < 100; count++) {
    assert.ok((await fixture.guard.read(key("a"))).isRight());
  }
});

test("probes of different nodes are spread in time", async () => {
  const ends = new Set<number>();
  for (let seed = 1; seed <= 20; seed++) {
    const fixture = setUp(seed);
    await failThreeReads(fixture);
    await fixture.clock.advance(millis(10_000));
    fixture.table.outage = false;
    await fixture.clock.advance(millis(2000));
    ends.add(Math.round((fixture.outages[1]?.[1] ?? 0) / 10));
  }
  assert.ok(ends.size >= 15, `${ends.size} different times of 20`);
});

test("writes beyond the budget are refused, lease renewals are not", async () => {
  const { clock, table, guard, refused } = setUp();
  for (let count = 0; count < 8; count++) await guard.transact(write("a", 1));
  assert.equal(table.totals.writes, 5);
  assert.deepEqual(refused, Array(3).fill("write budget"));
  assert.ok((await guard.urgent.transact(write("b", 1))).isRight());
  assert.ok((await guard.read(key("a"))).isRight());
  await clock.advance(millis(100));
  assert.ok((await guard.transact(write("a", 2))).isRight());
});

// Guards against: calls that fail when the node closes its clients open the breaker, whose probes keep the stopped process running.
test("a closed table schedules no probe when its calls in flight fail", async () => {
  const { clock, table, guard } = setUp();
  table.outage = true;
  const calls = [1, 2, 3].map(() => guard.read(key("a")));
  guard.close();
  await Promise.all(calls);
  const before = table.totals.reads;
  await clock.advance(millis(60_000));
  assert.equal(table.totals.reads, before);
  assert.equal(guard.outage, false);
});

// Guards against: a probe in flight at the end of the node schedules the next one.
test("a closed table schedules no probe when a probe in flight fails", async () => {
  const fixture = setUp();
  await failThreeReads(fixture);
  const { clock, table, guard } = fixture;
  table.delay = 5_000;
  await clock.advance(millis(3_000));
  guard.close();
  const before = table.totals.reads;
  await clock.advance(millis(60_000));
  assert.equal(table.totals.reads, before);
});
