import assert from "node:assert/strict";
import { test } from "node:test";
import { millis } from "../../src/core/clock.ts";
import { findOverload } from "../../src/core/gateway/server_overload.ts";
import {
  readSharedSlowness,
  readSlowness,
} from "../../src/core/gateway/server_pace.ts";
import { brandString, type ServerId } from "../../src/core/ids.ts";
import type { NodeMessage } from "../../src/ports/nodes.ts";
import { GatewayFixture } from "./gateway_fixture.ts";
import {
  createDemand,
  createEngine,
  createRoute,
  createServer,
  engines,
} from "./gateway_values.ts";
import type { RecordedAttempt } from "./recorded_exchange.ts";

const plain = [
  createServer({}),
  createServer({ id: brandString<ServerId>("s2"), address: "10.0.0.2:80" }),
];

/** Two nodes before servers without models, which hear of each other. */
async function createPair(): Promise<[GatewayFixture, GatewayFixture]> {
  const pair: GatewayFixture[] = [];
  const deliver = (to: number) => (_address: string, message: NodeMessage) =>
    pair[to]?.receive(message);
  const first = new GatewayFixture({ sendMessage: deliver(1) });
  const second = new GatewayFixture({
    clock: first.clock,
    table: first.table,
    machine: "n2",
    peerAddress: "10.0.0.8:7000",
    sendMessage: deliver(0),
  });
  pair.push(first, second);
  for (const node of pair) {
    node.configure([createRoute({})]);
    node.register(...plain);
  }
  await first.advance(3_000);
  return [first, second];
}

// Guards against calls that are counted for good because their callers left.
test("both nodes hear that a server has more calls than slots, and that these have ended", async () => {
  const [first, second] = await createPair();
  const controls = [];
  for (let call = 0; call < 16; call++) {
    controls.push(first.open().control);
    await first.advance(5);
  }
  await first.advance(50);
  const findLoads = (node: GatewayFixture) =>
    plain.map((server) =>
      findOverload(node.gateway.context.overloads, server, node.clock.now()),
    );
  for (const node of [first, second])
    for (const load of findLoads(node)) assert.ok(load >= 7, `${load} calls`);
  for (const control of controls) control.cancel();
  await first.advance(50);
  for (const node of [first, second]) assert.deepEqual(findLoads(node), [0, 0]);
});

test("a server without models that answers slowly gets fewer of the calls that follow", async () => {
  const onAttempt = (attempt: RecordedAttempt) => {
    const time = attempt.server === plain[0]?.id ? 300 : 50;
    node.clock.schedule(millis(time), () => attempt.answer("ok"));
  };
  const node = new GatewayFixture({ onAttempt });
  node.configure([createRoute({})]);
  node.register(...plain);
  await node.advance(1_000);
  for (let request = 0; request < 40; request++) {
    node.open();
    await node.advance(400);
  }
  const slow = node.attempts.filter(({ server }) => server === plain[0]?.id);
  assert.ok(slow.length < 12, `${slow.length} calls to the slow server`);
});

// Load: 20 calls whose answers wait in the process while it stands still for 0.9 s.
// Guards against servers that count as slow because the node was.
test("answers that were handled late because the process stood still show no pace", async () => {
  const backlog = { isBehind: false, whenHandled: () => Promise.resolve() };
  const node = new GatewayFixture({ backlog });
  node.configure([createRoute({})]);
  node.register(...plain);
  await node.advance(1_000);
  const answerAll = async (time: number) => {
    for (let call = 0; call < 20; call++) node.open();
    await node.advance(time);
    backlog.isBehind = time > 100;
    for (const attempt of node.attempts.splice(0)) attempt.answer("ok");
    await node.advance(1);
    backlog.isBehind = false;
  };
  for (let round = 0; round < 3; round++) await answerAll(50);
  await answerAll(900);
  const { paces } = node.gateway.context;
  for (const server of plain) {
    const slowness = readSlowness(paces, server, node.clock.now());
    assert.ok(slowness < 1.1, `${slowness}`);
  }
});

// Guards against homes by a pace that nobody measures: the owner of the engines
// has to hear what the answers show.
test("the owner of engines learns from answers which one is slow", async () => {
  const servers = [createEngine("e1", ["a1"]), createEngine("e2", ["a2"])];
  const onAttempt = (attempt: RecordedAttempt) => {
    const time = attempt.server === servers[1]?.id ? 300 : 150;
    attempt.start();
    attempt.bytes("data: 1\n\n");
    node.clock.schedule(millis(time), () => {
      attempt.bytes("data: 2\n\n");
      attempt.end();
    });
  };
  const node = new GatewayFixture({ onAttempt });
  const targets = [{ service: engines, weight: 1 }];
  node.configure([createRoute({ retryRule: "stream", targets })]);
  node.register(...servers);
  await node.advance(3_000);
  for (let request = 0; request < 80; request++) {
    node.open({ demand: createDemand("a1") });
    node.open({ demand: createDemand("a2") });
    await node.advance(350);
  }
  const { paces } = node.gateway.context;
  const [fast, slow] = servers.map((server) =>
    readSharedSlowness(paces, server, node.clock.now()),
  );
  assert.ok((slow ?? 0) > 1.2 * (fast ?? 0), `${slow}, ${fast}`);
});
