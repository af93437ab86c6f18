import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../../src/adapters/random/seeded_random.ts";
import type { EngineId } from "../../src/core/ids.ts";
import { defaultSessionSettings } from "../../src/core/lease/state.ts";
import {
  type SessionNode,
  SessionSimulation,
} from "../support/session_fixture.ts";

// Guards against two nodes that may order the same engine at once.

const stepMs = 250;
const steps = 400;
const { orderTimeout } = defaultSessionSettings;

/** Chooses the faults of one node's table calls; a long outage makes its lease expire. */
function chooseFault(world: SessionSimulation, random: () => number) {
  const share = random();
  if (share < 0.3) return () => "down" as const;
  return () => {
    const fault = world.random();
    if (fault < share * 0.3) return "lost-answer";
    return fault < share * 0.5 ? "late-write" : "none";
  };
}

/** Changes pauses, table faults and membership views at random. */
function injectFaults(world: SessionSimulation, random: () => number): void {
  for (const node of world.nodes) {
    if (node.clock.paused) {
      if (random() < 0.015) node.clock.resume();
    } else if (random() < 0.01) node.clock.pause();
    if (random() < 0.02) node.table.fault = chooseFault(world, random);
    if (random() < 0.015) node.table.fault = () => "none";
    if (random() < 0.2) node.view = chooseView(world, { node, random });
  }
}

/** Nodes that one node considers alive: mostly those that run, sometimes wrong ones. */
function chooseView(
  world: SessionSimulation,
  options: { node: SessionNode; random: () => number },
) {
  const { node, random } = options;
  const running = new Set(
    world.nodes
      .filter((peer) => peer === node || !peer.clock.paused)
      .map((peer) => peer.name),
  );
  return world.live.filter(
    (peer) =>
      peer.node === node.name || running.has(peer.node) === random() < 0.9,
  );
}

/** Fails if two owners could order the same engine at once. */
class OwnershipChecker {
  readonly #lastOrder = new Map<SessionNode, Map<EngineId, number>>();
  evictions = 0;

  check(world: SessionSimulation): void {
    const now = world.clock.now();
    for (const { engine, fencing } of world.engines) {
      this.#checkFences(world, engine);
      if (fencing === "ignored") this.#checkSettling(world, { engine, now });
    }
  }

  #checkFences(world: SessionSimulation, engine: EngineId): void {
    const seen = new Set<number>();
    for (const node of world.nodes) {
      for (const fence of node.fences.get(engine) ?? []) {
        assert.ok(!seen.has(fence), `two owners of ${engine} hold ${fence}`);
        seen.add(fence);
      }
    }
  }

  /** No owner evicts while an order of another node may still arrive. */
  #checkSettling(
    world: SessionSimulation,
    at: { engine: EngineId; now: number },
  ): void {
    const { engine, now } = at;
    for (const node of world.nodes) {
      const isOrdering = node.mayOrder("dispatch", engine, world.clock.now());
      const orders = this.#lastOrder.get(node) ?? new Map();
      if (isOrdering) orders.set(engine, now);
      this.#lastOrder.set(node, orders);
    }
    for (const node of world.nodes) {
      if (!node.mayOrder("evict", engine, world.clock.now())) continue;
      this.evictions++;
      for (const [other, orders] of this.#lastOrder) {
        if (other === node) continue;
        const last = orders.get(engine) ?? Number.NEGATIVE_INFINITY;
        assert.ok(
          now - last >= orderTimeout,
          `${node.name} evicts on ${engine} ${now - last} ms after an order of ${other.name}`,
        );
      }
    }
  }
}

for (const seed of [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12]) {
  test(`pauses, lost answers and wrong membership views never give an engine two owners, seed ${seed}`, async () => {
    const world = new SessionSimulation({ engines: 4, seed });
    const random = createSeededRandom(seed + 1_000);
    for (const name of ["a#1", "b#1", "c#1"]) world.start(name);
    const check = new OwnershipChecker();
    for (let step = 0; step < steps; step++) {
      injectFaults(world, random);
      if (random() < 0.004) void world.nodes[1]?.session.release();
      await world.run(stepMs);
      check.check(world);
    }
    assert.ok(check.evictions > 0, "no owner could order at all");
  });
}
