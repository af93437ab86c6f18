import assert from "node:assert/strict";
import { test } from "node:test";
import { type Millis, millis } from "../../src/core/clock.ts";
import {
  confirmContents,
  createAdapterDirectory,
  findReadyAt,
  forgetEngineAdapters,
  hasRecentReport,
  recordContents,
  recordMissing,
  recordPromise,
  recordRegistration,
} from "../../src/core/gateway/adapter_directory.ts";
import { rankEngines } from "../../src/core/gateway/engine_ranking.ts";
import {
  createLoadTimes,
  recordLoad,
} from "../../src/core/gateway/load_times.ts";
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
    softwareVersion: undefined,
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

function createContext(waits: Record<string, number> = {}) {
  return {
    dataCentre: brandString<BackendServer["dataCentre"]>("e1-a"),
    region: "e1" as never,
    regionOf: (dataCentre: string) => dataCentre.slice(0, 2) as never,
    health: createServerHealth(),
    now: millis(0),
    adapterDirectory: createAdapterDirectory(),
    estimateWait: (engine: ServerId): Millis => millis(waits[engine] ?? 0),
    isKnown: (_engine: ServerId): boolean => true,
    loadTimes: createLoadTimes(),
    findWeight: (_engine: ServerId): number => 1,
  };
}

const servers = ["e1", "e2", "e3"].map((id) => createServer(id));

function findFirst(
  context: ReturnType<typeof createContext>,
): string | undefined {
  return rankEngines(servers, wanted, context)[0]?.server.id;
}

test("an engine that holds the adapter ranks before the adapter's rendezvous home", () => {
  for (const { id } of servers) {
    const context = createContext();
    const promise = { ...wanted, readyAt: millis(0), now: millis(0) };
    recordPromise(context.adapterDirectory, id, promise);
    assert.equal(findFirst(context), id);
  }
});

test("all nodes ask the same owner for an adapter that none holds", () => {
  const homes = new Set(servers.map(() => findFirst(createContext())));
  assert.equal(homes.size, 1);
});

// Guards against a shift of demand that leaves two thirds of the requests at one engine.
test("an adapter gets a copy at another engine once its engine has a long backlog", () => {
  const context = createContext({ e1: 2_000 });
  const promise = { ...wanted, readyAt: millis(0), now: millis(0) };
  recordPromise(context.adapterDirectory, servers[0]?.id as ServerId, promise);
  assert.notEqual(findFirst(context), "e1");
  const lightlyLoaded = createContext({ e1: 100 });
  recordPromise(
    lightlyLoaded.adapterDirectory,
    servers[0]?.id as ServerId,
    promise,
  );
  assert.equal(findFirst(lightlyLoaded), "e1");
});

test("an engine that failed recently is left out", () => {
  const context = createContext();
  const home = findFirst(context) as ServerId;
  const now = millis(0);
  recordCallResult(context.health, home, { result: "unreachable", now });
  assert.notEqual(findFirst(context), home);
});

test("an engine with an older version does not hold the adapter", () => {
  const directory = createAdapterDirectory();
  const server = createServer("e1", ["a1"]);
  recordRegistration(directory, server, millis(0));
  assert.equal(findReadyAt(directory, server.id, wanted), 0);
  const newer = { key, version: 2 };
  assert.equal(findReadyAt(directory, server.id, newer), undefined);
});

test("a registration from before a promise does not remove the adapter", () => {
  const directory = createAdapterDirectory();
  const server = createServer("e1");
  const readyAt = millis(300);
  const promise = { ...wanted, readyAt, now: millis(0) };
  recordPromise(directory, server.id, promise);
  recordRegistration(directory, server, millis(1_000));
  assert.equal(findReadyAt(directory, server.id, wanted), readyAt);
  recordRegistration(directory, server, millis(5_000));
  assert.equal(findReadyAt(directory, server.id, wanted), undefined);
});

test("an adapter that its engine denies is removed", () => {
  const directory = createAdapterDirectory();
  const server = createServer("e1", ["a1"]);
  recordRegistration(directory, server, millis(0));
  recordMissing(directory, server.id, key);
  assert.equal(findReadyAt(directory, server.id, wanted), undefined);
});

// Guards against a load from the weight store at another engine while the last one still has a cached copy.
test("an engine that held the adapter before ranks before the adapter's rendezvous home", () => {
  for (const { id } of servers) {
    const context = createContext();
    const { adapterDirectory: directory } = context;
    const at = millis(0);
    recordPromise(directory, id, { ...wanted, readyAt: at, now: at });
    recordContents(directory, id, {
      availableAdapters: [],
      now: millis(1_000),
    });
    assert.equal(findFirst(context), id);
  }
});

test("a cached copy of an older version is no reason to prefer an engine", () => {
  const home = findFirst(createContext());
  const [other] = servers.filter(({ id }) => id !== home);
  assert.ok(other);
  const context = createContext();
  const at = millis(0);
  const old = { key, version: 0, readyAt: at, now: at };
  recordPromise(context.adapterDirectory, other.id, old);
  recordContents(context.adapterDirectory, other.id, {
    availableAdapters: [],
    now: millis(1_000),
  });
  assert.equal(findFirst(context), home);
});

test("an engine that restarted has no cached copies", () => {
  const home = findFirst(createContext());
  const [other] = servers.filter(({ id }) => id !== home);
  assert.ok(other);
  const context = createContext();
  const at = millis(0);
  recordPromise(context.adapterDirectory, other.id, {
    ...wanted,
    readyAt: at,
    now: at,
  });
  recordContents(context.adapterDirectory, other.id, {
    availableAdapters: [],
    now: millis(1_000),
  });
  forgetEngineAdapters(context.adapterDirectory, other.id);
  assert.equal(findFirst(context), home);
});

// Guards against a request sent to an engine that evicted its adapter long ago.
test("the owner of an engine with outdated contents is asked before the engine's adapter is used", () => {
  const context = createContext();
  recordContents(context.adapterDirectory, servers[2]?.id as ServerId, {
    availableAdapters: [{ ...wanted, readyIn: 0 }],
    now: millis(0),
  });
  const [first] = rankEngines(servers, wanted, {
    ...context,
    now: millis(60_000),
    isKnown: () => false,
  });
  assert.equal(first?.server.id, "e3");
  assert.equal(first?.readyAt, undefined);
  assert.equal(first?.mayHold, true);
});

test("contents are recent for a time after each report of the owner", () => {
  const { adapterDirectory } = createContext();
  const engine = servers[0]?.id as ServerId;
  const isRecent = (now: number) =>
    hasRecentReport(adapterDirectory, engine, millis(now));
  assert.equal(isRecent(0), false);
  recordContents(adapterDirectory, engine, {
    availableAdapters: [],
    now: millis(0),
  });
  assert.equal(isRecent(1_000), true);
  assert.equal(isRecent(3_000), false);
  confirmContents(adapterDirectory, engine, millis(3_000));
  assert.equal(isRecent(4_000), true);
});

// Guards against further copies of adapters while the weight store is already
// busy: each of them makes all loads take longer.
test("a further copy has to save more while loads take longer", () => {
  const holder = servers[0]?.id as ServerId;
  const choose = (wait: number, loadTime: number) => {
    const context = createContext({ [holder]: wait });
    recordContents(context.adapterDirectory, holder, {
      availableAdapters: [{ ...wanted, readyIn: 0 }],
      now: millis(0),
    });
    for (let load = 0; load < 100; load++)
      recordLoad(context.loadTimes, "store", loadTime);
    return findFirst(context);
  };
  assert.equal(choose(400, 250), holder);
  assert.notEqual(choose(450, 250), holder);
  assert.equal(choose(450, 600), holder);
  assert.notEqual(choose(1_100, 600), holder);
});
