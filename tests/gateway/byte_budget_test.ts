import assert from "node:assert/strict";
import { test } from "node:test";
import { ByteBudget } from "../../src/core/gateway/byte_budget.ts";

/** Budget of 100 bytes whose holders record which of them lost their shares. */
function createBudget() {
  const budget = ByteBudget.create(100);
  const lost: string[] = [];
  const open = (name: string) => budget.open(() => lost.push(name));
  return { budget, lost, open };
}

// Guards against one endless sender that costs other holders their shares.
test("the largest share is taken back when the budget is exceeded", () => {
  const { budget, lost, open } = createBudget();
  const small = open("small");
  const large = open("large");
  large.add(70);
  small.add(40);
  assert.deepEqual(lost, ["large"]);
  assert.equal(budget.used, 40);
});

// Guards against a request that a server may be running and that is refused as not run.
test("a settled share is not taken back", () => {
  const { budget, lost, open } = createBudget();
  const settled = open("settled");
  settled.add(90);
  settled.settle();
  const next = open("next");
  next.add(20);
  assert.deepEqual(lost, ["next"]);
  assert.equal(budget.used, 90);
});

// Guards against bytes that are counted for good after their holder has ended.
test("a released share counts no longer, also if it is released or used again", () => {
  const { budget, lost, open } = createBudget();
  const share = open("share");
  share.add(50);
  share.release();
  share.release();
  share.add(50);
  assert.equal(budget.used, 0);
  assert.deepEqual(lost, []);
});

// Guards against kinds of holders that each stay within their limit but not together.
test("beyond the limit of the whole, the largest share of all its parts is taken back", () => {
  const whole = ByteBudget.create(100);
  const bodies = ByteBudget.create(80, whole);
  const answers = ByteBudget.create(80, whole);
  const lost: string[] = [];
  const large = bodies.open(() => lost.push("large"));
  const small = answers.open(() => lost.push("small"));
  large.add(70);
  small.add(40);
  assert.deepEqual(lost, ["large"]);
  assert.equal(bodies.used, 0);
  assert.equal(whole.used, 40);
  small.release();
  assert.equal(whole.used, 0);
});

// Guards against bytes that stay counted in the whole after a part took them back.
test("a share that its part takes back counts no longer in the whole", () => {
  const whole = ByteBudget.create(1_000);
  const part = ByteBudget.create(100, whole);
  const lost: string[] = [];
  part.open(() => lost.push("first")).add(120);
  assert.deepEqual(lost, ["first"]);
  assert.equal(whole.used, 0);
});
