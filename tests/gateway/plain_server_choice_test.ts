import assert from "node:assert/strict";
import { test } from "node:test";
import { millis } from "../../src/core/clock.ts";
import {
  chooseShortestRun,
  type PlainServerContext,
} from "../../src/core/gateway/plain_server_choice.ts";
import { createServerHealth } from "../../src/core/gateway/server_health.ts";
import {
  type CallLedgers,
  findOverload,
  recordCalls,
  recordOverload,
} from "../../src/core/gateway/server_overload.ts";
import {
  createPaceTable,
  endCall,
  learnRun,
  startCall,
} from "../../src/core/gateway/server_pace.ts";
import {
  type FullServers,
  isFull,
  recordNoRoom,
  recordRoom,
} from "../../src/core/gateway/server_room.ts";
import { brandString, type MachineName } from "../../src/core/ids.ts";
import { ownCalls, PlainFleet, shortestRun } from "./paced_plain_servers.ts";
import { createServer, location } from "./paced_servers.ts";

const servers = [createServer("p1"), createServer("p2")];
const [first, second] = servers as [
  ReturnType<typeof createServer>,
  ReturnType<typeof createServer>,
];

function createContext(now = 0): PlainServerContext {
  const paces = createPaceTable();
  const run = { answerTokens: 0, runTime: millis(50), now: millis(0) };
  for (const server of servers) learnRun(paces, server, run);
  return {
    ...location,
    health: createServerHealth(),
    paces,
    overloads: new Map(),
    now: millis(now),
    random: () => 0.5,
  };
}

// Guards against a server in a spell of slowness that keeps the calls of a node
// which has only one there, and against one that is left out for good.
test("a server with an overdue call gets no further one until that has ended", () => {
  const context = createContext(400);
  const call = startCall(context.paces, first.id, millis(100));
  assert.equal(chooseShortestRun(servers, context), second);
  endCall(context.paces, call);
  assert.equal(chooseShortestRun(servers, context), first);
});

test("a server without room gets nothing for a moment that grows with each rejection in a row", () => {
  const full: FullServers = new Map();
  const isFullAt = (now: number) => isFull(full, first, millis(now));
  recordNoRoom(full, first, { now: millis(0), share: 0.5 });
  assert.deepEqual([isFullAt(59), isFullAt(60)], [true, false]);
  recordNoRoom(full, first, { now: millis(100), share: 0.5 });
  assert.deepEqual([isFullAt(219), isFullAt(220)], [true, false]);
  recordRoom(full, first.id);
  recordNoRoom(full, first, { now: millis(300), share: 0.5 });
  assert.deepEqual([isFullAt(359), isFullAt(360)], [true, false]);
});

test("a server that other nodes overload gets no further call", () => {
  const context = createContext();
  const overload = { server: { id: first.id, born: first.born }, load: 8 };
  recordOverload(context.overloads, overload, millis(0));
  assert.equal(chooseShortestRun(servers, context), second);
  recordOverload(context.overloads, { ...overload, load: 0 }, millis(1));
  assert.equal(chooseShortestRun(servers, context), first);
});

test("the requests of all nodes make a server overloaded, and it is published when that changes", () => {
  const ledgers: CallLedgers = new Map();
  const report = (node: number, calls: number, at: number) => {
    const from: MachineName = brandString(`n${node}`);
    return recordCalls(ledgers, first, {
      from,
      calls,
      nodes: 10,
      now: millis(at),
    });
  };
  for (let node = 0; node < 6; node++)
    assert.equal(report(node, 1, node), undefined);
  assert.equal(report(6, 1, 6)?.load, 7);
  assert.equal(report(7, 1, 50), undefined);
  assert.equal(report(7, 3, 51)?.load, 10);
  // A node that has ended sends no further report.
  assert.equal(report(7, 1, 3_500)?.load, 0);
});

test("the news that a server is overloaded ends with it, and when it starts again", () => {
  const view = new Map();
  const { id, born } = first;
  recordOverload(view, { server: { id, born }, load: 9 }, millis(0));
  assert.equal(findOverload(view, first, millis(100)), 9);
  assert.equal(findOverload(view, { id, born: 2 }, millis(100)), 0);
  assert.equal(findOverload(view, first, millis(5_000)), 0);
});

/** Requests a second in each data centre, which crest one after another. */
function crest(total: number, swing: number) {
  return (dataCentre: number, at: number) => {
    const phase = 2 * Math.PI * (at / 20_000 + dataCentre / 6);
    return (total / 6) * (1 + swing * Math.sin(phase));
  };
}

// Pattern: 70 nodes before six servers of six slots that are slow for spells of
// 600 ms. No node has more than one call at a server, so that its own calls say
// nothing of the room there: requests were rejected while other servers had room.
test("less than one arrival in a hundred is rejected by servers that are slow for spells, before 70 nodes", () => {
  const usual = { nodes: 70, slots: 6, spell: 3, duration: 60_000 };
  for (const { rate, runTime, swing } of [
    { rate: 250, runTime: 73.5, swing: 0 },
    { rate: 250, runTime: 73.5, swing: 0.27 },
    { rate: 190, runTime: 43, swing: 0.55 },
  ]) {
    const load = { ...usual, runTime, rate: crest(rate, swing) };
    const earlier = PlainFleet.run(ownCalls, load);
    const now = PlainFleet.run(shortestRun, load);
    assert.ok(now.rejected < 0.01, `${swing}: ${now.rejected}`);
    assert.ok(now.rejected < 0.5 * earlier.rejected || now.rejected < 0.001);
    assert.ok(now.p99 < earlier.p99, `${now.p99}/${earlier.p99}`);
    // Each node sends its own calls and a part of what is published.
    assert.ok(now.datagrams < 60, `${now.datagrams}`);
    assert.ok(now.spilled < 0.2, `${now.spilled}`);
  }
});
