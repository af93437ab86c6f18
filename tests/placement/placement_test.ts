import assert from "node:assert/strict";
import { test } from "node:test";
import { millis } from "../../src/core/clock.ts";
import type { CatalogEntry } from "../../src/core/config/catalog.ts";
import {
  type AdapterKey,
  type AdapterName,
  brandNumber,
  brandString,
  type Digest,
  type EngineId,
  type NodeId,
  type Version,
} from "../../src/core/ids.ts";
import { getDriftHours } from "../../src/core/placement/forecast.ts";
import {
  createPlacementState,
  decidePlacement,
  type PlacementEvent,
} from "../../src/core/placement/placement.ts";

const version = brandString<Version>("1");
const engineNames = ["a", "b", "c", "d", "e", "f"];

function keyOf(name: string): AdapterKey {
  return brandString<AdapterKey>(`${name}@1`);
}

function listEngines(names: readonly string[], capacity = 8) {
  return names.map((name) => ({
    engine: brandString<EngineId>(name),
    weight: 1,
    capacity,
  }));
}

function createEntry(
  name: string,
  rest: Partial<CatalogEntry> = {},
): [AdapterName, CatalogEntry] {
  const adapter = brandString<AdapterName>(name);
  return [
    adapter,
    { name: adapter, versions: [version], busy: [], weight: 1, ...rest },
  ];
}

/** Placement of one node, driven by the test. */
class Placement {
  state = createPlacementState(millis(0));
  readonly wanted = new Map<string, readonly AdapterKey[]>();

  constructor(engines = listEngines(engineNames)) {
    this.send(0, { type: "engines", engines });
  }

  send(at: number, event: PlacementEvent): void {
    const decision = decidePlacement(this.state, event, millis(at));
    this.state = decision.state;
    for (const { engine, adapters } of decision.commands)
      this.wanted.set(engine, adapters);
  }

  applySheet(entries: [AdapterName, CatalogEntry][]): void {
    this.send(0, {
      type: "catalog",
      catalog: {
        revision: brandNumber(1),
        digest: brandString<Digest>("d"),
        adapters: new Map(entries),
      },
    });
  }

  /** Sends requests for an adapter at a constant rate over a period. */
  request(
    name: string,
    span: { from: number; to: number; rate: number; hour?: number },
  ): void {
    const { from, to, rate, hour = 12 } = span;
    for (let at = from; at < to; at += 1000 / rate)
      this.send(at, { type: "request-seen", adapter: keyOf(name), hour });
  }

  homesOf(name: string): string[] {
    return [...this.wanted]
      .filter(([, adapters]) => adapters.includes(keyOf(name)))
      .map(([engine]) => engine)
      .sort();
  }
}

test("adapters get copies by their share of demand, rare ones a single home", () => {
  const placement = new Placement();
  placement.request("popular", { from: 0, to: 10_000, rate: 10 });
  placement.request("common", { from: 0, to: 10_000, rate: 2 });
  placement.request("rare", { from: 0, to: 10_000, rate: 0.1 });
  placement.send(10_000, { type: "tick", hour: 12 });
  assert.equal(placement.homesOf("popular").length, 6);
  assert.ok([2, 3].includes(placement.homesOf("common").length));
  assert.equal(placement.homesOf("rare").length, 1);
});

test("removing an engine moves only its adapters", () => {
  const placement = new Placement(listEngines(engineNames, 100));
  const names = Array.from({ length: 60 }, (_, index) => `adapter-${index}`);
  for (const name of names)
    placement.request(name, { from: 0, to: 1000, rate: 2 });
  placement.send(1000, { type: "tick", hour: 12 });
  const before = new Map(names.map((name) => [name, placement.homesOf(name)]));
  const engines = listEngines(engineNames.slice(0, 5), 100);
  placement.send(1000, { type: "engines", engines });
  placement.wanted.delete("f");
  placement.send(1001, { type: "tick", hour: 12 });
  for (const name of names) {
    const homes = before.get(name) as string[];
    if (!homes.includes("f"))
      assert.deepEqual(placement.homesOf(name), homes, name);
    assert.ok(placement.homesOf(name).length >= 1);
  }
});

test("a step in demand for an adapter that the sheet does not name is placed within 3 s", () => {
  const placement = new Placement();
  placement.applySheet(
    ["x", "y", "z"].map((name) =>
      createEntry(name, { busy: [{ from: 0, to: 24 }] }),
    ),
  );
  for (const name of ["x", "y", "z"])
    placement.request(name, { from: 0, to: 60_000, rate: 3 });
  placement.request("storm", { from: 60_000, to: 63_000, rate: 20 });
  placement.send(63_000, { type: "tick", hour: 12 });
  assert.ok(placement.homesOf("storm").length >= 3);
});

test("adapters that the sheet expects are placed before their first request", () => {
  const placement = new Placement();
  placement.applySheet([
    createEntry("evening", { busy: [{ from: 17, to: 20 }] }),
    createEntry("morning", { busy: [{ from: 6, to: 9 }] }),
  ]);
  placement.send(1000, { type: "tick", hour: 17.5 });
  assert.ok(placement.homesOf("evening").length >= 1);
  assert.equal(placement.homesOf("morning").length, 0);
});

test("a peak that comes 40 minutes later than the sheet says is learned from demand", () => {
  const placement = new Placement();
  placement.applySheet([
    createEntry("noon", { busy: [{ from: 11, to: 13 }] }),
    createEntry("evening", { busy: [{ from: 17, to: 20 }] }),
    createEntry("night", { busy: [{ from: 20, to: 23 }] }),
  ]);
  placement.request("evening", { from: 0, to: 60_000, rate: 2, hour: 20.5 });
  const drift = getDriftHours(placement.state.forecast);
  assert.ok(drift > 0.4 && drift < 0.8, `${drift} h`);
  placement.send(61_000, { type: "tick", hour: 20.5 });
  assert.equal(placement.homesOf("night").length, 0);
});

test("demand received from another node counts for 10 s", () => {
  const placement = new Placement();
  placement.send(0, {
    type: "demand-received",
    from: brandString<NodeId>("n"),
    rates: [[keyOf("remote"), 5]],
  });
  placement.send(5000, { type: "tick", hour: 12 });
  assert.equal(placement.homesOf("remote").length, 6);
  placement.send(20_000, { type: "tick", hour: 12 });
  assert.equal(placement.homesOf("remote").length, 0);
});

test("a sheet of 170,000 adapters keeps state only for those with recent demand", () => {
  const placement = new Placement();
  const entries = Array.from({ length: 170_000 }, (_, index) =>
    createEntry(`adapter-${index}`, { busy: [{ from: 8, to: 9 }] }),
  );
  placement.applySheet(entries);
  for (let index = 0; index < 200; index++)
    placement.request(`adapter-${index}`, { from: 0, to: 1000, rate: 1 });
  placement.send(1000, { type: "tick", hour: 12 });
  assert.equal(placement.state.demand.entries.size, 200);
  assert.equal(placement.state.copies.size, 200);
  placement.send(1_200_000, { type: "tick", hour: 12 });
  assert.equal(placement.state.demand.entries.size, 0);
});
