import assert from "node:assert/strict";
import { test } from "node:test";
import { type Millis, millis } from "../../src/core/clock.ts";
import {
  createAdapterDirectory,
  findReadyAt,
  forgetEngineAdapters,
  rankEngines,
  recordContents,
  recordMissing,
  recordPromise,
  recordRegistration,
} from "../../src/core/gateway/adapter_directory.ts";
import {
  createServerHealth,
  recordCallResult,
} from "../../src/core/gateway/server_health.ts";
import type { BackendServer } from "../../src/core/gateway/servers.ts";
import {
  type AdapterName,
  brandString,
  formatModelAdapterKey,
  type ServerId,
} from "../../src/core/ids.ts";
import { model } from "./simulated_engine.ts";

const key = formatModelAdapterKey(model, brandString("a1"));
const wanted = { key, version: 1 };

function createServer(id: string, adapters: string[] = []): BackendServer {
  return {
    id: brandString(id),
    service: brandString("s"),
    address: "10.0.0.1:80",
    dataCentre: brandString(`${id}-a`),
    slots: 128,
    leaving: false,
    models: [
      {
        name: model,
        version: 1,
        adapters: adapters.map((name) => ({
          name: brandString<AdapterName>(name),
          version: 1,
        })),
      },
    ],
    orderCount: 0,
    born: 1,
  };
}

function createOutlook(waits: Record<string, number> = {}) {
  return {
    dataCentre: brandString<BackendServer["dataCentre"]>("e1-a"),
    region: "e1" as never,
    regionOf: (dataCentre: string) => dataCentre.slice(0, 2) as never,
    health: createServerHealth(),
    now: millis(0),
    holdings: createAdapterDirectory(),
    estimateWait: (engine: ServerId): Millis => millis(waits[engine] ?? 0),
  };
}

const servers = ["e1", "e2", "e3"].map((id) => createServer(id));

function first(outlook: ReturnType<typeof createOutlook>): string | undefined {
  return rankEngines(servers, wanted, outlook)[0]?.server.id;
}

test("an engine that holds the adapter goes before its rendezvous home", () => {
  for (const { id } of servers) {
    const outlook = createOutlook();
    const promise = { ...wanted, readyAt: millis(0), now: millis(0) };
    recordPromise(outlook.holdings, id, promise);
    assert.equal(first(outlook), id);
  }
});

test("all nodes ask the same owner for an adapter that none holds", () => {
  const homes = new Set(servers.map(() => first(createOutlook())));
  assert.equal(homes.size, 1);
});

// A shift of demand once left two thirds of the requests at one engine.
test("an adapter gets a copy elsewhere once its engine has a long backlog", () => {
  const outlook = createOutlook({ e1: 2_000 });
  const promise = { ...wanted, readyAt: millis(0), now: millis(0) };
  recordPromise(outlook.holdings, servers[0]?.id as ServerId, promise);
  assert.notEqual(first(outlook), "e1");
  const calm = createOutlook({ e1: 100 });
  recordPromise(calm.holdings, servers[0]?.id as ServerId, promise);
  assert.equal(first(calm), "e1");
});

test("an engine that failed lately is left out", () => {
  const outlook = createOutlook();
  const home = first(outlook) as ServerId;
  const now = millis(0);
  recordCallResult(outlook.health, home, { result: "unreachable", now });
  assert.notEqual(first(outlook), home);
});

test("an older version is no holding", () => {
  const holdings = createAdapterDirectory();
  const server = createServer("e1", ["a1"]);
  recordRegistration(holdings, server, millis(0));
  assert.equal(findReadyAt(holdings, server.id, wanted), 0);
  const newer = { key, version: 2 };
  assert.equal(findReadyAt(holdings, server.id, newer), undefined);
});

test("a registration from before a promise does not disprove it", () => {
  const holdings = createAdapterDirectory();
  const server = createServer("e1");
  const readyAt = millis(300);
  const promise = { ...wanted, readyAt, now: millis(0) };
  recordPromise(holdings, server.id, promise);
  recordRegistration(holdings, server, millis(1_000));
  assert.equal(findReadyAt(holdings, server.id, wanted), readyAt);
  recordRegistration(holdings, server, millis(5_000));
  assert.equal(findReadyAt(holdings, server.id, wanted), undefined);
});

test("an engine's denial ends a holding", () => {
  const holdings = createAdapterDirectory();
  const server = createServer("e1", ["a1"]);
  recordRegistration(holdings, server, millis(0));
  recordMissing(holdings, server.id, key);
  assert.equal(findReadyAt(holdings, server.id, wanted), undefined);
});

// An adapter was once fetched from the weight store for another engine although its last one still had a copy.
test("an engine that held the adapter before goes before its rendezvous home", () => {
  for (const { id } of servers) {
    const outlook = createOutlook();
    const { holdings } = outlook;
    const at = millis(0);
    recordPromise(holdings, id, { ...wanted, readyAt: at, now: at });
    recordContents(holdings, id, { places: [], now: millis(1_000) });
    assert.equal(first(outlook), id);
  }
});

test("a copy of an older version is no reason to prefer an engine", () => {
  const home = first(createOutlook());
  const [other] = servers.filter(({ id }) => id !== home);
  assert.ok(other);
  const outlook = createOutlook();
  const at = millis(0);
  const old = { key, version: 0, readyAt: at, now: at };
  recordPromise(outlook.holdings, other.id, old);
  recordContents(outlook.holdings, other.id, {
    places: [],
    now: millis(1_000),
  });
  assert.equal(first(outlook), home);
});

test("an engine that restarted has no copies", () => {
  const home = first(createOutlook());
  const [other] = servers.filter(({ id }) => id !== home);
  assert.ok(other);
  const outlook = createOutlook();
  const at = millis(0);
  recordPromise(outlook.holdings, other.id, {
    ...wanted,
    readyAt: at,
    now: at,
  });
  recordContents(outlook.holdings, other.id, {
    places: [],
    now: millis(1_000),
  });
  forgetEngineAdapters(outlook.holdings, other.id);
  assert.equal(first(outlook), home);
});
