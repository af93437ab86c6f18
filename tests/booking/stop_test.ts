import assert from "node:assert/strict";
import { test } from "node:test";
import { millis } from "../../src/core/clock.ts";
import { BookingSetup, describeReply } from "./setup.ts";

// Guards against calls that a stopping node answers wrongly or leaves without an outcome.

const longDeadline = { within: 60_000 };

test("a call whose claim is still being written when the node gives up is not sent", async () => {
  const setup = new BookingSetup();
  const [node, other] = [setup.createNode("a"), setup.createNode("b")];
  setup.rows.delay = 400;
  const reply = setup.call(node, { key: "k", ...longDeadline });
  await setup.clock.advance(millis(100));
  node.callManager.giveUp();
  await setup.clock.advance(millis(2_000));
  assert.match(describeReply(reply()), /not-run$/);
  assert.equal(setup.runs, 0);
  await node.callManager.waitIdle();
  setup.rows.delay = 0;
  assert.equal(await setup.callAndDescribe(other, { key: "k" }), "201");
});

// Guards against: a stopping node sends a call that it cannot wait for, so that its outcome stays unknown.
for (const shape of [{ key: "k" }, { method: "GET", path: "/stock" }]) {
  const kind = shape.key ?? shape.method ?? "";
  test(`a call that may end after the exit of its node is not sent (${kind})`, async () => {
    const setup = new BookingSetup();
    const [node, other] = [setup.createNode("a"), setup.createNode("b")];
    node.exitAt = millis(setup.clock.now() + 3_000);
    const late = { ...shape, ...longDeadline };
    const refused = await setup.callAndDescribe(node, late);
    assert.equal(refused, "draining not-run");
    assert.equal(setup.runs, 0);
    const short = { ...shape, within: 1_000 };
    assert.match(await setup.callAndDescribe(node, short), /^20/);
    assert.match(await setup.callAndDescribe(other, late), /^20/);
  });
}

for (const shape of [{}, { key: "k" }, { method: "GET", path: "/stock" }]) {
  const kind = shape.key ?? shape.method ?? "no key";
  test(`a call that was sent is refused as may-have-run when the node gives up (${kind})`, async () => {
    const setup = new BookingSetup();
    const [node, other] = [setup.createNode("a"), setup.createNode("b")];
    setup.failServers("silent");
    const reply = setup.call(node, { ...shape, ...longDeadline });
    await setup.clock.advance(millis(1_000));
    node.callManager.giveUp();
    await setup.clock.advance(millis(500));
    assert.equal(describeReply(reply()), "serviceTimeout may-have-run");
    assert.equal(node.callManager.outstanding, 0, "its outcome is recorded");
    setup.failServers(undefined);
    if (shape.key === undefined) return;
    const again = await setup.callAndDescribe(other, { key: shape.key });
    assert.equal(again, "outcomeUnknown may-have-run");
  });
}
