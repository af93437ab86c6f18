import assert from "node:assert/strict";
import { test } from "node:test";
import { brandString, type DataCentre } from "../../src/core/ids.ts";
import {
  assignByRendezvous,
  chooseByRendezvous,
} from "../../src/core/lease/rendezvous.ts";
import {
  type SessionNode,
  SessionSimulation,
} from "../support/session_fixture.ts";

// Guards against leases and engines that are lost, shared or taken too early when
// nodes or the table fail.

async function startThreeNodes(seed: number): Promise<SessionSimulation> {
  const world = new SessionSimulation({ engines: 6, seed });
  for (const name of ["a#1", "b#1", "c#1"]) world.start(name);
  // Long enough for the first node to hand engines to the later ones.
  await world.run(15_000);
  return world;
}

function assertOneOwnerEach(world: SessionSimulation): void {
  for (const [engine, owners] of world.owners()) {
    assert.equal(owners.length, 1, `${engine} has owners ${owners.join()}`);
  }
}

function pickOwner(world: SessionSimulation): SessionNode {
  const owner = world.nodes.find((node) => node.session.owned().length > 0);
  assert.ok(owner);
  return owner;
}

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

test("three nodes take each engine of their data centre exactly once", async () => {
  const world = await startThreeNodes(1);
  assertOneOwnerEach(world);
  world.start("d#1", brandString<DataCentre>("dc-2"));
  await world.run(5_000);
  assert.deepEqual(world.nodes[3]?.session.owned(), []);
});

test("a crashed owner is replaced at most 9 s after the crash", async () => {
  const world = await startThreeNodes(2);
  const crashed = pickOwner(world);
  const engines = crashed.session.owned();
  crashed.clock.pause();
  await world.run(2_000);
  world.suspect(crashed);
  await world.run(7_000);
  assertOneOwnerEach(world);
  for (const engine of engines) {
    const successor = world.nodes.find(
      (node) => node !== crashed && node.session.owned().includes(engine),
    );
    const before = Math.max(...(crashed.fences.get(engine) ?? [0]));
    const after = Math.max(...(successor?.fences.get(engine) ?? [0]));
    assert.ok(after > before, "the new owner has no higher fencing number");
  }
});

test("an owner paused past its lease may order nothing when it resumes", async () => {
  const world = await startThreeNodes(3);
  const paused = pickOwner(world);
  const engines = paused.session.owned();
  paused.clock.pause();
  await world.run(2_000);
  world.suspect(paused);
  await world.run(10_000);
  paused.clock.resume();
  for (const engine of engines) {
    assert.equal(paused.mayOrder("evict", engine, world.clock.now()), false);
    assert.equal(paused.mayOrder("dispatch", engine, world.clock.now()), false);
  }
  await world.run(1_500);
  for (const engine of engines) {
    assert.equal(paused.ownership.get(engine)?.type, "ownership-lost");
  }
  assertOneOwnerEach(world);
});

test("a lease is dated from before its renewal was sent", async () => {
  const world = await startThreeNodes(13);
  const holder = pickOwner(world);
  let sentAt: number | undefined;
  holder.table.fault = (call) => {
    if (call === "transact") sentAt ??= world.clock.now();
    return "none";
  };
  await world.run(2_100);
  assert.ok(sentAt !== undefined);
  assert.ok(holder.session.usableUntil() <= sentAt + 5_000);
  assert.ok(holder.session.usableUntil() > sentAt + 4_900);
});

test("a lease renewed within its duration is not taken by a node that suspects its holder", async () => {
  const world = await startThreeNodes(4);
  const slow = pickOwner(world);
  const engines = slow.session.owned();
  world.suspect(slow);
  slow.view = [...world.live, { node: slow.name, dataCentre: slow.dataCentre }];
  await world.run(30_000);
  assert.deepEqual(slow.session.owned(), engines);
});

test("lost and late answers of the table lose no lease and no engine", async () => {
  const world = await startThreeNodes(5);
  const owned = world.nodes.map((node) => node.session.owned());
  for (const node of world.nodes) {
    node.table.fault = () => {
      const draw = world.random();
      if (draw < 0.2) return "lost-answer";
      return draw < 0.3 ? "late-write" : "none";
    };
  }
  for (let second = 0; second < 60; second++) {
    await world.run(1_000);
    assertOneOwnerEach(world);
  }
  assert.deepEqual(
    world.nodes.map((node) => node.session.owned()),
    owned,
  );
});

test("a lease holds while every answer to a renewal is lost", async () => {
  const world = await startThreeNodes(14);
  for (const node of world.nodes) {
    node.table.fault = (call) => (call === "transact" ? "lost-answer" : "none");
  }
  for (let second = 0; second < 30; second++) {
    await world.run(1_000);
    assert.ok(world.nodes.every((node) => node.session.isUsable()));
  }
});

test("a handover after a crash still waits for the orders that were in flight at the crash", async () => {
  const world = await startThreeNodes(15);
  const crashed = pickOwner(world);
  const engines = crashed.session.owned();
  crashed.clock.pause();
  await world.run(2_000);
  world.suspect(crashed);
  await world.run(7_000);
  const takenAt = world.clock.now();
  const successor = world.nodes
    .filter((node) => node !== crashed)
    .find((node) =>
      engines.some((engine) => node.session.owned().includes(engine)),
    );
  assert.ok(successor);
  world.suspect(successor);
  void successor.session.release();
  await world.run(1_000);
  const last = world.nodes.find(
    (node) => node !== crashed && node !== successor,
  );
  for (const { engine, fencing } of world.engines) {
    const event = last?.ownership.get(engine);
    assert.ok(event?.type === "ownership");
    if (fencing === "checked" || !engines.includes(engine)) continue;
    assert.ok(event.settledAt >= takenAt + 15_000);
  }
});

test("a first claim whose answer is lost is found by its attempt token", async () => {
  const world = new SessionSimulation({ engines: 4, seed: 6 });
  const node = world.start("a#1");
  let calls = 0;
  node.table.fault = () => (calls++ < 4 ? "lost-answer" : "none");
  await world.run(6_000);
  assert.equal(node.session.owned().length, 4);
  for (const fences of node.fences.values()) assert.deepEqual([...fences], [1]);
});

test("in a table outage dispatch continues and loads stop at the lease end", async () => {
  const world = await startThreeNodes(7);
  for (const node of world.nodes) node.table.fault = () => "down";
  await world.run(8_000);
  const now = world.clock.now();
  for (const { engine, fencing } of world.engines) {
    const dispatchers = world.nodes.filter((node) =>
      node.mayOrder("dispatch", engine, now),
    );
    assert.equal(dispatchers.length, 1);
    assert.ok(
      world.nodes.every((node) => !node.mayOrder("evict", engine, now)),
    );
    const event = dispatchers[0]?.ownership.get(engine);
    assert.ok(event?.type === "ownership");
    const isBounded = Number.isFinite(event.dispatchUntil);
    assert.equal(isBounded, fencing === "ignored");
  }
  for (const node of world.nodes) node.table.fault = () => "none";
  await world.run(2_000);
  assertOneOwnerEach(world);
  const isOrdering = world.engines.every(({ engine }) =>
    world.nodes.some((node) =>
      node.mayOrder("evict", engine, world.clock.now()),
    ),
  );
  assert.ok(isOrdering, "an engine cannot be ordered after the outage");
});

test("of two nodes that take the same engine one wins", async () => {
  const world = new SessionSimulation({ engines: 6, seed: 8 });
  const first = world.start("a#1");
  const second = world.start("b#1");
  first.view = [{ node: first.name, dataCentre: first.dataCentre }];
  second.view = [{ node: second.name, dataCentre: second.dataCentre }];
  await world.run(3_000);
  assertOneOwnerEach(world);
  for (const { engine } of world.engines) {
    assert.ok(!(first.fences.has(engine) && second.fences.has(engine)));
  }
});

test("a planned stop hands every engine over within a second and waits for orders in flight", async () => {
  const world = await startThreeNodes(9);
  const leaving = pickOwner(world);
  const engines = leaving.session.owned();
  const fencings = new Map(
    world.engines.map(({ engine, fencing }) => [engine, fencing]),
  );
  world.suspect(leaving);
  const stoppedAt = world.clock.now();
  let handed: boolean | undefined;
  void leaving.session.release().then((result) => {
    handed = result;
  });
  for (const engine of engines) {
    assert.equal(leaving.ownership.get(engine)?.type, "ownership-lost");
  }
  await world.run(1_000);
  assert.equal(handed, true);
  assertOneOwnerEach(world);
  assert.ok(!world.shared.rows.has(brandString(`session/${leaving.name}`)));
  for (const engine of engines) {
    const event = world.nodes
      .map((node) => node.ownership.get(engine))
      .find((report) => report?.type === "ownership");
    assert.ok(event?.type === "ownership");
    const isChecked = fencings.get(engine) === "checked";
    const least = stoppedAt + (isChecked ? 0 : 10_000);
    assert.ok(event.settledAt >= least && event.settledAt <= least + 1_000);
  }
});

test("a planned stop in a table outage ends and leaves the lease to expire", async () => {
  const world = await startThreeNodes(10);
  const leaving = pickOwner(world);
  leaving.table.fault = () => "down";
  let handed: boolean | undefined;
  void leaving.session.release().then((result) => {
    handed = result;
  });
  await world.run(12_000);
  assert.equal(handed, false);
});

test("a node that joins gets its share of the engines", async () => {
  const world = await startThreeNodes(11);
  const joined = world.start("f#1");
  await world.run(15_000);
  assertOneOwnerEach(world);
  const nodes = world.nodes.map((node) => node.name);
  const engines = world.engines.map(({ engine }) => engine);
  const assigned = assignByRendezvous(engines, nodes);
  const expected = engines.filter(
    (engine) => assigned.get(engine) === joined.name,
  );
  assert.ok(expected.length > 0);
  assert.deepEqual([...joined.session.owned()].sort(), [...expected].sort());
});

test("no engine is given up for balance while the table is down", async () => {
  const world = new SessionSimulation({ engines: 4, seed: 13 });
  const first = world.start("a#1");
  await world.run(3_000);
  assert.equal(first.session.owned().length, 4);
  world.start("b#1");
  await world.run(2_000);
  for (const node of world.nodes) node.table.fault = () => "down";
  await world.run(30_000);
  assert.equal(first.session.owned().length, 4);
  assert.ok(
    first.mayOrder("dispatch", brandString("engine-0"), world.clock.now()),
  );
});

test("the session of a dead node without engines is removed", async () => {
  const world = await startThreeNodes(12);
  const other = world.start("x#1", brandString<DataCentre>("dc-2"));
  await world.run(1_000);
  const key = brandString<never>(`session/${other.name}`);
  assert.ok(world.shared.rows.has(key));
  other.clock.pause();
  world.suspect(other);
  await world.run(70_000);
  assert.ok(!world.shared.rows.has(key));
});
