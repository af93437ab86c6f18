import assert from "node:assert/strict";
import { test } from "node:test";
import type { BackendServer } from "../../src/core/gateway/servers.ts";
import { brandString, type ModelAdapterKey } from "../../src/core/ids.ts";
import { GatewayFixture } from "./gateway_fixture.ts";
import {
  booking,
  createRoute,
  createServer,
  entryOrigin,
} from "./gateway_values.ts";

/** Time after which a lower number that stays the newest must be in force, in ms. */
const settled = 1_200;

function publishServer(
  fixture: GatewayFixture,
  server: BackendServer,
  isFromCopy: boolean,
): void {
  const change = { type: "present", server, isFromCopy } as const;
  fixture.publish({ type: "server", change, origin: entryOrigin });
}

function removeServer(fixture: GatewayFixture, server: BackendServer): void {
  const outageEndedAt = Number.NEGATIVE_INFINITY as never;
  const change = { type: "absent", id: server.id, outageEndedAt } as const;
  fixture.publish({ type: "server", change, origin: entryOrigin });
}

function listUsable({ gateway }: GatewayFixture): unknown[] {
  return [...gateway.context.directory.servers.values()]
    .filter(({ leaving }) => !leaving)
    .map(({ id, born }) => `${id}/${born}`);
}

// Machines that read the copy went back to an older configuration.
test("a configuration of a copy does not replace a newer one, a rewritten one does", async () => {
  const fixture = new GatewayFixture();
  const revision = () => fixture.gateway.context.configuration?.revision;
  fixture.configure([createRoute({})], 11);
  fixture.configure([createRoute({})], 8, { isFromCopy: true });
  await fixture.advance(settled);
  assert.equal(revision(), 11);
  // The operator writes again what was lost, one after another.
  fixture.configure([createRoute({})], 9);
  await fixture.advance(300);
  fixture.configure([createRoute({ name: "again" })], 11);
  await fixture.advance(settled);
  assert.equal(revision(), 11);
  const [route] =
    fixture.gateway.context.configuration?.routes.get("h.example") ?? [];
  assert.equal(route?.name, "again");
  fixture.configure([createRoute({})], 10);
  await fixture.advance(settled);
  assert.equal(revision(), 10);
});

test("a node that has just started takes the configuration of a copy", () => {
  const fixture = new GatewayFixture();
  fixture.configure([createRoute({})], 8, { isFromCopy: true });
  assert.equal(fixture.gateway.context.configuration?.revision, 8);
});

test("an adapter version of a copy does not replace a newer one", async () => {
  const fixture = new GatewayFixture();
  const place: ModelAdapterKey = brandString("m0/a1");
  for (const [version, isFromCopy] of [
    [3, false],
    [2, true],
  ] as const) {
    const value = { place, version };
    fixture.publish({ type: "adapter-version", value, isFromCopy });
  }
  await fixture.advance(settled);
  assert.equal(fixture.gateway.context.versions.get(place), 3);
});

// Servers that were known as gone got requests again while a copy listed them.
test("a server that is gone returns only with an entry written after the restore", () => {
  const fixture = new GatewayFixture();
  const server = createServer({ service: booking, born: 5 });
  publishServer(fixture, server, false);
  removeServer(fixture, server);
  publishServer(fixture, server, true);
  assert.deepEqual(listUsable(fixture), []);
  publishServer(fixture, server, false);
  assert.deepEqual(listUsable(fixture), ["s1/5"]);
});

test("an entry of a copy brings back neither an earlier incarnation nor one that leaves", () => {
  const fixture = new GatewayFixture();
  const server = createServer({ service: booking, born: 5 });
  publishServer(fixture, { ...server, born: 6 }, false);
  publishServer(fixture, server, true);
  assert.deepEqual(listUsable(fixture), ["s1/6"]);
  publishServer(fixture, { ...server, born: 6, leaving: true }, false);
  publishServer(fixture, { ...server, born: 6 }, true);
  publishServer(fixture, { ...server, born: 6 }, false);
  assert.deepEqual(listUsable(fixture), []);
});
