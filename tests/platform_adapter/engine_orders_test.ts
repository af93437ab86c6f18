import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { HttpEngineOrders } from "../../platform/engine_orders.ts";
import { Endpoint } from "../../src/adapters/http/endpoint.ts";
import { RealClock } from "../../src/adapters/time/real_clock.ts";
import type { EngineOrder } from "../../src/core/gateway/orders.ts";
import {
  type AdapterName,
  brandNumber,
  brandString,
  type FencingNumber,
  type MachineName,
} from "../../src/core/ids.ts";
import { createServer as describeServer } from "../gateway/gateway_values.ts";
import { waitUntil } from "../support/wait.ts";
import { RawServer, success } from "./raw_server.ts";

/** Time that the engine takes to answer an order, in ms. */
const orderTime = 5_000;

const clock = RealClock.create();
const order: EngineOrder = {
  operation: "unload",
  model: brandString("m0"),
  adapter: brandString<AdapterName>("a1"),
  version: undefined,
  expectedCount: 0,
};
const holder = {
  machine: brandString<MachineName>("n1"),
  fence: brandNumber<FencingNumber>(1),
};
const conflict = "HTTP/1.1 409 Conflict\r\ncontent-length: 0\r\n\r\n";

let server: RawServer | undefined;
let endpoint: Endpoint | undefined;

afterEach(async () => {
  await endpoint?.close();
  server?.close();
});

/** Connects to an engine that writes a late copy of the answer to request r1 before its own answer. */
async function connectToEngine() {
  server = await RawServer.create((_, socket) => {
    socket.write(success("r1", '{"Sequence":1}'));
    setTimeout(() => socket.write(conflict), orderTime).unref();
  });
  endpoint = Endpoint.create({
    origin: `http://${server.address}`,
    clock,
    connections: 4,
    name: "test",
  });
  const pool = endpoint;
  const orders = HttpEngineOrders.create({
    clock,
    endpointOf: () => pool,
    readHead: () => {},
  });
  const target = describeServer({ address: server.address });
  return { orders, target, engine: server };
}

// Guards against an order that the engine refused counting as carried out, since a late
// copy of the answer to a request arrived on its connection.
test("the answer to a request does not count as the answer to an order", async () => {
  const { orders, target, engine } = await connectToEngine();
  const answer = await orders.order(target, order, holder);
  assert.equal(answer.kind, "lost");
  await waitUntil(() => engine.closedConnections === 1);
});

test("the answer to a request does not count as a status report", async () => {
  const { orders, target, engine } = await connectToEngine();
  const status = await orders.fetchStatus(target);
  assert.ok(status.isLeft());
  await waitUntil(() => engine.closedConnections === 1);
});
