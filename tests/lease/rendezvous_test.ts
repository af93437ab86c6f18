import assert from "node:assert/strict";
import { test } from "node:test";
import {
  assignByRendezvous,
  chooseByRendezvous,
  rankByRendezvous,
  rankByWeight,
} from "../../src/core/lease/rendezvous.ts";

// Guards against engines that change their owner although its node stays.

test("rendezvous hashing moves only the engines of a removed node", () => {
  const nodes = Array.from({ length: 40 }, (_, index) => `node-${index}`);
  const left = nodes.filter((node) => node !== "node-7");
  const engines = Array.from({ length: 400 }, (_, index) => `engine-${index}`);
  const share = new Map<string, number>();
  for (const engine of engines) {
    const before = chooseByRendezvous(engine, nodes) as string;
    share.set(before, (share.get(before) ?? 0) + 1);
    if (before === "node-7") continue;
    assert.equal(chooseByRendezvous(engine, left), before);
  }
  assert.ok(Math.max(...share.values()) <= 25);
});

test("engines are spread evenly and few move when a node goes", () => {
  const nodes = Array.from({ length: 9 }, (_, index) => `node-${index}`);
  const engines = Array.from({ length: 54 }, (_, index) => `engine-${index}`);
  const before = assignByRendezvous(engines, nodes);
  const left = nodes.filter((node) => node !== "node-4");
  const after = assignByRendezvous(engines, left);
  for (const [owners, most] of [
    [before, 6],
    [after, 7],
  ] as const) {
    assert.equal(owners.size, engines.length);
    for (const node of owners.values()) {
      const count = [...owners.values()].filter((one) => one === node).length;
      assert.ok(count <= most);
    }
  }
  const moved = engines.filter(
    (engine) => before.get(engine) !== after.get(engine),
  );
  // Six have to move; the bound may push on as many again.
  assert.ok(moved.length <= 12, `${moved.length} moved`);
});

// Guards against owners on the weakest nodes, which answer the calls of all others too late.
test("a node comes first as often as its weight is part of the sum, and equal weights change no order", () => {
  const weights = new Map([
    ["strong", 6],
    ["weak-1", 1],
    ["weak-2", 1],
  ]);
  const equal = new Map([...weights.keys()].map((name) => [name, 2]));
  const engines = Array.from({ length: 4_000 }, (_, index) => `e${index}`);
  let strong = 0;
  for (const engine of engines) {
    if (rankByWeight(engine, weights)[0] === "strong") strong++;
    const plain = rankByRendezvous(engine, weights.keys());
    assert.deepEqual(rankByWeight(engine, equal), plain);
  }
  const share = strong / engines.length;
  assert.ok(Math.abs(share - 6 / 8) < 0.03, `${share}`);
});
