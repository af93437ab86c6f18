import assert from "node:assert/strict";
import { test } from "node:test";
import type { Either } from "purify-ts";
import {
  type AttemptToken,
  brandString,
  type RowKey,
} from "../../src/core/ids.ts";
import type { Refusal } from "../../src/core/results/refusal.ts";
import type { AppliedSheet } from "../../src/ports/operators.ts";
import type { Json } from "../../src/ports/table.ts";
import {
  type ConfigurationNode,
  ConfigurationSimulation,
  createSheet,
} from "../support/configuration_fixture.ts";

// Guards against changes that are lost, applied twice or reverted, and against
// nodes that stay behind the head.

type Result = Either<Refusal, AppliedSheet>;

type Change = {
  at: ConfigurationNode;
  base: number;
  attempt: string;
  sheet?: unknown;
};

/** Applies sheets concurrently and advances virtual time until all answers have arrived. */
async function applyAll(
  simulation: ConfigurationSimulation,
  changes: readonly Change[],
): Promise<Result[]> {
  const results: Result[] = [];
  for (const [index, change] of changes.entries()) {
    const { at, base, attempt, sheet = createSheet([attempt]) } = change;
    const sent = { base, sheet, operator: "ola", attempt };
    void at.configuration.apply(sent).then((answer) => {
      results[index] = answer;
    });
  }
  for (let wait = 0; wait < 400; wait++) {
    if (Object.keys(results).length === changes.length) return results;
    await simulation.run(50);
  }
  throw new Error("No answer within 20 s");
}

async function apply(
  simulation: ConfigurationSimulation,
  change: Change,
): Promise<Result> {
  return (await applyAll(simulation, [change]))[0] as Result;
}

async function readRow(simulation: ConfigurationSimulation, key: string) {
  const answer = simulation.table.read(brandString<RowKey>(key));
  await simulation.run(50);
  return (await answer).orDefault(undefined)?.value;
}

function codeOf(result: Result): string {
  return result.caseOf({ Left: ({ code }) => code, Right: () => "accepted" });
}

function revisions(
  simulation: ConfigurationSimulation,
): (number | undefined)[] {
  return simulation.nodes.map(({ configuration }) => configuration.revision());
}

async function startWithSheet(seed: number): Promise<ConfigurationSimulation> {
  const simulation = new ConfigurationSimulation(seed);
  simulation.startNineNodes();
  await simulation.run(2_000);
  const at = simulation.nodes[0] as ConfigurationNode;
  const result = await apply(simulation, { at, base: 0, attempt: "first" });
  assert.equal(codeOf(result), "accepted");
  await simulation.run(1_500);
  return simulation;
}

test("a sheet is in force on nine nodes of three regions within 1.5 s", async () => {
  const simulation = await startWithSheet(1);
  assert.deepEqual(revisions(simulation), Array(9).fill(1));
  for (const { configuration } of simulation.nodes) {
    assert.equal(configuration.certainty(), "confirmed");
    const found = configuration.resolveModel("chains");
    assert.deepEqual(found, { kind: "found", key: "chains@first" });
    const missing = configuration.resolveModel("chains@other");
    assert.equal(missing.kind, "unknown-version");
    assert.equal(configuration.resolveModel("x").kind, "unknown-adapter");
  }
});

test("a revision that another node advertises is fetched at once", async () => {
  const simulation = await startWithSheet(12);
  const at = simulation.nodes[0] as ConfigurationNode;
  await apply(simulation, { at, base: 1, attempt: "second" });
  await simulation.run(250);
  assert.deepEqual(revisions(simulation), Array(9).fill(2));
});

test("of 1,000 concurrent changes each accepted one lasts, none is reverted and each other one is refused", async () => {
  const simulation = await startWithSheet(2);
  // Slow reads let an older revision arrive after a newer one.
  simulation.objectDelay = 300;
  const accepted = new Map<number, string>();
  let conflicts = 0;
  for (let round = 0; round < 100; round++) {
    if (round % 10 === 3) simulation.table.lostAnswers = 2;
    if (round % 10 === 6) simulation.table.lostRequests = 2;
    const changes = Array.from({ length: 10 }, (_, index) => {
      const at = simulation.nodes[(round + index) % 9] as ConfigurationNode;
      const base = at.configuration.revision() ?? 0;
      return { at, base, attempt: `r${round}-${index}` };
    });
    const results = await applyAll(simulation, changes);
    for (const [index, result] of results.entries()) {
      const attempt = changes[index]?.attempt as string;
      result.caseOf({
        Left: ({ code }) => {
          assert.equal(code, "revisionConflict");
          conflicts++;
        },
        Right: ({ revision }) => {
          assert.ok(!accepted.has(revision), `revision ${revision} twice`);
          accepted.set(revision, attempt);
        },
      });
    }
  }
  await simulation.run(5_000);
  assert.equal(accepted.size + conflicts, 1_000);
  assert.ok(accepted.size >= 100);
  const newest = accepted.size + 1;
  assert.deepEqual(revisions(simulation), Array(9).fill(newest));
  const last = accepted.get(newest) as string;
  for (const { configuration, history } of simulation.nodes) {
    const found = configuration.resolveModel("chains");
    assert.deepEqual(found, { kind: "found", key: `chains@${last}` });
    const sorted = [...history].sort((a, b) => a - b);
    assert.deepEqual(history, sorted, "a revision reverted");
  }
});

test("a change whose answer is lost counts as accepted, and once only", async () => {
  const simulation = await startWithSheet(3);
  const at = simulation.nodes[4] as ConfigurationNode;
  simulation.table.lostAnswers = 1;
  const change = { at, base: 1, attempt: "second" };
  assert.equal(codeOf(await apply(simulation, change)), "accepted");
  assert.equal(codeOf(await apply(simulation, change)), "accepted");
  await simulation.run(1_500);
  assert.deepEqual(revisions(simulation), Array(9).fill(2));
});

test("a change whose request is lost is sent again", async () => {
  const simulation = await startWithSheet(4);
  const at = simulation.nodes[4] as ConfigurationNode;
  simulation.table.lostRequests = 2;
  const change = { at, base: 1, attempt: "second" };
  assert.equal(codeOf(await apply(simulation, change)), "accepted");
  assert.equal(at.configuration.revision(), 2);
});

test("a change is accepted though the first call of its node is never answered", async () => {
  const simulation = await startWithSheet(13);
  const at = simulation.nodes[4] as ConfigurationNode;
  at.link.silent = true;
  const change = { at, base: 1, attempt: "second" };
  assert.equal(codeOf(await apply(simulation, change)), "accepted");
});

test("a change based on an old or a future revision is refused", async () => {
  const simulation = await startWithSheet(5);
  const at = simulation.nodes[1] as ConfigurationNode;
  for (const base of [0, 7]) {
    const result = await apply(simulation, {
      at,
      base,
      attempt: `from-${base}`,
    });
    assert.equal(codeOf(result), "revisionConflict");
  }
  assert.deepEqual(revisions(simulation), Array(9).fill(1));
});

test("in a table outage a change is refused as not run and the old one stays in force", async () => {
  const simulation = await startWithSheet(6);
  simulation.table.outage = true;
  const at = simulation.nodes[1] as ConfigurationNode;
  const result = await apply(simulation, { at, base: 1, attempt: "second" });
  result.ifLeft(({ code, outcome }) => {
    assert.equal(code, "storeUnavailable");
    assert.equal(outcome, "not-run");
  });
  assert.ok(result.isLeft());
  assert.deepEqual(revisions(simulation), Array(9).fill(1));
});

test("a node that starts in an outage takes the revision of its peers, unconfirmed", async () => {
  const simulation = await startWithSheet(7);
  simulation.table.outage = true;
  simulation.objects.outage = true;
  const late = simulation.start("b9", "b");
  await simulation.run(3_000);
  assert.equal(late.configuration.current(), undefined);
  const peer = simulation.nodes[2] as ConfigurationNode;
  late.configuration.receiveRevision(1 as never, peer.node);
  await simulation.run(6_000);
  assert.equal(late.configuration.revision(), 1);
  assert.equal(late.configuration.certainty(), "unconfirmed");
  simulation.table.outage = false;
  await simulation.run(8_000);
  assert.equal(late.configuration.certainty(), "confirmed");
});

test("while only the object store is down a revision is fetched from the peer that advertised it", async () => {
  const simulation = await startWithSheet(8);
  const at = simulation.nodes[0] as ConfigurationNode;
  const pending = apply(simulation, { at, base: 1, attempt: "second" });
  await pending;
  simulation.objects.outage = true;
  const late = simulation.start("c9", "c");
  late.configuration.receiveRevision(2 as never, at.node);
  await simulation.run(8_000);
  assert.equal(late.configuration.revision(), 2);
});

test("a region that was cut off catches up when its link is restored", async () => {
  const simulation = await startWithSheet(9);
  const isolated = simulation.nodes.slice(6);
  for (const node of isolated) node.link.cut = true;
  const at = simulation.nodes[0] as ConfigurationNode;
  for (const base of [1, 2, 3]) {
    await apply(simulation, { at, base, attempt: `change-${base}` });
  }
  const inside = isolated[0] as ConfigurationNode;
  const refused = await apply(simulation, {
    at: inside,
    base: 1,
    attempt: "lost",
  });
  assert.equal(codeOf(refused), "storeUnavailable");
  assert.deepEqual(revisions(simulation).slice(6), [1, 1, 1]);
  for (const node of isolated) node.link.cut = false;
  await simulation.run(8_000);
  assert.deepEqual(revisions(simulation), Array(9).fill(4));
});

test("a node that restarts far behind starts from a snapshot and the later deltas", async () => {
  const simulation = await startWithSheet(10);
  const at = simulation.nodes[0] as ConfigurationNode;
  for (let base = 1; base < 140; base++) {
    const result = await apply(simulation, {
      at,
      base,
      attempt: `change-${base}`,
    });
    assert.equal(codeOf(result), "accepted");
  }
  const head = (await readRow(simulation, "config/head")) as {
    deltas: unknown[];
  };
  assert.ok(head.deltas.length <= 128, "the head row grows without bound");
  const restarted = simulation.start("a9", "a");
  await simulation.run(1_500);
  assert.equal(restarted.configuration.revision(), 140);
  assert.equal(
    restarted.configuration.current()?.digest,
    at.configuration.current()?.digest,
  );
});

test("a stored change that does not match the digest of the head does not come into force", async () => {
  const simulation = await startWithSheet(11);
  const at = simulation.nodes[0] as ConfigurationNode;
  const get = simulation.objects.get.bind(simulation.objects);
  simulation.objects.get = async (key) =>
    (await get(key)).map((bytes) =>
      Buffer.from(Buffer.from(bytes).toString().replace("second", "sexond")),
    );
  await apply(simulation, { at, base: 1, attempt: "second" });
  // No peer can supply the configuration instead.
  at.link.cut = true;
  await simulation.run(2_000);
  assert.deepEqual(revisions(simulation), [2, ...Array(8).fill(1)]);
  simulation.objects.get = get;
  await simulation.run(8_000);
  assert.deepEqual(revisions(simulation), Array(9).fill(2));
});

// Guards against an odd head row: each node that reads it threw outside of any
// handler, which ends the process.
test("an odd head row leaves the configuration in force, and the next good one is followed", async () => {
  const simulation = await startWithSheet(30);
  const put = async (value: Json) => {
    const key = brandString<RowKey>("config/head");
    const attempt = brandString<AttemptToken>("odd");
    const writes = [{ key, value }];
    void simulation.table.transact({ attempt, conditions: [], writes });
    await simulation.run(3_000);
  };
  const stored = await readRow(simulation, "config/head");
  const head = stored as { readonly [field: string]: Json };
  const odd: Json[] = [
    null,
    5,
    [],
    {},
    { ...head, revision: 1e308 },
    { ...head, revision: "2" },
    { ...head, revision: 2, snapshot: null },
    { ...head, revision: 2, deltas: [null] },
    { ...head, revision: 2, deltas: 5 },
  ];
  for (const value of odd) await put(value);
  assert.deepEqual([...new Set(revisions(simulation))], [1]);
  await put(head);
  const at = simulation.nodes[0] as ConfigurationNode;
  const change = { at, base: 1, attempt: "second" };
  assert.equal(codeOf(await apply(simulation, change)), "accepted");
  await simulation.run(14_000);
  assert.deepEqual([...new Set(revisions(simulation))], [2]);
});
