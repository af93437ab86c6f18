import assert from "node:assert/strict";
import { test } from "node:test";
import { millis } from "../../src/core/clock.ts";
import {
  computeHedgeTime,
  createHedgeBudget,
  decideHedge,
  depositHedgeCredit,
  takeHedgeCredit,
} from "../../src/core/routing/hedge.ts";

test("hedges never cost more than 5% of the work sent, counted in tokens", () => {
  let budget = createHedgeBudget();
  let paid = 0;
  for (let index = 0; index < 10_000; index++) {
    budget = depositHedgeCredit(budget, 100);
    const payment = takeHedgeCredit(budget, 100);
    budget = payment.budget;
    if (payment.granted) paid += 100;
  }
  assert.ok(paid <= 0.05 * 1_000_000, `${paid} tokens`);
  assert.ok(paid >= 0.045 * 1_000_000, `${paid} tokens`);
  assert.ok(budget.refused > 0);
});

test("credit accumulated at low load is bounded", () => {
  let budget = createHedgeBudget();
  for (let index = 0; index < 100_000; index++)
    budget = depositHedgeCredit(budget, 100);
  assert.ok(budget.credit <= 4000);
});

test("a request is hedged only well after its expected first token", () => {
  const at = (expectedWait: number) =>
    computeHedgeTime({
      sentAt: millis(1000),
      expectedWait: millis(expectedWait),
    });
  assert.equal(at(1000), 3500);
  assert.equal(at(10), 1250);
});

test("a queued request moves without credit because it adds no work; a running one is hedged only with credit", () => {
  const base = {
    waited: millis(1000),
    alternativeWait: millis(50),
    needsLoad: false,
  };
  const decide = (queued: boolean, hasCredit: boolean) =>
    decideHedge({ ...base, queued, hasCredit }).kind;
  assert.equal(decide(true, false), "move");
  assert.equal(decide(false, true), "hedge");
  assert.equal(decide(false, false), "wait");
  const cold = { ...base, needsLoad: true, queued: false, hasCredit: true };
  assert.equal(decideHedge(cold).kind, "wait");
  const slower = { ...base, alternativeWait: millis(2000) };
  assert.equal(
    decideHedge({ ...slower, queued: true, hasCredit: true }).kind,
    "wait",
  );
});
