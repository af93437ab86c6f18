import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { millis } from "../../src/core/clock.ts";
import { waitUntil } from "../support/wait.ts";
import { CrowdedServer } from "./crowded_server.ts";

let server: CrowdedServer;

afterEach(() => server.close());

const createRequest = (path: string) =>
  `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`;

async function connectBusy(path: string) {
  const connection = await server.connect();
  connection.write(createRequest(path));
  await waitUntil(() => server.started.includes(path));
  return connection;
}

// Guards against silent connections that keep ordinary callers out.
test("beyond the limit the oldest connection without a request makes room", async () => {
  server = await CrowdedServer.open({ connections: 3 });
  const busy = await connectBusy("/busy");
  const silent = await server.connect();
  await server.clock.advance(millis(1_500));
  const later = await server.connect();
  const next = await server.connect();
  await silent.closed;
  assert.deepEqual(server.closed, ["silent"]);
  assert.deepEqual(
    [busy, later, next].map(({ isClosed }) => isClosed),
    [false, false, false],
  );
});

// Guards against a caller that has just connected and is closed though others are idle.
test("an idle connection makes room before one that has just been opened", async () => {
  server = await CrowdedServer.open({ connections: 2 });
  const idle = await connectBusy("/idle");
  server.answer("/idle");
  await idle.waitUntil(() => idle.received.endsWith("/idle"));
  const fresh = await server.connect();
  const next = await server.connect();
  await idle.closed;
  assert.deepEqual(server.closed, ["idle"]);
  assert.ok(!fresh.isClosed && !next.isClosed);
});

// Guards against a request in progress that loses its connection to a new one.
test("connections whose requests are in progress stay, unless a body has stopped", async () => {
  server = await CrowdedServer.open({ connections: 2 });
  const busy = [await connectBusy("/a"), await connectBusy("/b")];
  const refused = await server.connect();
  await refused.closed;
  assert.deepEqual(server.closed, ["full"]);
  server.hasStopped = true;
  const taken = await server.connect();
  assert.deepEqual(server.closed, ["full", "body"]);
  assert.ok([...busy, taken].every(({ isClosed }) => !isClosed));
});
