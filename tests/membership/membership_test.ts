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
  const simulation = new MembershipSimulation(seed);
  await simulation.startCentres(centres, 3);
  return simulation;
}

function stateAt(observer: MembershipNode, node: MembershipNode): string {
  const found = observer.membership
    .members()
    .find((member) => member.node === node.node);
  return found?.state ?? "unknown";
}

function assertAllAlive(simulation: MembershipSimulation): void {
  for (const observer of simulation.nodes) {
    const alive = observer.membership.liveNodes().length;
    assert.equal(
      alive,
      simulation.nodes.length,
      `${observer.node} sees ${alive}`,
    );
  }
}

test("nine nodes that know one seed find each other in three data centres", async () => {
  assertAllAlive(await startNineNodes(1));
});

test("nodes find each other while one datagram in ten is lost", async () => {
  const simulation = new MembershipSimulation(2);
  simulation.loss = 0.1;
  await simulation.startCentres(centres, 3);
  assertAllAlive(simulation);
});

for (const seed of [3, 4, 5]) {
  test(`a failed node is suspected by every node within 2 s and later dead, seed ${seed}`, async () => {
    const simulation = await startNineNodes(seed);
    const failed = simulation.find(`b${seed % 3}`);
    const since = simulation.clock.now();
    failed.clock.pause();
    failed.membership.stop();
    await simulation.run(8_000);
    for (const observer of simulation.nodes) {
      if (observer === failed) continue;
      const change = { node: failed.node, state: "suspect", since };
      assert.ok(simulation.observedAt(observer, change) - since <= 2_000);
      assert.equal(stateAt(observer, failed), "dead");
    }
  });
}

test("a node that is slow for less than the suspicion time is never suspected", async () => {
  const simulation = await startNineNodes(6);
  const slow = simulation.find("a1");
  const since = simulation.clock.now();
  for (let round = 0; round < 20; round++) {
    slow.clock.pause();
    await simulation.run(700);
    slow.clock.resume();
    await simulation.run(1_000);
  }
  for (const observer of simulation.nodes) {
    const change = { node: slow.node, state: "suspect", since };
    assert.equal(
      simulation.observedAt(observer, change),
      Number.POSITIVE_INFINITY,
    );
  }
});

test("lost datagrams alone do not make a node suspected", async () => {
  const simulation = await startNineNodes(7);
  simulation.loss = 0.1;
  const since = simulation.clock.now();
  await simulation.run(60_000);
  const suspected = simulation.nodes.flatMap((observer) =>
    simulation.nodes.filter((node) => {
      const change = { node: node.node, state: "dead", since };
      return Number.isFinite(simulation.observedAt(observer, change));
    }),
  );
  assert.deepEqual(suspected, []);
  assertAllAlive(simulation);
});

test("a node that was paused refutes its suspicion and is not declared dead", async () => {
  const simulation = await startNineNodes(8);
  const paused = simulation.find("c2");
  const since = simulation.clock.now();
  paused.clock.pause();
  await simulation.run(3_500);
  const observer = simulation.find("c0");
  assert.equal(stateAt(observer, paused), "suspect");
  paused.clock.resume();
  await simulation.run(1_500);
  assertAllAlive(simulation);
  const change = { node: paused.node, state: "dead", since };
  assert.equal(
    simulation.observedAt(observer, change),
    Number.POSITIVE_INFINITY,
  );
});

test("a node declared dead while paused becomes alive again", async () => {
  const simulation = await startNineNodes(9);
  const paused = simulation.find("c2");
  paused.clock.pause();
  await simulation.run(20_000);
  assert.equal(stateAt(simulation.find("c0"), paused), "dead");
  paused.clock.resume();
  await simulation.run(15_000);
  assertAllAlive(simulation);
});

test("a node restarted at the same address counts as a new node", async () => {
  const simulation = await startNineNodes(10);
  const old = simulation.find("b1");
  old.membership.stop();
  const restarted = simulation.start("b1#2", { centre: "b" });
  await simulation.run(3_000);
  for (const observer of simulation.nodes) {
    if (observer === old || observer === restarted) continue;
    assert.equal(stateAt(observer, old), "dead");
    assert.equal(stateAt(observer, restarted), "alive");
  }
});

test("a node that leaves is known to have left within half a second", async () => {
  const simulation = await startNineNodes(11);
  const leaving = simulation.find("a2");
  leaving.membership.leave();
  await simulation.run(500);
  for (const observer of simulation.nodes) {
    if (observer !== leaving) {
      assert.equal(stateAt(observer, leaving), "left");
    }
  }
});

test("a draining node stays a member but may own no engine", async () => {
  const simulation = await startNineNodes(12);
  const draining = simulation.find("a2");
  draining.membership.drain();
  await simulation.run(500);
  for (const observer of simulation.nodes) {
    assert.equal(stateAt(observer, draining), "alive");
    assert.equal(observer.membership.liveNodes().length, 8);
  }
});

test("an urgent value reaches every node of three regions within 200 ms", async () => {
  const simulation = await startNineNodes(13);
  simulation.find("b2").membership.publish("revision", "head", 42);
  await simulation.run(200);
  for (const { membership } of simulation.nodes) {
    const values = membership.values("revision").map(({ value }) => value);
    assert.deepEqual(values, [42]);
  }
});

test("values arrive in their last state under loss, also withdrawn ones", async () => {
  const simulation = await startNineNodes(14);
  simulation.loss = 0.3;
  const { membership } = simulation.find("b2");
  membership.publish("leaving", "engine-1", true);
  membership.publish("leaving", "engine-2", true);
  membership.publish("engine", "engine-3", [1]);
  await simulation.run(50);
  membership.publish("leaving", "engine-1", null);
  membership.publish("engine", "engine-3", [2]);
  await simulation.run(15_000);
  for (const observer of simulation.nodes) {
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
  const simulation = await startNineNodes(15);
  const since = simulation.clock.now();
  simulation.cutCentres.add("c");
  await simulation.run(10_000);
  for (const observer of simulation.nodes) {
    const isInside = observer.centre === "c";
    assert.equal(observer.membership.liveNodes().length, isInside ? 3 : 6);
    for (const node of simulation.nodes) {
      const change = { node: node.node, state: "dead", since };
      assert.equal(
        simulation.observedAt(observer, change),
        Number.POSITIVE_INFINITY,
      );
    }
  }
  simulation.find("c1").membership.publish("leaving", "engine-9", true);
  await simulation.run(360_000);
  simulation.cutCentres.clear();
  await simulation.run(8_000);
  assertAllAlive(simulation);
  for (const { membership } of simulation.nodes) {
    assert.equal(membership.values("leaving").length, 1);
  }
});

test("the traffic of a node stays bounded and its datagrams small with 60 nodes", async () => {
  const simulation = new MembershipSimulation(16);
  await simulation.startCentres(["a", "b", "c", "d", "e", "f"], 10);
  assertAllAlive(simulation);
  // Recently started nodes may use more traffic for their first comparisons.
  await simulation.run(60_000);
  const before = new Map(
    [...simulation.network.traffic].map(([address, { sentBytes }]) => [
      address,
      sentBytes,
    ]),
  );
  for (let second = 0; second < 10; second++) {
    for (const { membership, node } of simulation.nodes) {
      for (const index of [1, 2, 3, 4, 5]) {
        membership.publish("engine", `${node}-${index}`, [second, index]);
      }
    }
    await simulation.run(1_000);
  }
  for (const [address, traffic] of simulation.network.traffic) {
    const bytes = traffic.sentBytes - (before.get(address) ?? 0);
    assert.ok(bytes / 10 <= 6_000, `${address} sent ${bytes / 10} bytes/s`);
    assert.ok(traffic.largestDatagram <= maxDatagramBytes + 28);
  }
});
