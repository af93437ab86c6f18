import assert from "node:assert/strict";
import { test } from "node:test";
import { brandString, type DataCentre } from "../../src/core/ids.ts";
import { assignByRendezvous } from "../../src/core/lease/rendezvous.ts";
import {
  type SessionNode,
  SessionSimulation,
} from "../support/session_fixture.ts";

// Guards against leases and engines that are lost, shared or taken too early when
// nodes or the table fail.

async function startThreeNodes(seed: number): Promise<SessionSimulation> {
  const simulation = new SessionSimulation({ engines: 6, seed });
  for (const name of ["a#1", "b#1", "c#1"]) simulation.start(name);
  // Long enough for the first node to hand engines to the later ones.
  await simulation.run(15_000);
  return simulation;
}

function assertOneOwnerEach(simulation: SessionSimulation): void {
  for (const [engine, owners] of simulation.owners()) {
    assert.equal(owners.length, 1, `${engine} has owners ${owners.join()}`);
  }
}

function pickOwner(simulation: SessionSimulation): SessionNode {
  const owner = simulation.nodes.find(
    (node) => node.session.owned().length > 0,
  );
  assert.ok(owner);
  return owner;
}

test("three nodes take each engine of their data centre exactly once", async () => {
  const simulation = await startThreeNodes(1);
  assertOneOwnerEach(simulation);
  simulation.start("d#1", brandString<DataCentre>("dc-2"));
  await simulation.run(5_000);
  assert.deepEqual(simulation.nodes[3]?.session.owned(), []);
});

test("a crashed owner is replaced at most 9 s after the crash", async () => {
  const simulation = await startThreeNodes(2);
  const crashed = pickOwner(simulation);
  const engines = crashed.session.owned();
  crashed.clock.pause();
  await simulation.run(2_000);
  simulation.suspect(crashed);
  await simulation.run(7_000);
  assertOneOwnerEach(simulation);
  for (const engine of engines) {
    const successor = simulation.nodes.find(
      (node) => node !== crashed && node.session.owned().includes(engine),
    );
    const before = Math.max(...(crashed.fences.get(engine) ?? [0]));
    const after = Math.max(...(successor?.fences.get(engine) ?? [0]));
    assert.ok(after > before, "the new owner has no higher fencing number");
  }
});

test("an owner paused past its lease may order nothing when it resumes", async () => {
  const simulation = await startThreeNodes(3);
  const paused = pickOwner(simulation);
  const engines = paused.session.owned();
  paused.clock.pause();
  await simulation.run(2_000);
  simulation.suspect(paused);
  await simulation.run(10_000);
  paused.clock.resume();
  for (const engine of engines) {
    assert.equal(
      paused.mayOrder("evict", engine, simulation.clock.now()),
      false,
    );
    assert.equal(
      paused.mayOrder("dispatch", engine, simulation.clock.now()),
      false,
    );
  }
  await simulation.run(1_500);
  for (const engine of engines) {
    assert.equal(paused.ownership.get(engine)?.type, "ownership-lost");
  }
  assertOneOwnerEach(simulation);
});

test("a lease is dated from before its renewal was sent", async () => {
  const simulation = await startThreeNodes(13);
  const holder = pickOwner(simulation);
  let sentAt: number | undefined;
  holder.table.fault = (call) => {
    if (call === "transact") sentAt ??= simulation.clock.now();
    return "none";
  };
  await simulation.run(2_100);
  assert.ok(sentAt !== undefined);
  assert.ok(holder.session.usableUntil() <= sentAt + 5_000);
  assert.ok(holder.session.usableUntil() > sentAt + 4_900);
});

test("a lease renewed within its duration is not taken by a node that suspects its holder", async () => {
  const simulation = await startThreeNodes(4);
  const slow = pickOwner(simulation);
  const engines = slow.session.owned();
  simulation.suspect(slow);
  slow.view = [
    ...simulation.live,
    { node: slow.name, dataCentre: slow.dataCentre },
  ];
  await simulation.run(30_000);
  assert.deepEqual(slow.session.owned(), engines);
});

test("lost and late answers of the table lose no lease and no engine", async () => {
  const simulation = await startThreeNodes(5);
  const owned = simulation.nodes.map((node) => node.session.owned());
  for (const node of simulation.nodes) {
    node.table.fault = () => {
      const draw = simulation.random();
      if (draw < 0.2) return "lost-answer";
      return draw < 0.3 ? "late-write" : "none";
    };
  }
  for (let second = 0; second < 60; second++) {
    await simulation.run(1_000);
    assertOneOwnerEach(simulation);
  }
  assert.deepEqual(
    simulation.nodes.map((node) => node.session.owned()),
    owned,
  );
});

test("a lease holds while every answer to a renewal is lost", async () => {
  const simulation = await startThreeNodes(14);
  for (const node of simulation.nodes) {
    node.table.fault = (call) => (call === "transact" ? "lost-answer" : "none");
  }
  for (let second = 0; second < 30; second++) {
    await simulation.run(1_000);
    assert.ok(simulation.nodes.every((node) => node.session.isUsable()));
  }
});

test("a handover after a crash still waits for the orders that were in flight at the crash", async () => {
  const simulation = await startThreeNodes(15);
  const crashed = pickOwner(simulation);
  const engines = crashed.session.owned();
  crashed.clock.pause();
  await simulation.run(2_000);
  simulation.suspect(crashed);
  await simulation.run(7_000);
  const takenAt = simulation.clock.now();
  const successor = simulation.nodes
    .filter((node) => node !== crashed)
    .find((node) =>
      engines.some((engine) => node.session.owned().includes(engine)),
    );
  assert.ok(successor);
  simulation.suspect(successor);
  void successor.session.release();
  await simulation.run(1_000);
  const last = simulation.nodes.find(
    (node) => node !== crashed && node !== successor,
  );
  for (const { engine, fencing } of simulation.engines) {
    const event = last?.ownership.get(engine);
    assert.ok(event?.type === "ownership");
    if (fencing === "checked" || !engines.includes(engine)) continue;
    assert.ok(event.settledAt >= takenAt + 15_000);
  }
});

test("a first claim whose answer is lost is found by its attempt token", async () => {
  const simulation = new SessionSimulation({ engines: 4, seed: 6 });
  const node = simulation.start("a#1");
  let calls = 0;
  node.table.fault = () => (calls++ < 4 ? "lost-answer" : "none");
  await simulation.run(6_000);
  assert.equal(node.session.owned().length, 4);
  for (const fences of node.fences.values()) assert.deepEqual([...fences], [1]);
});

test("in a table outage dispatch continues and loads stop at the lease end", async () => {
  const simulation = await startThreeNodes(7);
  for (const node of simulation.nodes) node.table.fault = () => "down";
  await simulation.run(8_000);
  const now = simulation.clock.now();
  for (const { engine, fencing } of simulation.engines) {
    const dispatchers = simulation.nodes.filter((node) =>
      node.mayOrder("dispatch", engine, now),
    );
    assert.equal(dispatchers.length, 1);
    assert.ok(
      simulation.nodes.every((node) => !node.mayOrder("evict", engine, now)),
    );
    const event = dispatchers[0]?.ownership.get(engine);
    assert.ok(event?.type === "ownership");
    const isBounded = Number.isFinite(event.dispatchUntil);
    assert.equal(isBounded, fencing === "ignored");
  }
  for (const node of simulation.nodes) node.table.fault = () => "none";
  await simulation.run(2_000);
  assertOneOwnerEach(simulation);
  const isOrdering = simulation.engines.every(({ engine }) =>
    simulation.nodes.some((node) =>
      node.mayOrder("evict", engine, simulation.clock.now()),
    ),
  );
  assert.ok(isOrdering, "an engine cannot be ordered after the outage");
});

test("of two nodes that take the same engine one wins", async () => {
  const simulation = new SessionSimulation({ engines: 6, seed: 8 });
  const first = simulation.start("a#1");
  const second = simulation.start("b#1");
  first.view = [{ node: first.name, dataCentre: first.dataCentre }];
  second.view = [{ node: second.name, dataCentre: second.dataCentre }];
  await simulation.run(3_000);
  assertOneOwnerEach(simulation);
  for (const { engine } of simulation.engines) {
    assert.ok(!(first.fences.has(engine) && second.fences.has(engine)));
  }
});

test("a planned stop hands every engine over within a second and waits for orders in flight", async () => {
  const simulation = await startThreeNodes(9);
  const leaving = pickOwner(simulation);
  const engines = leaving.session.owned();
  const fencings = new Map(
    simulation.engines.map(({ engine, fencing }) => [engine, fencing]),
  );
  simulation.suspect(leaving);
  const stoppedAt = simulation.clock.now();
  let handed: boolean | undefined;
  void leaving.session.release().then((result) => {
    handed = result;
  });
  for (const engine of engines) {
    assert.equal(leaving.ownership.get(engine)?.type, "ownership-lost");
  }
  await simulation.run(1_000);
  assert.equal(handed, true);
  assertOneOwnerEach(simulation);
  assert.ok(
    !simulation.shared.rows.has(brandString(`session/${leaving.name}`)),
  );
  for (const engine of engines) {
    const event = simulation.nodes
      .map((node) => node.ownership.get(engine))
      .find((report) => report?.type === "ownership");
    assert.ok(event?.type === "ownership");
    const isChecked = fencings.get(engine) === "checked";
    const least = stoppedAt + (isChecked ? 0 : 10_000);
    assert.ok(event.settledAt >= least && event.settledAt <= least + 1_000);
  }
});

test("a planned stop in a table outage ends and leaves the lease to expire", async () => {
  const simulation = await startThreeNodes(10);
  const leaving = pickOwner(simulation);
  leaving.table.fault = () => "down";
  let handed: boolean | undefined;
  void leaving.session.release().then((result) => {
    handed = result;
  });
  await simulation.run(12_000);
  assert.equal(handed, false);
});

test("a node that joins gets its share of the engines", async () => {
  const simulation = await startThreeNodes(11);
  const joined = simulation.start("f#1");
  await simulation.run(15_000);
  assertOneOwnerEach(simulation);
  const nodes = simulation.nodes.map((node) => node.name);
  const engines = simulation.engines.map(({ engine }) => engine);
  const assigned = assignByRendezvous(engines, nodes);
  const expected = engines.filter(
    (engine) => assigned.get(engine) === joined.name,
  );
  assert.ok(expected.length > 0);
  assert.deepEqual([...joined.session.owned()].sort(), [...expected].sort());
});

test("no engine is given up for balance while the table is down", async () => {
  const simulation = new SessionSimulation({ engines: 4, seed: 13 });
  const first = simulation.start("a#1");
  await simulation.run(3_000);
  assert.equal(first.session.owned().length, 4);
  simulation.start("b#1");
  await simulation.run(2_000);
  for (const node of simulation.nodes) node.table.fault = () => "down";
  await simulation.run(30_000);
  assert.equal(first.session.owned().length, 4);
  assert.ok(
    first.mayOrder("dispatch", brandString("engine-0"), simulation.clock.now()),
  );
});

test("the session of a dead node without engines is removed", async () => {
  const simulation = await startThreeNodes(12);
  const other = simulation.start("x#1", brandString<DataCentre>("dc-2"));
  await simulation.run(1_000);
  const key = brandString<never>(`session/${other.name}`);
  assert.ok(simulation.shared.rows.has(key));
  other.clock.pause();
  simulation.suspect(other);
  await simulation.run(70_000);
  assert.ok(!simulation.shared.rows.has(key));
});
