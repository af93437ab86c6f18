import assert from "node:assert/strict";
import { test } from "node:test";
import { maxDatagramBytes } from "../../src/adapters/gossip/udp_datagrams.ts";
import {
  type MembershipNode,
  MembershipSimulation,
} from "../support/membership_fixture.ts";

// Guards against failed nodes that are detected late, live ones that are declared
// dead, and values that do not reach every node.

const centres = ["a", "b", "c"];

async function startNineNodes(seed: number): Promise<MembershipSimulation> {
  const world = new MembershipSimulation(seed);
  await world.startCentres(centres, 3);
  return world;
}

function stateAt(observer: MembershipNode, node: MembershipNode): string {
  const found = observer.membership
    .members()
    .find((member) => member.node === node.node);
  return found?.state ?? "unknown";
}

function assertAllAlive(world: MembershipSimulation): void {
  for (const observer of world.nodes) {
    const alive = observer.membership.liveNodes().length;
    assert.equal(alive, world.nodes.length, `${observer.node} sees ${alive}`);
  }
}

test("nine nodes that know one seed find each other in three data centres", async () => {
  assertAllAlive(await startNineNodes(1));
});

test("nodes find each other while one datagram in ten is lost", async () => {
  const world = new MembershipSimulation(2);
  world.loss = 0.1;
  await world.startCentres(centres, 3);
  assertAllAlive(world);
});

for (const seed of [3, 4, 5]) {
  test(`a failed node is suspected by every node within 2 s and later dead, seed ${seed}`, async () => {
    const world = await startNineNodes(seed);
    const failed = world.find(`b${seed % 3}`);
    const since = world.clock.now();
    failed.clock.pause();
    failed.membership.stop();
    await world.run(8_000);
    for (const observer of world.nodes) {
      if (observer === failed) continue;
      const change = { node: failed.node, state: "suspect", since };
      assert.ok(world.observedAt(observer, change) - since <= 2_000);
      assert.equal(stateAt(observer, failed), "dead");
    }
  });
}

test("a node that is slow for less than the suspicion time is never suspected", async () => {
  const world = await startNineNodes(6);
  const slow = world.find("a1");
  const since = world.clock.now();
  for (let round = 0; round < 20; round++) {
    slow.clock.pause();
    await world.run(700);
    slow.clock.resume();
    await world.run(1_000);
  }
  for (const observer of world.nodes) {
    const change = { node: slow.node, state: "suspect", since };
    assert.equal(world.observedAt(observer, change), Number.POSITIVE_INFINITY);
  }
});

test("lost datagrams alone do not make a node suspected", async () => {
  const world = await startNineNodes(7);
  world.loss = 0.1;
  const since = world.clock.now();
  await world.run(60_000);
  const suspected = world.nodes.flatMap((observer) =>
    world.nodes.filter((node) => {
      const change = { node: node.node, state: "dead", since };
      return Number.isFinite(world.observedAt(observer, change));
    }),
  );
  assert.deepEqual(suspected, []);
  assertAllAlive(world);
});

test("a node that was paused refutes its suspicion and is not declared dead", async () => {
  const world = await startNineNodes(8);
  const paused = world.find("c2");
  const since = world.clock.now();
  paused.clock.pause();
  await world.run(3_500);
  const observer = world.find("c0");
  assert.equal(stateAt(observer, paused), "suspect");
  paused.clock.resume();
  await world.run(1_500);
  assertAllAlive(world);
  const change = { node: paused.node, state: "dead", since };
  assert.equal(world.observedAt(observer, change), Number.POSITIVE_INFINITY);
});

test("a node declared dead while paused becomes alive again", async () => {
  const world = await startNineNodes(9);
  const paused = world.find("c2");
  paused.clock.pause();
  await world.run(20_000);
  assert.equal(stateAt(world.find("c0"), paused), "dead");
  paused.clock.resume();
  await world.run(15_000);
  assertAllAlive(world);
});

test("a node restarted at the same address counts as a new node", async () => {
  const world = await startNineNodes(10);
  const old = world.find("b1");
  old.membership.stop();
  const restarted = world.start("b1#2", { centre: "b" });
  await world.run(3_000);
  for (const observer of world.nodes) {
    if (observer === old || observer === restarted) continue;
    assert.equal(stateAt(observer, old), "dead");
    assert.equal(stateAt(observer, restarted), "alive");
  }
});

test("a node that leaves is known to have left within half a second", async () => {
  const world = await startNineNodes(11);
  const leaving = world.find("a2");
  leaving.membership.leave();
  await world.run(500);
  for (const observer of world.nodes) {
    if (observer !== leaving) {
      assert.equal(stateAt(observer, leaving), "left");
    }
  }
});

test("a draining node stays a member but may own no engine", async () => {
  const world = await startNineNodes(12);
  const draining = world.find("a2");
  draining.membership.drain();
  await world.run(500);
  for (const observer of world.nodes) {
    assert.equal(stateAt(observer, draining), "alive");
    assert.equal(observer.membership.liveNodes().length, 8);
  }
});

test("an urgent value reaches every node of three regions within 200 ms", async () => {
  const world = await startNineNodes(13);
  world.find("b2").membership.publish("revision", "head", 42);
  await world.run(200);
  for (const { membership } of world.nodes) {
    const values = membership.values("revision").map(({ value }) => value);
    assert.deepEqual(values, [42]);
  }
});

test("values arrive in their last state under loss, also withdrawn ones", async () => {
  const world = await startNineNodes(14);
  world.loss = 0.3;
  const { membership } = world.find("b2");
  membership.publish("leaving", "engine-1", true);
  membership.publish("leaving", "engine-2", true);
  membership.publish("engine", "engine-3", [1]);
  await world.run(50);
  membership.publish("leaving", "engine-1", null);
  membership.publish("engine", "engine-3", [2]);
  await world.run(15_000);
  for (const observer of world.nodes) {
    const leaving = observer.membership.values("leaving");
    assert.deepEqual(
      leaving.map(({ key }) => key),
      ["engine-2"],
    );
    const views = observer.membership.values("engine");
    assert.deepEqual(
      views.map(({ value }) => value),
      [[2]],
    );
  }
});

test("a data centre that is cut off counts as unreachable, not dead, and becomes reachable again", async () => {
  const world = await startNineNodes(15);
  const since = world.clock.now();
  world.cutCentres.add("c");
  await world.run(10_000);
  for (const observer of world.nodes) {
    const isInside = observer.centre === "c";
    assert.equal(observer.membership.liveNodes().length, isInside ? 3 : 6);
    for (const node of world.nodes) {
      const change = { node: node.node, state: "dead", since };
      assert.equal(
        world.observedAt(observer, change),
        Number.POSITIVE_INFINITY,
      );
    }
  }
  world.find("c1").membership.publish("leaving", "engine-9", true);
  await world.run(360_000);
  world.cutCentres.clear();
  await world.run(8_000);
  assertAllAlive(world);
  for (const { membership } of world.nodes) {
    assert.equal(membership.values("leaving").length, 1);
  }
});

test("the traffic of a node stays bounded and its datagrams small with 60 nodes", async () => {
  const world = new MembershipSimulation(16);
  await world.startCentres(["a", "b", "c", "d", "e", "f"], 10);
  assertAllAlive(world);
  // Recently started nodes may use more traffic for their first comparisons.
  await world.run(60_000);
  const before = new Map(
    [...world.network.traffic].map(([address, { sentBytes }]) => [
      address,
      sentBytes,
    ]),
  );
  for (let second = 0; second < 10; second++) {
    for (const { membership, node } of world.nodes) {
      for (const index of [1, 2, 3, 4, 5]) {
        membership.publish("engine", `${node}-${index}`, [second, index]);
      }
    }
    await world.run(1_000);
  }
  for (const [address, traffic] of world.network.traffic) {
    const bytes = traffic.sentBytes - (before.get(address) ?? 0);
    assert.ok(bytes / 10 <= 6_000, `${address} sent ${bytes / 10} bytes/s`);
    assert.ok(traffic.largest <= maxDatagramBytes + 28);
  }
});
