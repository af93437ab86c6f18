import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { waitUntil } from "../support/wait.ts";
import { CrowdedServer } from "./crowded_server.ts";

let server: CrowdedServer;

afterEach(() => server.close());

const createRequest = (path: string) =>
  `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`;

function createRequests(count: number): string {
  return Array.from({ length: count }, (_, at) => createRequest(`/${at}`)).join(
    "",
  );
}

// Guards against requests that are parsed and kept by the thousand for one connection.
test("a connection with many requests ahead is not read, and all of them are answered in the end", async () => {
  server = await CrowdedServer.open();
  const connection = await server.connect();
  const count = 3_000;
  connection.write(createRequests(count));
  await waitUntil(() => server.started.length >= 8);
  await sleep(100);
  assert.equal(server.started.length, 8);
  assert.ok(server.taken.length < 400, `${server.taken.length} taken`);
  for (let at = 0; at < count; at++) {
    await waitUntil(() => server.started.length > at);
    server.answer(`/${at}`);
  }
  await connection.waitUntil(() => connection.received.endsWith("/2999"));
  const paths = server.started;
  assert.deepEqual(
    paths,
    Array.from({ length: count }, (_, at) => `/${at}`),
  );
});

// Guards against connections with requests ahead that take the places of all other callers.
test("requests ahead of many connections leave room, and each connection has one that is served", async () => {
  server = await CrowdedServer.open();
  for (let at = 0; at < 20; at++)
    (await server.connect()).write(createRequests(10));
  await waitUntil(() => server.taken.length === 200);
  await sleep(100);
  assert.equal(server.started.length, 20 + 16);
});

// Guards against requests ahead whose memory nobody bounds.
test("beyond the budget the connection with the most requests ahead is closed, and others are served", async () => {
  server = await CrowdedServer.open({ heldBytes: 1024 * 1024 });
  const ordinary = await server.connect();
  ordinary.write(createRequest("/ordinary"));
  await waitUntil(() => server.started.includes("/ordinary"));
  const greedy = await server.connect();
  greedy.write(createRequests(200));
  await greedy.closed;
  assert.deepEqual(server.closed, ["ahead"]);
  server.answer("/ordinary");
  await ordinary.waitUntil(() => ordinary.received.endsWith("/ordinary"));
  assert.equal(server.budget.used, 0);
});
