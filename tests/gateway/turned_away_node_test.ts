import assert from "node:assert/strict";
import { test } from "node:test";
import { type FleetNode, RowFleet, type TableAccess } from "./row_fleet.ts";

/**
 * Time within which a node that the table service turns away must know what
 * another one knows, in ms: of the 2,500 ms for which requests may reach a
 * leaving server, the first node may need 1,000 and a request's way 200.
 */
const newsBound = 1_300;
const seeds = [1, 2, 3, 4, 5];
/** Number of changes, and the time between two of them, in ms. */
const changes = 60;
const changeInterval = 317;
/** Time until a node notices that it gets no answers, in ms. */
const noticeTime: { readonly [access in TableAccess]: number } = {
  open: 0,
  refused: 0,
  silent: 2_000,
};

type Scope = (reader: FleetNode, fleet: RowFleet) => FleetNode[];

const scopes: { readonly [name: string]: Scope } = {
  "the reader of a data centre": (reader) => [reader],
  "a data centre": (reader, { nodes }) =>
    nodes.filter(({ dataCentre }) => dataCentre === reader.dataCentre),
  "all data centres but one": (reader, { nodes }) =>
    nodes.filter(({ dataCentre }) => dataCentre !== reader.dataCentre),
};

/** Longest time from when the first node knows a change until each node knows it, in ms. */
async function findLongestDelay(
  scope: Scope,
  access: TableAccess,
  seed: number,
): Promise<number> {
  const fleet = new RowFleet({ nodes: 12, dataCentres: 3, seed });
  fleet.write("operator", "config", "1");
  fleet.write("servers", "s1", "ready");
  fleet.start();
  await fleet.advance(5_000 + 137 * seed);
  const [first] = fleet.nodes as [FleetNode];
  const reader = fleet.findReader(first.dataCentre);
  for (const node of scope(reader, fleet)) node.access = access;
  await fleet.advance(noticeTime[access]);
  const versions: number[] = [];
  for (let i = 0; i < changes; i++) {
    versions.push(fleet.write("servers", "s1", `change ${i}`));
    await fleet.advance(changeInterval);
  }
  await fleet.advance(5_000);
  /** Time at which a node knew a change, or a later one of the same server. */
  const findKnownAt = ({ received }: FleetNode, version: number) => {
    const times = versions
      .filter((later) => later >= version)
      .map((later) => received.get(`servers/s1@${later}`) ?? Infinity);
    return Math.min(...times);
  };
  const delays = versions.map((version) => {
    const times = fleet.nodes.map((node) => findKnownAt(node, version));
    return Math.max(...times) - Math.min(...times);
  });
  return Math.max(...delays);
}

for (const access of ["refused", "silent"] as const) {
  for (const [name, scope] of Object.entries(scopes)) {
    // Such a node asked again only when its rows were outdated, and sent requests to a server that had left.
    test(`news reaches ${name} in time while the table service's answer is "${access}"`, async () => {
      for (const seed of seeds) {
        const delay = await findLongestDelay(scope, access, seed);
        assert.ok(delay <= newsBound, `seed ${seed}: ${delay} ms`);
      }
    });
  }
}
