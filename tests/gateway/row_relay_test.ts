import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../../src/adapters/random/seeded_random.ts";
import { millis } from "../../src/core/clock.ts";
import { describeRows, type FleetNode, RowFleet } from "./row_fleet.ts";

/** Shortest bound within which a change of the configuration must be in force, in ms. */
const configurationBound = 2_500;

async function startFleet(options: ConstructorParameters<typeof RowFleet>[0]) {
  const fleet = new RowFleet(options);
  fleet.write("operator", "config", "1");
  fleet.write("servers", "i-1", "ready/a1");
  fleet.start();
  await fleet.advance(5_000);
  return fleet;
}

/** Writes a configuration and checks that the nodes receive it within the bound. */
async function assertReceived(fleet: RowFleet, receivers: FleetNode[]) {
  const version = fleet.write("operator", "config", "next");
  await fleet.advance(configurationBound);
  const late = receivers.filter(
    ({ received }) => !received.has(`operator/config@${version}`),
  );
  assert.deepEqual(
    late.map(({ machine }) => machine),
    [],
  );
}

function listOthers(fleet: RowFleet, left: FleetNode): FleetNode[] {
  return fleet.nodes.filter((node) => node !== left);
}

// Calls to the table service are priced, and its rate is limited for the whole fleet.
test("calls to the table service do not grow with the number of nodes", async () => {
  const callsPerSecond: number[] = [];
  for (const nodes of [30, 100, 300]) {
    const fleet = await startFleet({ nodes, dataCentres: 6 });
    const before = fleet.tableCalls;
    await fleet.advance(20_000);
    callsPerSecond.push((fleet.tableCalls - before) / 20);
  }
  for (const rate of callsPerSecond) assert.ok(rate < 40, `${rate} calls/s`);
  const [small = 0, , large = 0] = callsPerSecond;
  assert.ok(large <= small * 1.05, `${small} and ${large} calls/s`);
});

test("a change reaches every node soon after the reader of its data centre has it", async () => {
  const fleet = await startFleet({ nodes: 60, dataCentres: 6 });
  const version = fleet.write("operator", "config", "2");
  await fleet.advance(300);
  assert.equal(fleet.countReceived("operator", "config", version), 60);
});

test("changes of adapters alone are passed on at a limited rate, others at once", async () => {
  const fleet = await startFleet({ nodes: 30, dataCentres: 3 });
  for (let i = 0; i < 100; i++) fleet.write("servers", `s${i}`, "ready/a0");
  await fleet.advance(3_000);
  const before = fleet.peerRows;
  for (let second = 1; second <= 10; second++) {
    for (let i = 0; i < 100; i++) {
      fleet.write("servers", `s${i}`, `ready/a${second}`);
    }
    await fleet.advance(1_000);
  }
  const rowsPerNode = (fleet.peerRows - before) / 27;
  assert.ok(rowsPerNode <= 200, `${rowsPerNode} of 1000 changes`);
  const version = fleet.write("servers", "s1", "draining/a10");
  await fleet.advance(1_100);
  assert.equal(fleet.countReceived("servers", "s1", version), 30);
});

test("a removed row is reported to every node", async () => {
  const fleet = await startFleet({ nodes: 30, dataCentres: 3 });
  const version = fleet.write("servers", "i-1", undefined);
  await fleet.advance(1_100);
  assert.equal(fleet.countReceived("servers", "i-1", version), 30);
});

test("nodes whose reader is killed get a change in time from another", async () => {
  const fleet = await startFleet({ nodes: 30, dataCentres: 3 });
  const [first] = fleet.nodes as [FleetNode];
  const reader = fleet.findReader(first.dataCentre);
  fleet.kill(reader);
  await assertReceived(fleet, listOthers(fleet, reader));
});

test("nodes whose reader falls silent get a change in time from another", async () => {
  const fleet = await startFleet({ nodes: 30, dataCentres: 3 });
  const [first] = fleet.nodes as [FleetNode];
  const reader = fleet.findReader(first.dataCentre);
  reader.isReachable = false;
  await assertReceived(fleet, listOthers(fleet, reader));
});

test("nodes whose reader is paused get a change in time from another", async () => {
  const fleet = await startFleet({ nodes: 30, dataCentres: 3 });
  const [first] = fleet.nodes as [FleetNode];
  const reader = fleet.findReader(first.dataCentre);
  reader.clock.pause();
  await assertReceived(fleet, listOthers(fleet, reader));
});

test("nodes whose reader loses the table service get a change in time elsewhere", async () => {
  for (const access of ["silent", "refused"] as const) {
    const fleet = await startFleet({ nodes: 30, dataCentres: 3 });
    const [first] = fleet.nodes as [FleetNode];
    const reader = fleet.findReader(first.dataCentre);
    reader.access = access;
    await assertReceived(fleet, listOthers(fleet, reader));
  }
});

// A lost reader must not turn every node into a reader for long.
test("after the loss of a reader the calls return to their level", async () => {
  const fleet = await startFleet({ nodes: 100, dataCentres: 2 });
  const [first] = fleet.nodes as [FleetNode];
  const reader = fleet.findReader(first.dataCentre);
  reader.access = "silent";
  await fleet.advance(8_000);
  const before = fleet.tableCalls;
  await fleet.advance(10_000);
  const rate = (fleet.tableCalls - before) / 10;
  assert.ok(rate < 20, `${rate} calls/s`);
});

test("while the table service is away for all, few calls are made, and all nodes get a change soon after", async () => {
  const fleet = await startFleet({ nodes: 100, dataCentres: 6 });
  for (const node of fleet.nodes) node.access = "refused";
  const before = fleet.tableCalls;
  await fleet.advance(10_000);
  const rate = (fleet.tableCalls - before) / 10;
  assert.ok(rate < 150, `${rate} calls/s`);
  for (const node of fleet.nodes) node.access = "open";
  await assertReceived(fleet, fleet.nodes);
});

test("after the history is lost all nodes still agree with the table service", async () => {
  const fleet = await startFleet({ nodes: 30, dataCentres: 3 });
  fleet.write("servers", "i-1", undefined);
  fleet.truncateHistory();
  await fleet.advance(3_000);
  for (const { relay } of fleet.nodes) {
    assert.deepEqual(relay.snapshot("servers")?.rows, []);
  }
});

test("a fleet that restarts at the same moment soon makes no more calls than before", async () => {
  const fleet = await startFleet({ nodes: 100, dataCentres: 6 });
  for (const node of fleet.nodes) fleet.kill(node);
  await fleet.advance(1_000);
  const before = fleet.tableCalls;
  for (const node of fleet.nodes) fleet.restart(node);
  await fleet.advance(2_000);
  const started = fleet.tableCalls - before;
  assert.ok(started < 600, `${started} calls`);
  await assertReceived(fleet, fleet.nodes);
});

// Guards the leases: a holder orders for a time after its rows were confirmed,
// and its successor starts once that time must be over.
test("rows are never confirmed for a time at which a newer version or epoch existed", async () => {
  for (let seed = 1; seed <= 12; seed++) {
    const fleet = new RowFleet({ nodes: 12, dataCentres: 2, seed });
    const random = createSeededRandom(seed);
    fleet.start();
    for (let step = 0; step < 120; step++) {
      const node = fleet.nodes[Math.floor(random() * 12)] as FleetNode;
      disturb(fleet, node, random);
      if (random() < 0.08) fleet.restore(Math.ceil(random() * 10));
      fleet.write("nodes", `engine${step % 5}`, `dc9`);
      await fleet.advance(50 + random() * 400);
      fleet.checkConfirmations("nodes");
    }
    const violations = fleet.nodes.flatMap((node) => node.violations);
    assert.deepEqual(violations, [], `seed ${seed}`);
    await heal(fleet);
    for (const { relay } of fleet.nodes) {
      const rows = describeRows(relay.snapshot("nodes")?.rows ?? []);
      assert.deepEqual(rows, fleet.listRows("nodes"), `seed ${seed}`);
    }
  }
});

type Accident = (fleet: RowFleet) => readonly FleetNode[];

/** Accidents while the table service is away; each returns the nodes that are not bound afterwards. */
const accidents: { readonly [name: string]: Accident } = {
  "no accident": () => [],
  "nodes that the table service turns away": ({ nodes }) => {
    for (const node of nodes.slice(0, 4)) node.access = "refused";
    return [];
  },
  "nodes that others do not reach": ({ nodes }) => {
    for (const node of nodes.slice(0, 4)) node.isReachable = false;
    return [];
  },
  "killed nodes that start again": (fleet) => {
    const killed = fleet.nodes.slice(0, 4);
    for (const node of killed) fleet.kill(node);
    fleet.clock.schedule(millis(2_200), () => {
      for (const node of killed) fleet.restart(node);
    });
    return killed;
  },
  "frozen nodes": (fleet) => {
    const frozen = fleet.nodes.slice(0, 4);
    for (const node of frozen) node.clock.pause();
    fleet.clock.schedule(millis(2_200), () => {
      for (const node of frozen) node.clock.resume();
    });
    return frozen;
  },
  "a second restore": (fleet) => {
    fleet.clock.schedule(millis(2_150), () => fleet.restore(3));
    return [];
  },
};

/** Takes the table service away for a time and brings it back from a copy. */
async function restoreFleet(
  fleet: RowFleet,
  { away, lost }: { away: number; lost: number },
): Promise<void> {
  const open = fleet.nodes.filter(({ access }) => access === "open");
  for (const node of open) node.access = "refused";
  await fleet.advance(away);
  fleet.restore(lost);
  for (const node of open) node.access = "open";
}

// Nodes kept the rows of before the restore until the versions had passed the
// old ones: configurations were not in force, leaving servers were used.
test("after a restore from a copy all nodes have the rows that are written again", async () => {
  for (const [name, accident] of Object.entries(accidents)) {
    for (const lost of [4, 9, 19]) {
      const fleet = await startFleet({ nodes: 18, dataCentres: 3, seed: lost });
      for (let i = 0; i < 20; i++) {
        fleet.write(
          "servers",
          `i-${i % 7}`,
          i === 18 ? undefined : `ready${i}`,
        );
        await fleet.advance(60);
      }
      const exempt = accident(fleet);
      await restoreFleet(fleet, { away: 2_000, lost });
      await fleet.advance(400);
      fleet.write("operator", "config", `after ${lost}`);
      await fleet.advance(configurationBound);
      for (const node of fleet.nodes) {
        if (exempt.includes(node)) continue;
        for (const topic of ["operator", "servers"] as const) {
          const rows = describeRows(node.relay.snapshot(topic)?.rows ?? []);
          const label = `${name}, ${lost} lost, ${topic} of ${node.machine}`;
          assert.deepEqual(rows, fleet.listRows(topic), label);
        }
      }
    }
  }
});

/** Ends all disturbances, writes once more and waits until all nodes must know. */
async function heal(fleet: RowFleet): Promise<void> {
  for (const node of fleet.nodes) {
    if (node.clock.paused) node.clock.resume();
    if (!node.isAlive) fleet.restart(node);
    node.isReachable = true;
    node.access = "open";
  }
  await fleet.advance(5_000);
  fleet.write("nodes", "engine0", "dc9");
  await fleet.advance(configurationBound);
}

function disturb(fleet: RowFleet, node: FleetNode, random: () => number): void {
  const choice = random();
  if (choice < 0.2) {
    if (node.clock.paused) node.clock.resume();
    else node.clock.pause();
  } else if (choice < 0.35) {
    node.isReachable = !node.isReachable;
  } else if (choice < 0.5) {
    node.access = node.access === "open" ? "silent" : "open";
  } else if (choice < 0.6 && !node.clock.paused) {
    if (node.isAlive) fleet.kill(node);
    else fleet.restart(node);
  }
}
