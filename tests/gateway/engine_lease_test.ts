import assert from "node:assert/strict";
import { test } from "node:test";
import { type Millis, millis } from "../../src/core/clock.ts";
import {
  applyLeaseRead,
  createLeaseState,
  defaultLeaseSettings,
  findOrderFence,
  invalidateLeases,
  type KnownNode,
  type LeaseRow,
  type LeaseState,
} from "../../src/core/gateway/engine_lease.ts";
import {
  getOwnRank,
  planLeaseClaims,
  recordClaim,
} from "../../src/core/gateway/lease_claims.ts";
import {
  brandNumber,
  brandString,
  type DataCentre,
  type MachineName,
  type ServerId,
  type StoreEpoch,
} from "../../src/core/ids.ts";

const engine: ServerId = brandString("i-1");
const dataCentre: DataCentre = brandString("tatry-a");
const engines = [{ engine, dataCentre }];
const settings = defaultLeaseSettings;

function createNode(machine: string): LeaseState {
  return createLeaseState({
    machine: brandString(machine),
    process: `${machine}/1`,
    dataCentre,
    settings,
  });
}

function nodes(...machines: string[]): KnownNode[] {
  return machines.map((machine) => ({
    machine: brandString(machine),
    dataCentre,
    address: `${machine}:1`,
  }));
}

function row(
  machine: string,
  options: { fence?: number; version?: number; epoch?: number } & Partial<
    Pick<LeaseRow, "released" | "wait">
  > = {},
) {
  return {
    machine: brandString<MachineName>(machine),
    process: `${machine}/1`,
    fence: brandNumber<LeaseRow["fence"]>(options.fence ?? 3),
    released: options.released ?? false,
    epoch: brandNumber<StoreEpoch>(options.epoch ?? 0),
    wait: options.wait ?? millis(0),
    rowVersion: options.version ?? 50,
  };
}

function read(
  state: LeaseState,
  now: number,
  lease?: ReturnType<typeof row>,
  epoch = 0,
) {
  applyLeaseRead(state, {
    leases: new Map(lease === undefined ? [] : [[engine, lease]]),
    nodes: nodes("a", "b", "c"),
    epoch: brandNumber(epoch),
    hasEarlierRows: epoch > 0,
    sentAt: millis(now),
    now: millis(now),
  });
}

/** Finds the first claim that the node may make; returns the claim and its time. */
function findFirstClaim(state: LeaseState, start: number, limit = 20_000) {
  for (let at = start; at < start + limit; at += 50) {
    const [claim] = planLeaseClaims(state, engines, millis(at));
    if (claim !== undefined) return { claim, at: millis(at) };
  }
  return undefined;
}

test("an engine without a lease is claimed by one node first", () => {
  const times = ["a", "b", "c"].map((name) => {
    const state = createNode(name);
    read(state, 0);
    return findFirstClaim(state, 0)?.at as Millis;
  });
  assert.equal(new Set(times).size, 3);
  assert.equal(Math.min(...times), 0);
});

// Guards against weak nodes that own as many engines as strong ones.
test("nodes with more processor cores claim most engines, and one that does not say counts as one core", () => {
  const capacities = { n1: 1.35, n2: 0.25, n3: 0.25, n4: undefined };
  const known = nodes(...Object.keys(capacities)).map((node) => ({
    ...node,
    capacity: capacities[node.machine as keyof typeof capacities],
  }));
  const first = new Map<string, number>();
  for (const { machine, capacity } of known) {
    const state = createLeaseState({
      machine,
      process: `${machine}/1`,
      dataCentre,
      capacity,
      settings,
    });
    for (const node of known) state.nodes.set(node.machine, node);
    for (let at = 0; at < 500; at++) {
      const engine = brandString<ServerId>(`e${at}`);
      if (getOwnRank(state, { engine, dataCentre }) > 0) continue;
      first.set(machine, (first.get(machine) ?? 0) + 1);
    }
  }
  const counts = known.map(({ machine }) => first.get(machine) ?? 0);
  const [strong, weak, , unknown] = counts as [number, number, number, number];
  assert.equal(
    counts.reduce((sum, count) => sum + count, 0),
    500,
  );
  assert.ok(strong > 250 && weak < 30, `${counts}`);
  assert.ok(unknown > 4 * weak, `${counts}`);
});

test("a node sends orders only while its lease is confirmed by a recent read", () => {
  const state = createNode("a");
  read(state, 0);
  const { claim } = findFirstClaim(state, 0) as NonNullable<
    ReturnType<typeof findFirstClaim>
  >;
  recordClaim(state, claim, { rowVersion: 7, now: millis(100) });
  assert.equal(findOrderFence(state, engine, millis(150)), 1);
  const end = millis(settings.validity);
  assert.equal(findOrderFence(state, engine, end), undefined);
});

test("a restart on the same machine claims its engine at once with a higher `fence`", () => {
  const state = createNode("a");
  read(state, 0, row("a", { fence: 8 }));
  const [claim] = planLeaseClaims(state, engines, millis(0));
  assert.equal(claim?.fence, 50);
  assert.equal(claim?.wait, 0);
  assert.equal(claim?.basis, 50);
});

test("a holder with recent contact keeps its engine", () => {
  const state = createNode("a");
  read(state, 0, row("b"));
  for (let now = 0; now < 30_000; now += 500) {
    state.lastContactAt.set(brandString("b"), millis(now));
    assert.deepEqual(planLeaseClaims(state, engines, millis(now)), []);
  }
});

// Guards against two holders that send orders in the same period.
test("a successor sends orders only after the previous holder can no longer do so", () => {
  const holder = createNode("b");
  read(holder, 0);
  const first = findFirstClaim(holder, 0) as NonNullable<
    ReturnType<typeof findFirstClaim>
  >;
  recordClaim(holder, first.claim, { rowVersion: 50, now: first.at });
  // The holder reads once more and is then cut off.
  read(holder, 2_000, row("b", { fence: 1 }));
  const successor = createNode("a");
  read(successor, 2_000, row("b", { fence: 1 }));
  const next = findFirstClaim(successor, 2_000) as NonNullable<
    ReturnType<typeof findFirstClaim>
  >;
  recordClaim(successor, next.claim, { rowVersion: 60, now: next.at });
  let lastOrder = 0;
  let firstOrder = Number.POSITIVE_INFINITY;
  for (let now = 2_000; now < 40_000; now += 10) {
    successor.readAt = millis(now);
    if (findOrderFence(holder, engine, millis(now)) !== undefined)
      lastOrder = now;
    if (findOrderFence(successor, engine, millis(now)) !== undefined) {
      firstOrder = Math.min(firstOrder, now);
    }
  }
  assert.ok(Number.isFinite(firstOrder));
  assert.ok(
    firstOrder >= lastOrder + 3_000,
    `${firstOrder} after ${lastOrder}`,
  );
});

test("a released engine is not taken during the grace time for a restart, then claimed with a quiet period", () => {
  const state = createNode("a");
  read(state, 0, row("b", { released: true }));
  const next = findFirstClaim(state, 0) as NonNullable<
    ReturnType<typeof findFirstClaim>
  >;
  assert.ok(next.at >= settings.restartGrace);
  assert.equal(next.claim.wait, settings.quietPeriod);
});

// A claim that got no answer, or whose process restarted, was made again without
// its wait, while the holder before still sent orders.
test("a claim that replaces one which still waits waits for the rest", () => {
  const state = createNode("a");
  read(state, 0, row("a", { wait: millis(10_000) }));
  const [own] = planLeaseClaims(state, engines, millis(4_000));
  assert.equal(own?.wait, 6_000);
  const successor = createNode("a");
  read(successor, 0, row("b", { released: true, wait: millis(10_000) }));
  const next = findFirstClaim(successor, 0);
  assert.ok(next !== undefined && next.claim.wait === 10_000 - next.at);
});

test("a lease claimed by another node forbids orders", () => {
  const state = createNode("a");
  read(state, 0);
  const { claim } = findFirstClaim(state, 0) as NonNullable<
    ReturnType<typeof findFirstClaim>
  >;
  recordClaim(state, claim, { rowVersion: 7, now: millis(0) });
  read(state, 1_000, row("b", { version: 9 }));
  assert.equal(findOrderFence(state, engine, millis(1_000)), undefined);
});

test("after a pause of the process no order is sent before the next read", () => {
  const state = createNode("a");
  read(state, 0);
  const { claim } = findFirstClaim(state, 0) as NonNullable<
    ReturnType<typeof findFirstClaim>
  >;
  recordClaim(state, claim, { rowVersion: 7, now: millis(0) });
  invalidateLeases(state);
  assert.equal(findOrderFence(state, engine, millis(100)), undefined);
  read(state, 200, row("a", { version: 7, fence: 1 }));
  assert.equal(findOrderFence(state, engine, millis(200)), 1);
});
