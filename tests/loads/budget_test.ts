import assert from "node:assert/strict";
import { test } from "node:test";
import { millis } from "../../src/core/clock.ts";
import {
  brandString,
  type EngineId,
  type LeaseId,
} from "../../src/core/ids.ts";
import { createLoadBudgetDecision } from "../../src/core/loads/budget.ts";
import { defaultLoadLimits } from "../../src/core/loads/limits.ts";
import type {
  LoadBudgetCommand,
  LoadBudgetEvent,
} from "../../src/core/loads/messages.ts";
import type { BudgetRow } from "../../src/core/loads/row.ts";
import {
  createLoadBudgetState,
  estimatePermitWait,
} from "../../src/core/loads/state.ts";

const lease = brandString<LeaseId>("mine");
const other = brandString<LeaseId>("other");
const engine = brandString<EngineId>("engine-1");
const limits = defaultLoadLimits;

/** State and decision function of one node, driven by the test. */
class Node {
  state = createLoadBudgetState();
  version = 1;
  readonly #decide = createLoadBudgetDecision({ limits, random: () => 0.5 });

  send(at: number, event: LoadBudgetEvent): LoadBudgetCommand[] {
    const decision = this.#decide(this.state, event, millis(at));
    this.state = decision.state;
    return [...decision.commands];
  }

  /** Answers the pending read with a row and returns the row that the node writes next. */
  answerRead(at: number, value: BudgetRow): BudgetRow | undefined {
    const row = { version: this.version, value };
    return findWrite(this.send(at, { type: "row-read", row }));
  }

  commit(at: number): LoadBudgetCommand[] {
    this.version++;
    return this.send(at, { type: "write-committed" });
  }
}

function findWrite(commands: LoadBudgetCommand[]): BudgetRow | undefined {
  return commands.find((command) => command.type === "write")?.value;
}

function countGrants(commands: LoadBudgetCommand[]): number {
  return commands.filter((command) => command.type === "grant").length;
}

function createRow(rest: Partial<BudgetRow> = {}): BudgetRow {
  return { free: 8, shares: {}, returning: {}, waiting: [], ...rest };
}

/** Creates a node of a large installation that took and used one permit at time 0. */
function createHolder(): Node {
  const node = new Node();
  node.send(0, { type: "owners", local: 5, total: 3000 });
  node.send(0, { type: "lease", lease, usableUntil: millis(60_000) });
  node.send(0, { type: "request-permit", engine, urgent: true });
  const row = createRow({ free: 1, shares: { [other]: 7 } });
  assert.equal(node.answerRead(0, row)?.shares[lease], 1);
  assert.equal(countGrants(node.commit(0)), 1);
  node.send(300, { type: "release-permit", engine, used: true });
  return node;
}

test("a permit is granted again only 8/3 s after its last load started", () => {
  const node = createHolder();
  const request = { type: "request-permit", engine, urgent: true } as const;
  assert.equal(countGrants(node.send(301, request)), 0);
  assert.equal(countGrants(node.send(2600, { type: "wake" })), 0);
  assert.equal(countGrants(node.send(2667, { type: "wake" })), 1);
});

test("no permit is granted after the usable time of the lease, so that a paused node cannot start another load", () => {
  const node = createHolder();
  const request = { type: "request-permit", engine, urgent: true } as const;
  assert.equal(countGrants(node.send(60_000, request)), 0);
});

test("a lost answer is resolved by a second write on the same row version before a permit is used", () => {
  const node = new Node();
  node.send(0, { type: "owners", local: 2, total: 6 });
  node.send(0, { type: "lease", lease, usableUntil: millis(60_000) });
  const taken = node.answerRead(5, createRow()) as BudgetRow;
  node.commit(10);
  node.send(1000, { type: "owners", local: 1, total: 6 });
  const returned = node.answerRead(1010, taken) as BudgetRow;
  assert.equal(returned.shares[lease], 1);
  node.send(1100, { type: "write-failed", kind: "unknown", detail: "" });
  const request = { type: "request-permit", engine, urgent: true } as const;
  assert.equal(countGrants(node.send(1110, request)), 1);
  assert.equal(countGrants(node.send(1111, request)), 0);
  node.send(1500, { type: "wake" });
  const again = node.send(1510, {
    type: "row-read",
    row: { version: node.version, value: taken },
  });
  assert.equal(countGrants(again), 0);
  assert.deepEqual(findWrite(again), returned);
});

test("after a lost answer the row determines how many permits the node holds", () => {
  const node = createHolder();
  const row = createRow({
    free: 0,
    shares: { [lease]: 1, [other]: 7 },
    waiting: ["third"],
  });
  node.send(3000, { type: "wake" });
  const returned = node.answerRead(3000, row) as BudgetRow;
  node.send(3100, { type: "write-failed", kind: "unknown", detail: "" });
  node.send(3500, { type: "wake" });
  node.version++;
  node.answerRead(3510, returned);
  assert.equal(node.state.permits.length, 0);
});

test("permits of a removed lease become free only after the load time-out", () => {
  const node = createHolder();
  const row = createRow({ free: 0, shares: { [lease]: 1, [other]: 7 } });
  node.send(1000, { type: "lease-removed", lease: other });
  const marked = node.answerRead(1010, row) as BudgetRow;
  assert.deepEqual(marked.returning, { [lease]: 7 });
  node.commit(1020);
  node.send(10_900, { type: "wake" });
  assert.equal(node.answerRead(10_910, marked), undefined);
  node.send(11_100, { type: "wake" });
  const freed = node.answerRead(11_110, marked);
  assert.deepEqual(freed?.returning, {});
  assert.equal(freed?.free, 7);
});

test("a used permit goes to a waiting node before it is granted here again", () => {
  const node = createHolder();
  const row = createRow({
    free: 0,
    shares: { [lease]: 1, [other]: 7 },
    waiting: ["third"],
  });
  node.send(2000, { type: "request-permit", engine, urgent: true });
  const joined = node.answerRead(2010, row) as BudgetRow;
  node.commit(2020);
  const commands = node.send(2700, { type: "wake" });
  assert.equal(countGrants(commands), 0);
  const passed = node.answerRead(2710, joined);
  assert.deepEqual(passed?.shares, { [other]: 7, third: 1 });
  assert.deepEqual(passed?.waiting, [lease]);
});

test("with no more owners than permits a node keeps one for each of its engines", () => {
  const node = new Node();
  node.send(0, { type: "lease", lease, usableUntil: millis(60_000) });
  node.send(0, { type: "owners", local: 2, total: 6 });
  const taken = node.answerRead(5, createRow());
  assert.equal(taken?.shares[lease], 2);
  node.commit(10);
  node.send(20_000, { type: "wake" });
  assert.equal(node.state.permits.length, 2);
});

test("a prefetch does not take the last ready permit at once", () => {
  const node = new Node();
  node.send(0, { type: "lease", lease, usableUntil: millis(60_000) });
  node.send(0, { type: "owners", local: 1, total: 6 });
  node.answerRead(5, createRow());
  node.commit(10);
  const prefetch = { type: "request-permit", engine, urgent: false } as const;
  assert.equal(countGrants(node.send(20, prefetch)), 0);
  assert.equal(countGrants(node.send(2020, { type: "wake" })), 1);
});

test("a new lease of the same process takes over its permits only once the row confirms it", () => {
  const node = createHolder();
  const row = createRow({ free: 0, shares: { [lease]: 1, [other]: 7 } });
  const next = brandString<LeaseId>("mine-2");
  const request = { type: "request-permit", engine, urgent: true } as const;
  const usableUntil = millis(120_000);
  node.send(61_000, { type: "lease", lease: next, usableUntil });
  assert.equal(countGrants(node.send(61_001, request)), 0);
  const moved = node.answerRead(61_010, row);
  assert.deepEqual(moved?.shares, { [next]: 1, [other]: 7 });
  assert.equal(countGrants(node.commit(61_020)), 1);
});

test("permits that were taken from a lease while it was lost are not used under the next one", () => {
  const node = createHolder();
  const row = createRow({ free: 1, shares: { [other]: 7 } });
  const next = brandString<LeaseId>("mine-2");
  const usableUntil = millis(120_000);
  node.send(61_000, { type: "lease", lease: next, usableUntil });
  node.answerRead(61_010, row);
  node.commit(61_020);
  assert.equal(node.state.permits.length, 0);
});

test("a malformed row is reported and left unchanged", () => {
  const node = createHolder();
  node.send(5000, { type: "wake" });
  const commands = node.send(5010, {
    type: "row-read",
    row: { version: 9, value: createRow({ free: 9 }) },
  });
  assert.equal(findWrite(commands), undefined);
  assert.ok(commands.some((command) => command.type === "record"));
});

test("the expected wait for a load follows the refill of the permits", () => {
  const node = createHolder();
  const at = (now: number) =>
    Math.round(estimatePermitWait(node.state, { now: millis(now), limits }));
  assert.equal(at(667), 2000);
  assert.equal(at(2700), 0);
});
