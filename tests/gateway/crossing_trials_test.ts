import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../../src/adapters/random/seeded_random.ts";
import { VirtualClock } from "../../src/adapters/time/virtual_clock.ts";
import { millis } from "../../src/core/clock.ts";
import type { NodeMessage } from "../../src/ports/nodes.ts";
import { MemoryTable } from "../../src/standins/memory_table.ts";
import { GatewayFixture } from "./gateway_fixture.ts";
import { streamRoute } from "./gateway_setups.ts";
import { createDemand, createEngine, createRoute } from "./gateway_values.ts";

const nodeCount = 8;
/** Minimum and maximum delay of a message between two nodes, in ms. */
const minDelay = 1;
const maxDelay = 40;

/** Nodes that all suspect a part of prompts, with messages that are late. */
async function createSuspiciousNodes(seed: number) {
  const random = createSeededRandom(seed);
  const clock = VirtualClock.create();
  const table = MemoryTable.create(clock);
  const nodes: GatewayFixture[] = [];
  const addressOf = (at: number) => `127.0.0.1:${7000 + at}`;
  for (let at = 0; at < nodeCount; at++) {
    const sendMessage = (address: string, message: NodeMessage) => {
      const delay = minDelay + random() * (maxDelay - minDelay);
      const to = nodes.find((_, index) => addressOf(index) === address);
      clock.schedule(millis(delay), () => to?.receive(message));
    };
    const peerAddress = addressOf(at);
    const machine = `n${at}`;
    const node = new GatewayFixture({
      ...{ clock, table, machine, peerAddress, sendMessage },
    });
    nodes.push(node);
    node.configure([createRoute(streamRoute)]);
    node.register(...["e1", "e2", "e3"].map((id) => createEngine(id, ["a1"])));
  }
  await clock.advance(millis(4_000));
  for (const node of nodes) node.reportCrash(["deadly"]);
  return { nodes, clock, random };
}

// Guards against a suspect part that is tried at several nodes at once: their claims cross
// on the way, and each trial crashes a server.
test("a suspect part is tried at one node, though all have a request with it at the same time", async () => {
  for (let seed = 1; seed <= 5; seed++) {
    const { nodes, clock, random } = await createSuspiciousNodes(seed);
    for (const node of nodes) {
      node.open({ demand: createDemand("a1", ["deadly"]) });
      await clock.advance(millis(random() * 10));
    }
    await clock.advance(millis(500));
    const sent = nodes.flatMap(({ attempts }) => attempts);
    assert.equal(sent.length, 1, `seed ${seed}`);
  }
});
