import assert from "node:assert/strict";
import { test } from "node:test";
import { type FleetNode, RowFleet, type TableAccess } from "./row_fleet.ts";

/**
 * Time within which every node must know that a server leaves, in ms: requests
 * may reach it for 2,500 ms, of which 200 ms are left for their way.
 */
const newsBound = 2_300;
/** Times of the news relative to the trouble, in ms. */
const newsOffsets = [-900, -600, -300, -100, 0, 200, 500, 900, 1_500];

/** Disturbs a fleet; returns the nodes that are not bound to know the news in time. */
type Trouble = (fleet: RowFleet) => readonly FleetNode[];

function listDataCentre(fleet: RowFleet): FleetNode[] {
  const reader = fleet.findReader(fleet.nodes[0]?.dataCentre as never);
  const others = fleet.nodes.filter(
    (node) => node !== reader && node.dataCentre === reader.dataCentre,
  );
  return [reader, ...others];
}

function turnAway(access: TableAccess, nodes: readonly FleetNode[]): [] {
  for (const node of nodes) node.access = access;
  return [];
}

function pause(nodes: readonly FleetNode[]): readonly FleetNode[] {
  for (const node of nodes) node.clock.pause();
  return nodes;
}

function isolate(nodes: readonly FleetNode[]): readonly FleetNode[] {
  for (const node of nodes) node.isReachable = false;
  return [];
}

function kill(fleet: RowFleet, nodes: readonly FleetNode[]) {
  for (const node of nodes) fleet.kill(node);
  return nodes;
}

const troubles: { readonly [name: string]: Trouble } = {
  "no trouble": () => [],
  "a killed reader": (fleet) => kill(fleet, listDataCentre(fleet).slice(0, 1)),
  "a paused reader": (fleet) => pause(listDataCentre(fleet).slice(0, 1)),
  "two paused nodes, the reader among them": (fleet) =>
    pause(listDataCentre(fleet).slice(0, 2)),
  "a reader that other nodes do not reach": (fleet) =>
    isolate(listDataCentre(fleet).slice(0, 1)),
  "a reader that gets no answer of the table service": (fleet) =>
    turnAway("silent", listDataCentre(fleet).slice(0, 1)),
  "a reader that the table service turns away": (fleet) =>
    turnAway("refused", listDataCentre(fleet).slice(0, 1)),
  "a data centre without answers of the table service": (fleet) =>
    turnAway("silent", listDataCentre(fleet)),
  "a data centre that the table service turns away": (fleet) =>
    turnAway("refused", listDataCentre(fleet)),
  "half of the nodes without answers of the table service": (fleet) =>
    turnAway("silent", [
      ...listDataCentre(fleet).slice(0, 2),
      ...fleet.nodes.slice(0, 4),
    ]),
};

async function findLateNodes(trouble: Trouble, offset: number, seed: number) {
  const fleet = new RowFleet({ nodes: 12, dataCentres: 3, seed });
  fleet.write("operator", "config", "1");
  fleet.write("servers", "s1", "ready");
  fleet.write("servers", "s2", "ready");
  fleet.start();
  await fleet.advance(5_000 + 137 * seed);
  let exempt: readonly FleetNode[] = [];
  if (offset >= 0) {
    exempt = trouble(fleet);
    await fleet.advance(offset);
  }
  const version = fleet.write("servers", "s1", undefined);
  if (offset < 0) {
    await fleet.advance(-offset);
    exempt = trouble(fleet);
    await fleet.advance(newsBound + offset);
  } else {
    await fleet.advance(newsBound);
  }
  return fleet.nodes.filter(
    (node) =>
      !exempt.includes(node) && !node.received.has(`servers/s1@${version}`),
  );
}

// A node that learns too late that a server leaves sends it further requests.
for (const [name, trouble] of Object.entries(troubles)) {
  test(`every node learns in time that a server leaves: ${name}`, async () => {
    const late: string[] = [];
    for (const offset of newsOffsets) {
      for (let seed = 1; seed <= 5; seed++) {
        const nodes = await findLateNodes(trouble, offset, seed);
        if (nodes.length === 0) continue;
        late.push(`${nodes.length} nodes, news at ${offset} ms, seed ${seed}`);
      }
    }
    assert.deepEqual(late, []);
  });
}
