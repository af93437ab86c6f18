import assert from "node:assert/strict";
import { describe, type TestContext, test } from "node:test";
import { EngineClient } from "../../src/adapters/backends/engine_client.ts";
import { ServiceClient } from "../../src/adapters/backends/service_client.ts";
import { TableClient } from "../../src/adapters/platform/table_client.ts";
import { RealClock } from "../../src/adapters/time/real_clock.ts";
import { millis, sleep } from "../../src/core/clock.ts";
import { brandString, type RequestId } from "../../src/core/ids.ts";
import { EngineServer } from "../../src/standins/engine_server.ts";
import { EngineSimulator } from "../../src/standins/engine_simulator.ts";
import type { HttpHost } from "../../src/standins/http_host.ts";
import {
  MemoryMachineList,
  MemoryObjectStore,
} from "../../src/standins/memory_platform.ts";
import { MemoryService } from "../../src/standins/memory_service.ts";
import { MemoryTable } from "../../src/standins/memory_table.ts";
import { createPlatformServer } from "../../src/standins/platform_server.ts";
import { createServiceServer } from "../../src/standins/service_server.ts";
import { WeightStore } from "../../src/standins/weight_store.ts";
import { key } from "../platform/rows.ts";
import {
  chains,
  createCollectingSink,
  fence,
  order,
  validUntil,
} from "./engine_orders.ts";

const clock = RealClock.create();
/** Inactivity timeout of 3 s plus a tolerance for a busy machine, in ms. */
const maxDetectionTime = 3600;
/** Maximum time of a call on a responsive connection, in ms. */
const maxCallTime = 700;
const idleConnections = 4;

type Closable = { close(): Promise<void> };

/** Runs one call and returns its result and duration. */
async function time(call: () => Promise<string>) {
  const startedAt = clock.now();
  const end = await call();
  return { end, duration: clock.now() - startedAt };
}

/** Runs calls concurrently, so that each has its own connection. */
function timeMany(count: number, call: () => Promise<string>) {
  return Promise.all(Array.from({ length: count }, () => time(call)));
}

/**
 * Makes the idle connections of a client unresponsive, then runs more calls
 * than there are such connections. Calls on other connections must not be
 * delayed; calls on silent ones must fail within the inactivity timeout.
 */
async function checkIdleSilence(options: {
  readonly host: HttpHost;
  readonly call: () => Promise<string>;
  readonly failure: string;
}) {
  const { host, call, failure } = options;
  await timeMany(idleConnections, call);
  await sleep(clock, millis(20));
  host.silenceConnections();
  const results = await timeMany(2 * idleConnections, call);
  const silent = results.filter(({ end }) => end !== "whole");
  const served = results.filter(({ end }) => end === "whole");
  assert.ok(silent.length >= 1, "no call got a silent connection");
  assert.ok(served.length >= idleConnections, `${served.length} calls served`);
  for (const { end, duration } of silent) {
    assert.equal(end, failure);
    assert.ok(duration < maxDetectionTime, `detected after ${duration} ms`);
  }
  for (const { duration } of served) {
    assert.ok(
      duration < maxCallTime,
      `waited ${duration} ms behind a silent connection`,
    );
  }
  for (const { end, duration } of await timeMany(2 * idleConnections, call)) {
    assert.equal(end, "whole");
    assert.ok(
      duration < maxCallTime,
      `took ${duration} ms after the silent connections were replaced`,
    );
  }
}

async function setUpEngine(context: TestContext, inactivityTimeout = 3000) {
  const engine = EngineSimulator.create({
    id: "e1",
    clock,
    store: WeightStore.create(clock),
    limits: { slots: 2, batch: 64, fencing: "checked" },
  });
  const host = await EngineServer.create(engine, { clock });
  const client = EngineClient.create({
    origin: host.origin,
    clock,
    streams: 32,
    inactivityTimeout: millis(inactivityTimeout),
  });
  closeAfter(context, [client, host]);
  await client.load({ adapter: chains, fence, validUntil });
  const call = (tokens: number) => async () => {
    const body = Buffer.from(JSON.stringify({ max_tokens: tokens }));
    const { sink, ended } = createCollectingSink();
    client.generate(order("r1", { body }), sink);
    return ended;
  };
  return { host, client, call };
}

function closeAfter(context: TestContext, parts: readonly Closable[]) {
  context.after(async () => {
    for (const part of parts) await part.close();
  });
}

describe("silent connections", { concurrency: true }, () => {
  test("engine streams that become silent fail within the time limit while new ones run", async (context) => {
    const { host, client, call } = await setUpEngine(context);
    const running = timeMany(3, call(5000));
    await sleep(clock, millis(200));
    host.silenceConnections();
    const meanwhile = await timeMany(8, call(3));
    for (const { end, duration } of meanwhile) {
      assert.equal(end, "whole");
      assert.ok(duration < maxCallTime, `took ${duration} ms`);
    }
    const report = await time(async () =>
      (await client.report()).isRight() ? "whole" : "failed",
    );
    assert.equal(report.end, "whole");
    for (const { end, duration } of await running) {
      assert.equal(end, "silent");
      assert.ok(
        duration < maxDetectionTime + 200,
        `detected after ${duration} ms`,
      );
    }
  });

  test("silent idle connections to an engine delay no other stream", async (context) => {
    const { host, call } = await setUpEngine(context);
    await checkIdleSilence({ host, call: call(1), failure: "silent" });
  });

  test("detecting one silent connection replaces all idle ones", async (context) => {
    const { host, call } = await setUpEngine(context, 500);
    await timeMany(idleConnections, call(1));
    await sleep(clock, millis(20));
    host.silenceConnections();
    assert.equal((await time(call(1))).end, "silent");
    for (const { end } of await timeMany(idleConnections, call(1))) {
      assert.equal(end, "whole");
    }
  });

  test("an engine order on a silent connection fails within the time limit", async (context) => {
    const { host, client } = await setUpEngine(context);
    await sleep(clock, millis(20));
    host.silenceConnections();
    const unload = () => client.unload({ adapter: chains, fence, validUntil });
    const found = await time(async () => {
      const result = await unload();
      return result.swap().unsafeCoerce().kind;
    });
    assert.equal(found.end, "silent");
    assert.ok(
      found.duration < maxDetectionTime,
      `detected after ${found.duration} ms`,
    );
    const again = await time(async () => {
      const result = await unload();
      return result.swap().unsafeCoerce().kind;
    });
    assert.equal(again.end, "adapter-missing");
    assert.ok(again.duration < maxCallTime, `took ${again.duration} ms`);
  });

  test("silent idle connections to the table delay no other call", async (context) => {
    const host = await createPlatformServer({
      table: MemoryTable.create(clock),
      objects: new MemoryObjectStore(),
      machines: MemoryMachineList.create(clock),
    });
    const client = TableClient.create({ origin: host.origin, clock });
    closeAfter(context, [client, host]);
    const call = async () =>
      (await client.read(key("a"))).isRight() ? "whole" : "failed";
    await checkIdleSilence({ host, call, failure: "failed" });
  });

  test("silent idle connections to a booking service delay no other lookup", async (context) => {
    const service = MemoryService.create(clock);
    const host = await createServiceServer(service, { clock });
    const { origin } = host;
    const client = ServiceClient.create({ origin, clock, connections: 32 });
    closeAfter(context, [client, host]);
    const send = (repeatable: boolean) => async () => {
      const result = await client.call({
        requestId: brandString<RequestId>("r1"),
        method: repeatable ? "GET" : "POST",
        path: "/stock",
        contentType: undefined,
        body: new Uint8Array(),
        timeout: millis(8000),
        repeatable,
      });
      return result.isRight() ? "whole" : "failed";
    };
    await checkIdleSilence({ host, call: send(true), failure: "failed" });
    host.silenceConnections();
    const booked = await time(send(false));
    assert.equal(booked.end, "whole");
    assert.ok(booked.duration < maxCallTime, `took ${booked.duration} ms`);
  });
});
