import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../../src/adapters/random/seeded_random.ts";
import { millis } from "../../src/core/clock.ts";
import {
  createPaceTable,
  readSharedSlowness,
  recordSharedPace,
} from "../../src/core/gateway/server_pace.ts";
import {
  collectRatio,
  type PaceDeviations,
  type PaceLedger,
  type PaceReport,
  recordPaceReport,
  takePaceNews,
} from "../../src/core/gateway/shared_pace.ts";
import {
  brandString,
  type MachineName,
  type ServerId,
} from "../../src/core/ids.ts";
import { selectHomes } from "../../src/core/placement/rendezvous.ts";
import { runEngines, sharedPace } from "./paced_engines.ts";
import { createServer } from "./paced_servers.ts";

const server = createServer("e1");
const machine: MachineName = brandString("n1");

function createReport(logSlowness: number, answers = 10): PaceReport {
  const { id, born } = server;
  return { server: { id, born }, logSlowness, answers };
}

/** Reports the same slowness every 100 ms. */
function repeatReport(
  ledger: PaceLedger,
  logSlowness: number,
  { from, to }: { from: number; to: number },
): number {
  let changes = 0;
  for (let at = from; at < to; at += 100) {
    const news = recordPaceReport(
      ledger,
      createReport(logSlowness),
      millis(at),
    );
    if (news !== undefined) changes++;
  }
  return changes;
}

test("a node reports a server that it finds slower after a few answers, and others seldom", () => {
  const deviations: PaceDeviations = new Map();
  const count = (logRatio: number) => {
    for (let answers = 1; ; answers++) {
      const sample = { logRatio, shared: 0 };
      const report = collectRatio(deviations, server, sample);
      if (report === undefined) continue;
      assert.ok(Math.abs(report.logSlowness - logRatio) < 0.01);
      return answers;
    }
  };
  assert.equal(count(0.6), 2);
  assert.equal(count(0.02), 12);
});

// Guards against homes that change with each report: each change moves adapters.
test("the level of a server changes once when its pace does, and not with small deviations", () => {
  const ledger: PaceLedger = new Map();
  assert.equal(repeatReport(ledger, 0.15, { from: 0, to: 10_000 }), 0);
  assert.equal(repeatReport(ledger, 0.6, { from: 10_000, to: 30_000 }), 1);
  assert.equal(repeatReport(ledger, 0.45, { from: 30_000, to: 40_000 }), 0);
  assert.equal(repeatReport(ledger, 0.75, { from: 40_000, to: 50_000 }), 0);
});

test("a node is told of a level once, and again after a while since datagrams may be lost", () => {
  const ledger: PaceLedger = new Map();
  assert.deepEqual(takePaceNews(ledger, machine, millis(0)), []);
  repeatReport(ledger, 0.6, { from: 0, to: 10_000 });
  const [news] = takePaceNews(ledger, machine, millis(10_000));
  assert.equal(news?.server.id, server.id);
  assert.ok(Math.abs((news?.logSlowness ?? 0) - 0.6) < 0.01);
  assert.deepEqual(takePaceNews(ledger, machine, millis(11_000)), []);
  assert.equal(takePaceNews(ledger, machine, millis(20_000)).length, 1);
});

test("what all nodes measured is forgotten with the incarnation, and without news", () => {
  const table = createPaceTable();
  recordSharedPace(table, server, { logSlowness: 0.6, now: millis(0) });
  assert.ok(readSharedSlowness(table, server, millis(1_000)) > 1.8);
  const next = createServer("e1", { born: 2 });
  assert.equal(readSharedSlowness(table, next, millis(1_000)), 1);
  assert.equal(readSharedSlowness(table, server, millis(60_000)), 1);
});

/** Largest work of an engine relative to the mean, where each adapter is served by its home. */
function weighHomes(
  speeds: ReadonlyMap<ServerId, number>,
  findWeight: (engine: ServerId) => number,
): number {
  const random = createSeededRandom(5);
  const work = new Map([...speeds.keys()].map((engine) => [engine, 0]));
  const engines = [...speeds.keys()].map((engine) => ({
    engine,
    weight: findWeight(engine),
  }));
  for (let adapter = 0; adapter < 5_000; adapter++) {
    const [home] = selectHomes(`a${adapter}`, { engines, count: 1 });
    if (home === undefined) continue;
    const demand = 0.5 + random();
    const speed = speeds.get(home) ?? 1;
    work.set(home, (work.get(home) ?? 0) + demand / speed);
  }
  const values = [...work.values()];
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
  return Math.max(...values) / mean;
}

// Pattern: every fourth of 42 engines runs at 0.55 of the speed. With the same
// weight each was the home of as many adapters, and the slow ones were overloaded.
test("slow engines are homes of fewer adapters, so that all have about the same work", () => {
  const speeds = new Map(
    Array.from({ length: 42 }, (_, index): [ServerId, number] => [
      brandString(`engine-${index}`),
      index % 4 === 3 ? 0.55 : 1,
    ]),
  );
  const table = createPaceTable();
  const ledger: PaceLedger = new Map();
  for (const [id, speed] of speeds) {
    const born = 1;
    const logSlowness = -Math.log(speed);
    for (let at = 0; at < 10_000; at += 100) {
      const report = { server: { id, born }, logSlowness, answers: 10 };
      recordPaceReport(ledger, report, millis(at));
    }
  }
  const now = millis(10_000);
  for (const { server: paced, logSlowness } of [
    ...takePaceNews(ledger, machine, now),
  ]) {
    const known = createServer(paced.id);
    recordSharedPace(table, known, { logSlowness, now });
  }
  const equal = weighHomes(speeds, () => 1);
  const weighted = weighHomes(
    speeds,
    (id) => 1 / readSharedSlowness(table, createServer(id), now),
  );
  assert.ok(equal > 1.5, `${equal}`);
  assert.ok(weighted < 1.35, `${weighted}`);
});

// Guards against traffic that grows with the answers instead of with changes.
test("80 nodes before 42 engines share paces in few datagrams", () => {
  const speeds = Array.from({ length: 42 }, (_, index) =>
    index % 4 === 3 ? 0.55 : 1,
  );
  const load = { speeds, slots: 12, nodes: 80, rate: 450, duration: 30_000 };
  const { datagrams } = runEngines(sharedPace, load);
  assert.ok(datagrams > 0 && datagrams < 3, `${datagrams}`);
});
