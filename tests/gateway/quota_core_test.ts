import assert from "node:assert/strict";
import { test } from "node:test";
import {
  decodeNodeMessage,
  encodeNodeMessage,
} from "../../src/adapters/peers/node_message_codec.ts";
import { millis } from "../../src/core/clock.ts";
import { QuotaAccount } from "../../src/core/gateway/quota_account.ts";
import { CreditLots, sumLots } from "../../src/core/gateway/quota_credit.ts";
import { QuotaPart } from "../../src/core/gateway/quota_part.ts";
import {
  countUnits,
  describeQuotaTerms,
} from "../../src/core/gateway/quota_terms.ts";
import { SequenceFilter } from "../../src/core/gateway/sequence_filter.ts";
import { brandString } from "../../src/core/ids.ts";
import { packLots } from "../../src/node/gateway/quotas/credit_links.ts";
import type { CreditMessage } from "../../src/ports/quotas.ts";
import { createOrganisation, tolerance } from "./quota_fleet.ts";

const { quota } = createOrganisation("small", 1_000);
if (quota === undefined) throw new Error("the organisation has a quota");
const terms = describeQuotaTerms(quota, undefined, 1);
const lifetime = millis(1_000);

// Guards against credit that grows while it is moved from place to place.
test("credit keeps its amount and its age when it is moved", () => {
  const lots = CreditLots.create();
  lots.add({ amount: 10, born: millis(0) }, lifetime);
  lots.add({ amount: 20, born: millis(500) }, lifetime);
  const taken = lots.takeOldest(15);
  assert.deepEqual(taken, [
    { amount: 10, born: 0 },
    { amount: 5, born: 500 },
  ]);
  assert.equal(lots.balance, 15);
  const sent = packLots(taken, millis(600));
  assert.equal(
    sent.reduce((sum, { amount }) => sum + amount, 0),
    15,
  );
  assert.ok(sent.every(({ age }) => age >= 100));
});

// Guards against a debt that new credit does not pay off first.
test("credit pays off a debt before it can be used", () => {
  const lots = CreditLots.create();
  lots.borrow(8);
  lots.add({ amount: 10, born: millis(0) }, lifetime);
  assert.equal(lots.balance, 2);
  assert.equal(sumLots(lots.takeOldest(100)), 2);
});

// Guards against more than rate and burst where no tolerance is set.
test("an account holds no more than the burst without a tolerance", () => {
  const account = QuotaAccount.create("node", terms, millis(0));
  for (let at = 100; at <= 10_000; at += 100) account.earn(1, millis(at));
  const balance = account.balance(millis(10_000));
  assert.ok(balance <= 1_000 && balance > 800, String(balance));
});

// Guards against requests that are larger than the burst and could never pass.
test("a request larger than the burst passes as a debt once the credit is full", () => {
  const account = QuotaAccount.create("node", terms, millis(0));
  for (let at = 100; at <= 500; at += 100) account.earn(1, millis(at));
  assert.equal(account.take(5_000, millis(500)), undefined);
  for (let at = 600; at <= 3_000; at += 100) account.earn(1, millis(at));
  assert.notEqual(account.take(5_000, millis(3_000)), undefined);
  assert.ok(account.balance(millis(3_000)) <= -4_000);
  assert.equal(account.take(1, millis(3_000)), undefined);
});

// Guards against credit that outlives a lower limit.
test("a lower limit cuts the credit down at once", () => {
  const account = QuotaAccount.create("node", terms, millis(0));
  for (let at = 100; at <= 2_000; at += 100) account.earn(1, millis(at));
  const lower = { ...quota, rate: 100, burst: 100 };
  account.update(describeQuotaTerms(lower, undefined, 1));
  assert.ok(account.balance(millis(2_000)) <= 100);
});

// Guards against a Retry-After that ignores how fast credit comes in.
test("the wait follows from the pace at which credit comes in", () => {
  const account = QuotaAccount.create("node", terms, millis(0));
  for (let at = 100; at <= 5_000; at += 100) account.earn(0.5, millis(at));
  const now = millis(5_000);
  account.take(account.balance(now), now);
  const wait = account.estimateWait(250, now);
  assert.ok(wait > 400 && wait < 600, String(wait));
});

// Guards against parts of the rate that add up to more than all of it.
test("a new node earns nothing until all others count it", () => {
  const part = QuotaPart.create();
  const read = (at: number, isListed: boolean) =>
    part.recordRead(
      { confirmedAt: millis(at), nodes: 4, isListed },
      millis(at),
    );
  read(0, false);
  for (let at = 500; at <= 4_000; at += 500) read(at, true);
  assert.equal(part.find(millis(3_400)), 0);
  assert.equal(part.find(millis(4_000)), 0.25);
});

// Guards against a fleet that refuses requests for seconds after a restart of all nodes.
test("a node that the list had before its start earns its part at once", () => {
  const part = QuotaPart.create();
  const read = { confirmedAt: millis(0), nodes: 4, isListed: true };
  part.recordRead(read, millis(0));
  assert.equal(part.find(millis(0)), 0.25);
});

// Guards against an outage of the table that ends all credit, and against a full part while others may join.
test("a node earns a reduced part while the list cannot be confirmed", () => {
  const part = QuotaPart.create();
  const read = { confirmedAt: millis(0), nodes: 4, isListed: true };
  part.recordRead(read, millis(0));
  const late = part.find(millis(60_000));
  assert.ok(late > 0 && late < 0.25, String(late));
});

// Guards against a node that has left the list and that the others no longer count.
test("a node that the list lacks earns nothing after a time", () => {
  const part = QuotaPart.create();
  const read = (at: number, isListed: boolean) =>
    part.recordRead(
      { confirmedAt: millis(at), nodes: 4, isListed },
      millis(at),
    );
  read(0, true);
  for (let at = 500; at <= 4_000; at += 500) read(at, false);
  assert.equal(part.find(millis(3_000)), 0.25);
  assert.equal(part.find(millis(4_000)), 0);
});

// Guards against credit that a duplicated datagram brings twice.
test("a message is accepted once, in any order within the window", () => {
  const filter = SequenceFilter.create();
  const accept = (sequence: number) =>
    filter.accept("n1/7", sequence, millis(0));
  assert.deepEqual([2, 1, 2, 1, 100, 3].map(accept), [
    true,
    true,
    false,
    false,
    true,
    false,
  ]);
  assert.equal(filter.accept("n1/8", 2, millis(0)), true);
});

// Guards against units of another measure than the quota's.
test("a request counts by the unit of the quota", () => {
  assert.equal(countUnits(quota, 700), 700);
  assert.equal(countUnits(quota, undefined), quota.plainTokens);
  assert.equal(countUnits({ ...quota, unit: "requests" }, 700), 1);
});

// Guards against amounts that the encoding rounds up.
test("a message keeps its content, and rounds credit down", () => {
  const lots = [{ amount: 10.129, age: millis(20.5) }];
  const entry = {
    organisation: brandString("small"),
    lots,
    need: 3,
    ahead: 4,
    state: "some",
  } as const;
  const message: CreditMessage = {
    type: "credit",
    from: brandString("n1"),
    session: 4_000_000_000,
    sequence: 9,
    to: 5,
    level: "pool",
    isAsk: true,
    entries: [entry as CreditMessage["entries"][number]],
  };
  const [frame] = encodeNodeMessage(message);
  const decoded = decodeNodeMessage(frame as Buffer) as CreditMessage;
  assert.deepEqual(decoded, {
    ...message,
    entries: [{ ...entry, lots: [{ amount: 10.12, age: 21 }] }],
  });
});

// Guards against terms that use the whole tolerance, which leaves no room for requests on their way.
test("the terms use a part of the tolerance", () => {
  for (const rate of [29_000, 270_000]) {
    const large = { ...quota, rate, burst: rate };
    const { lifetime, grace, poolDebt } = describeQuotaTerms(
      large,
      tolerance,
      6,
    );
    const excess = 0.1 * 9 * rate + tolerance.slack;
    const used = (rate * (lifetime + grace)) / 1_000 - rate + 2 * 6 * poolDebt;
    assert.ok(used > 0.5 * excess && used < 0.9 * excess, `${used / excess}`);
  }
});
