import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../../src/adapters/random/seeded_random.ts";
import { millis } from "../../src/core/clock.ts";
import {
  type BrittleServers,
  hasRoom,
  mayHaveRoom,
  parseTolerance,
  recordRejection,
  recordServed,
  recordTolerance,
} from "../../src/core/gateway/brittle_servers.ts";
import { brandString, type ServerId } from "../../src/core/ids.ts";

// Guards against nodes that together have a server reject more requests than it bears.

const server = { id: brandString<ServerId>("s1"), born: 1 };
const workTime = 80;
/** Time after which rejections count, in ms. */
const contactTime = 4_000;
const duration = 60_000;
const step = 5;

type Node = { servers: BrittleServers; inFlight: number };

/** Nodes that send to one server whenever they may; returns its worst second and its use. */
function play(options: {
  nodes: number;
  room: number;
  tolerance: number;
  seed: number;
}) {
  const { room, tolerance, seed } = options;
  const random = createSeededRandom(seed);
  const nodes = Array.from({ length: options.nodes }, (): Node => {
    const servers: BrittleServers = new Map();
    return { servers, inFlight: 0 };
  });
  const describe = ({ inFlight }: Node, now: number) => ({
    now: millis(now),
    nodes: nodes.length,
    inFlight,
    random,
  });
  for (const node of nodes)
    recordTolerance(node.servers, server, { ...describe(node, 0), tolerance });
  const running: { node: Node; until: number }[] = [];
  const rejections: number[] = [];
  let served = 0;
  for (let now = 0; now < duration; now += step) {
    for (const work of running.filter(({ until }) => until <= now)) {
      running.splice(running.indexOf(work), 1);
      work.node.inFlight--;
      recordServed(work.node.servers, server.id);
      served++;
    }
    const node = nodes[Math.floor(random() * nodes.length)] as Node;
    for (const sender of [node, ...nodes.slice(0, 3)]) {
      if (!hasRoom(sender.servers, server, describe(sender, now))) continue;
      if (running.length < room) {
        running.push({ node: sender, until: now + workTime });
        sender.inFlight++;
        continue;
      }
      rejections.push(now);
      recordRejection(sender.servers, server, describe(sender, now));
    }
  }
  const counted = rejections.filter((at) => at > contactTime);
  const worst = Math.max(
    0,
    ...counted.map(
      (from) => counted.filter((at) => at >= from && at < from + 1_000).length,
    ),
  );
  return { worst, use: served / ((room * duration) / workTime) };
}

for (const nodes of [3, 8, 30]) {
  test(`${nodes} nodes stay within the rejections that a server bears, and use it`, () => {
    for (let seed = 1; seed <= 5; seed++) {
      const { worst, use } = play({ nodes, room: 6, tolerance: 5, seed });
      assert.ok(worst <= 5, `seed ${seed}: ${worst} rejections in a second`);
      assert.ok(use >= 0.5, `seed ${seed}: ${use} of the room used`);
    }
  });
}

test("a server that started again gets single requests until it has answered", () => {
  const servers: BrittleServers = new Map();
  const random = createSeededRandom(1);
  const moment = { now: millis(0), nodes: 3, inFlight: 8, random };
  recordTolerance(servers, server, { ...moment, tolerance: 5 });
  const later = { ...server, born: 2 };
  assert.equal(hasRoom(servers, later, { ...moment, inFlight: 0 }), true);
  assert.equal(hasRoom(servers, later, { ...moment, inFlight: 1 }), false);
  recordTolerance(servers, later, { ...moment, tolerance: 5, inFlight: 1 });
  assert.equal(hasRoom(servers, later, { ...moment, inFlight: 3 }), true);
  assert.equal(hasRoom(servers, later, { ...moment, inFlight: 4 }), false);
});

test("a tolerance is a number from 0 on", () => {
  assert.equal(parseTolerance("5"), 5);
  assert.equal(parseTolerance("0"), 0);
  for (const value of ["", " ", "-1", "many", "NaN"])
    assert.equal(parseTolerance(value), undefined, value);
  assert.ok(Number.isFinite(parseTolerance("Infinity")));
});

// Guards against a question about the room of a server that lets it grow.
test("a question about the room says what a request would find and leaves the room as it is", () => {
  const servers: BrittleServers = new Map();
  const moment = { nodes: 1, inFlight: 3, random: () => 0 };
  const start = { ...moment, now: millis(0) };
  recordTolerance(servers, server, { ...start, tolerance: 4 });
  const later = { ...moment, now: millis(duration) };
  assert.equal(mayHaveRoom(servers, server, start), false);
  assert.equal(mayHaveRoom(servers, server, later), true);
  assert.equal(mayHaveRoom(servers, server, start), false);
  assert.equal(hasRoom(servers, server, later), true);
  assert.equal(mayHaveRoom(servers, server, start), true);
});
