import assert from "node:assert/strict";
import { test } from "node:test";
import { CrashingFleet, type CrashingFleetOptions } from "./crashing_fleet.ts";

// Guards against a request that comes again unchanged, at any node, and crashes each server that
// begins to run it: it has no prompt, and its server ends before the first byte of an answer.

/** Time until which nodes in touch may not know of a crash, and the sends allowed after it. */
const contactTime = 4_000;
const maxLateSends = 3;

/** One node sends the deadly request every 60 ms on average, beside other requests. */
async function play(options: CrashingFleetOptions, duration = 30_000) {
  const fleet = await CrashingFleet.create(options);
  const sound = [];
  for (let at = 0; at < duration; at += 60) {
    fleet.sendDeadly(fleet.pickNode());
    for (let i = 0; i < 2; i++) sound.push(fleet.sendSound(fleet.pickNode()));
    await fleet.advance(60);
  }
  const late = sound.slice(sound.length / 2);
  const served = late.filter(({ outcome }) => outcome === "whole").length;
  return { fleet, served: served / late.length };
}

test("a request that has crashed two servers is refused as not run at the next try", async () => {
  const fleet = await CrashingFleet.create({ seed: 1, nodes: 1, servers: 3 });
  const first = fleet.sendDeadly(0);
  await fleet.advance(1_000);
  assert.equal(first.refusal?.code, "serviceBroken");
  assert.equal(fleet.crashes.length, 2);
  const next = fleet.sendDeadly(0);
  await fleet.advance(1_000);
  assert.equal(next.refusal?.code, "partWithheld");
  assert.equal(next.refusal?.outcome, "not-run");
  assert.equal(fleet.crashes.length, 2);
});

test("a request with the same path and another body is served", async () => {
  const fleet = await CrashingFleet.create({ seed: 1, nodes: 1, servers: 3 });
  fleet.sendDeadly(0);
  await fleet.advance(4_000);
  const other = fleet.sendSound(0);
  await fleet.advance(500);
  assert.equal(other.outcome, "whole");
});

for (const loss of [0, 0.3]) {
  test(`a request that crashes servers is sent to none by any of 8 nodes, with ${loss * 100}% of the messages lost`, async () => {
    for (let seed = 1; seed <= 5; seed++) {
      const { fleet, served } = await play({
        seed,
        nodes: 8,
        servers: 3,
        loss,
      });
      const sent = fleet.countLateSends(contactTime);
      assert.ok(sent <= maxLateSends, `seed ${seed}: sent ${sent} times`);
      assert.ok(served > 0.9, `seed ${seed}: ${served} of the others served`);
    }
  });
}

test("a node that starts later does not send a request that has crashed servers", async () => {
  const fleet = await CrashingFleet.create({ seed: 3, nodes: 4, servers: 3 });
  for (let at = 0; at < 4; at++) fleet.sendDeadly(at);
  await fleet.advance(contactTime);
  const { length } = fleet.sends;
  fleet.addNode();
  await fleet.advance(3_000);
  fleet.sendDeadly(4);
  await fleet.advance(1_000);
  assert.equal(fleet.sends.length, length);
});

test("a node that is cut off from the others while they learn of the crashes does not send the request later", async () => {
  const fleet = await CrashingFleet.create({ seed: 4, nodes: 5, servers: 3 });
  fleet.isCut = (node) => node === 4;
  for (let at = 0; at < 3; at++) fleet.sendDeadly(at);
  await fleet.advance(2_000);
  fleet.isCut = () => false;
  for (let at = 0; at < 50; at++) {
    fleet.sendDeadly(4);
    await fleet.advance(200);
  }
  assert.ok(fleet.countLateSends(contactTime) <= maxLateSends);
});
