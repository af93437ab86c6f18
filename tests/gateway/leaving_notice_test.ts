import assert from "node:assert/strict";
import { test } from "node:test";
import {
  decodeNodeMessage,
  encodeNodeMessage,
} from "../../src/adapters/peers/node_message_codec.ts";
import { brandString, type ServerId } from "../../src/core/ids.ts";
import { NoticeHandler } from "../../src/node/gateway/peers/notice_handler.ts";
import type { InstallationTracker } from "../../src/node/gateway/servers/installation_tracker.ts";
import type { LeavingMessage, NodeMessage } from "../../src/ports/nodes.ts";
import type { GatewayFixture } from "./gateway_fixture.ts";
import { createBookingFixture, createEngineFixture } from "./gateway_setups.ts";
import { createDemand, createServer } from "./gateway_values.ts";

const first = createServer({});

function sendTen(fixture: GatewayFixture): void {
  for (let i = 0; i < 10; i++) fixture.open();
}

// Until the store listed it as leaving, the node went on to choose it.
test("a server that says in an answer that it leaves gets no further request, also while its registration says ready", async () => {
  const fixture = await createBookingFixture();
  fixture.notify(first, { kind: "leaving" });
  fixture.open();
  await fixture.advance(1);
  fixture.register(first);
  sendTen(fixture);
  await fixture.advance(1);
  const servers = new Set(fixture.attempts.map(({ server }) => server));
  assert.deepEqual(servers, new Set(["s2"]));
});

test("a new start under the id of a server that left gets requests", async () => {
  const fixture = await createBookingFixture();
  fixture.notify(first, { kind: "leaving" });
  fixture.register({ ...first, born: 2 });
  sendTen(fixture);
  await fixture.advance(1);
  const servers = new Set(fixture.attempts.map(({ server }) => server));
  assert.ok(servers.has(first.id));
});

// The request had chosen its server before the answer and waited for a connection.
test("a request that waits for a connection is not accepted once its server leaves", async () => {
  const fixture = await createBookingFixture();
  fixture.open();
  await fixture.advance(1);
  const { order } = fixture.lastAttempt();
  assert.ok(order.isAccepted());
  fixture.notify(order.server, { kind: "leaving" });
  assert.ok(!order.isAccepted());
});

test("a running stream of a server that leaves goes on", async () => {
  const fixture = await createEngineFixture();
  const { answer } = fixture.open({ demand: createDemand("a1") });
  await fixture.advance(10);
  const attempt = fixture.lastAttempt();
  attempt.start();
  attempt.bytes("id: 1\n\n");
  fixture.notify(attempt.order.server, { kind: "leaving" });
  await fixture.advance(500);
  attempt.bytes("id: 2\n\n");
  attempt.end();
  assert.equal(answer.outcome, "whole");
  assert.equal(attempt.cancelled, false);
});

test("a node believes another node that a server leaves, also if it does not know the server yet", async () => {
  const fixture = await createBookingFixture();
  const third = createServer({
    id: brandString<ServerId>("s3"),
    address: "10.0.0.3:80",
  });
  for (const { id, born } of [first, third]) {
    const incarnation = { id, born };
    fixture.receive({ type: "leaving", from: brandString("n2"), incarnation });
  }
  fixture.register(third);
  sendTen(fixture);
  await fixture.advance(1);
  const servers = new Set(fixture.attempts.map(({ server }) => server));
  assert.deepEqual(servers, new Set(["s2"]));
});

for (const born of [undefined, 1_765_000_000_000]) {
  test(`the news of a leaving server started at ${born} survives its encoding`, () => {
    const message: LeavingMessage = {
      type: "leaving",
      from: brandString("n1"),
      incarnation: { id: first.id, born },
    };
    const [frame] = encodeNodeMessage(message) as [Buffer];
    assert.deepEqual(decodeNodeMessage(frame), message);
  });
}

/** Handler whose messages to two other nodes are recorded. */
async function createHandler() {
  const fixture = await createBookingFixture();
  const sent: { address: string; message: NodeMessage }[] = [];
  const installation = { recordLeaving: () => true };
  const handler = NoticeHandler.create({
    context: fixture.gateway.context,
    installation: installation as unknown as InstallationTracker,
    channel: {
      send: (address, message) => sent.push({ address, message }),
      onMessage() {},
      close() {},
    },
    listAddresses: () => ["10.0.0.7:1", "10.0.0.8:1"],
  });
  return { handler, sent, fixture };
}

// A lost datagram left the other nodes without the news until the store had it.
test("the news of a leaving server goes to all other nodes at once, and again a few times", async () => {
  const { handler, sent, fixture } = await createHandler();
  handler.receive(first, { kind: "leaving" });
  assert.deepEqual(
    sent.map(({ address }) => address),
    ["10.0.0.7:1", "10.0.0.8:1"],
  );
  await fixture.advance(2_000);
  assert.equal(sent.length, 8);
  for (const { message } of sent) assert.equal(message.type, "leaving");
});

// With many nodes, each of which hears of it, the copies would grow with their square.
test("a node does not repeat the news once another node has told it", async () => {
  const { handler, sent, fixture } = await createHandler();
  handler.receive(first, { kind: "leaving" });
  const incarnation = { id: first.id, born: first.born };
  const from = brandString<LeavingMessage["from"]>("n2");
  handler.receiveLeaving({ type: "leaving", from, incarnation });
  await fixture.advance(2_000);
  assert.equal(sent.length, 2);
});
