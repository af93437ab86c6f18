import assert from "node:assert/strict";
import { test } from "node:test";
import { HttpRelayLinks } from "../../platform/relay_links.ts";
import { digestKey } from "../../src/adapters/keys/api_key.ts";
import { RealClock } from "../../src/adapters/time/real_clock.ts";
import { millis } from "../../src/core/clock.ts";
import type { OrganisationDirectory } from "../../src/core/gateway/organisations.ts";
import { brandString } from "../../src/core/ids.ts";
import type { ProxiedRequest } from "../../src/ports/gateway.ts";
import { silentMeter } from "../../src/ports/journal.ts";
import {
  createOrganisation,
  createOrganisations,
} from "../gateway/gateway_values.ts";
import { RawConnection } from "../support/raw_connection.ts";
import { FrontFixture } from "./front_fixture.ts";
import { success } from "./raw_server.ts";

/** An organisation for each of these keys, which it is named after. */
function createNamesakes(...keys: string[]): OrganisationDirectory {
  return createOrganisations(
    ...keys.map(
      (key) => [createOrganisation(`of-${key}`), digestKey(key)] as const,
    ),
  );
}

function openFixture(...keys: string[]): Promise<FrontFixture> {
  return FrontFixture.create(
    { organisations: createNamesakes(...keys) },
    ({ id }, socket) => socket.write(success(id)),
  );
}

function formatRequest(id: string, key: string): string {
  return `POST /b/x HTTP/1.1\r\nHost: h.example\r\nGoldcrestwinch-Request-Id: ${id}\r\nApi-Key: ${key}\r\nGoldcrestwinch-Tenant: invented\r\nContent-Length: 0\r\n\r\n`;
}

function findStatuses(received: string): string[] {
  return [...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) =>
    String(status),
  );
}

/** Heads of the requests that the server of a fixture has received. */
function listHeads({ servers }: FrontFixture): string[] {
  return servers.flatMap(({ requests }) => requests.map(({ head }) => head));
}

// Guards against keys that live on in a connection (revocation), and against
// servers that learn a key or believe a caller's name for its organisation.
test("on one connection each request counts by the configuration in force at its time", async (context) => {
  const fixture = await openFixture("k1");
  context.after(() => fixture.close());
  const connection = await RawConnection.open(fixture.port);
  const send = async (id: string, key: string) => {
    const { length } = connection.received;
    connection.write(formatRequest(id, key));
    const find = () => findStatuses(connection.received.slice(length))[0];
    await connection.waitUntil(() => find() !== undefined);
    return find();
  };
  assert.equal(await send("r1", "k1"), "200");
  assert.equal(await send("r2", "k2"), "401");
  fixture.configure(createNamesakes("k2"));
  assert.equal(await send("r3", "k1"), "401");
  assert.equal(await send("r4", "k2"), "200");
  connection.destroy();
  const heads = listHeads(fixture);
  assert.equal(heads.length, 2);
  assert.match(heads[0] as string, /goldcrestwinch-tenant: of-k1/i);
  assert.match(heads[1] as string, /goldcrestwinch-tenant: of-k2/i);
  for (const head of heads) assert.doesNotMatch(head, /invented|api-key/i);
});

test("of pipelined requests those that are read after a key was removed are refused", async (context) => {
  let onArrival = () => {};
  const arrived = new Promise<void>((resolve) => {
    onArrival = resolve;
  });
  const fixture = await FrontFixture.create(
    { organisations: createNamesakes("k1") },
    ({ id }, socket) => {
      onArrival();
      setTimeout(() => socket.write(success(id)), 50);
    },
  );
  context.after(() => fixture.close());
  const connection = await RawConnection.open(fixture.port);
  connection.write(formatRequest("r1", "k1"));
  await arrived;
  fixture.configure(createNamesakes("k2"));
  // The first request is not answered yet.
  connection.write(formatRequest("r2", "k1") + formatRequest("r3", "k2"));
  const count = () => findStatuses(connection.received).length;
  await connection.waitUntil(() => count() === 3);
  connection.destroy();
  assert.deepEqual(findStatuses(connection.received), ["200", "401", "200"]);
  assert.deepEqual(fixture.servers[0]?.ids, ["r1", "r3"]);
});

function describeRequest(id: string, key: string | undefined): ProxiedRequest {
  return {
    requestId: brandString(id),
    method: "POST",
    host: "h.example",
    target: "/b/x",
    path: "/b/x",
    headers: ["Host", "h.example", "Goldcrestwinch-Request-Id", id],
    body: new Uint8Array(0),
    credential:
      key === undefined
        ? { kind: "none" }
        : { kind: "key", digest: digestKey(key) },
    demand: undefined,
    deadline: undefined,
    resumeAfter: undefined,
    arrivedAt: millis(0),
  };
}

/** Passes a request on to a node, as another node does; resolves to the status of its answer. */
function passOn(address: string, request: ProxiedRequest): Promise<number> {
  const clock = RealClock.create();
  const links = HttpRelayLinks.create({ clock, meter: silentMeter });
  const relayed = { request, timeLeft: millis(1_000), runs: 0 };
  return new Promise((resolve, reject) => {
    links.send(address, relayed, {
      onHead: ({ status }) => resolve(status),
      onBytes: () => {},
      onEnd: () => {},
      onFailure: ({ detail }) => reject(new Error(detail)),
    });
  });
}

// Guards against a node that trusts what another one with older keys has let pass.
test("a node looks the key of a request that it is passed up in its own configuration", async (context) => {
  const fixture = await openFixture("k1");
  context.after(() => fixture.close());
  const address = await fixture.openNodeCalls();
  assert.equal(await passOn(address, describeRequest("r1", "k1")), 200);
  assert.equal(await passOn(address, describeRequest("r2", "k2")), 401);
  assert.equal(await passOn(address, describeRequest("r3", undefined)), 401);
  fixture.configure(createNamesakes("k2"));
  assert.equal(await passOn(address, describeRequest("r4", "k1")), 401);
  assert.equal(await passOn(address, describeRequest("r5", "k2")), 200);
  const [first = "", second = "", ...others] = listHeads(fixture);
  assert.match(first, /goldcrestwinch-tenant: of-k1/i);
  assert.match(second, /goldcrestwinch-tenant: of-k2/i);
  assert.doesNotMatch(first, /relayed|api-key/i);
  assert.equal(others.length, 0);
});

// Guards against callers who take the digest of a key, such as from a dump, for the key.
test("the digest of a key does not pass for the key on the listener of the callers", async (context) => {
  const fixture = await openFixture("k1");
  context.after(() => fixture.close());
  const fields = `Goldcrestwinch-Relayed: 1\r\nGoldcrestwinch-Relayed-Key: ${digestKey("k1")}\r\n`;
  assert.equal((await fixture.call("r1", { fields })).status, 401);
  const withKey = `${fields}Api-Key: k1\r\n`;
  assert.equal((await fixture.call("r2", { fields: withKey })).status, 200);
  const [head = ""] = listHeads(fixture);
  assert.doesNotMatch(head, /relayed/i);
});
