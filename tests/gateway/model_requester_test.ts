import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../../src/adapters/random/seeded_random.ts";
import { VirtualClock } from "../../src/adapters/time/virtual_clock.ts";
import { millis } from "../../src/core/clock.ts";
import { brandString, type ServerId } from "../../src/core/ids.ts";
import { GatewayContext } from "../../src/node/gateway/context.ts";
import { ModelRequester } from "../../src/node/gateway/engines/model_requester.ts";
import { noBacklog } from "../../src/ports/event_backlog.ts";
import { silentJournal, silentMeter } from "../../src/ports/journal.ts";
import type { ModelResult } from "../../src/ports/nodes.ts";
import { createServer, engines } from "./gateway_values.ts";

const model = brandString<never>("m1");

/** Creates a requester whose owners give the replies in turn, the last one for good. */
function createRequester(...replies: ModelResult[]) {
  const clock = VirtualClock.create();
  const calls: { engine: string; requests: number }[] = [];
  const context = GatewayContext.create({
    identity: {
      machine: brandString("n1"),
      process: "p1",
      dataCentre: brandString("a"),
      region: brandString("r"),
      regions: new Map(),
      peerAddress: "10.0.0.9:7000",
    },
    clock,
    random: createSeededRandom(1),
    journal: silentJournal,
    meter: silentMeter,
    links: {
      send: () => ({ cancel() {}, pause() {}, resume() {} }),
      disconnect() {},
    },
    backlog: noBacklog,
    probe: async () => true,
    retryLimits: { ratio: 0.2, slack: 50, window: millis(10_000) },
  });
  const requester = ModelRequester.create(context, async (server, wanted) => {
    calls.push({ engine: server.id, requests: wanted.requests });
    return replies[Math.min(calls.length, replies.length) - 1] as ModelResult;
  });
  const servers = ["e1", "e2", "e3", "e4"].map((id) =>
    createServer({ id: brandString<ServerId>(id), service: engines }),
  );
  const request = (requests: number) =>
    requester.request(engines, { model, requests }, servers);
  return { clock, calls, request };
}

const busy: ModelResult = { kind: "refused", reason: "busy" };

test("requests within one interval share a call, which names their number", async () => {
  const { clock, calls, request } = createRequester(busy);
  await request(1);
  for (let i = 0; i < 9; i++) await request(1);
  // A request that is still waiting asks again and is not counted twice.
  await request(0);
  assert.deepEqual(
    calls.map(({ requests }) => requests),
    [1, 1, 1],
  );
  await clock.advance(millis(300));
  await request(1);
  assert.equal(calls.at(-1)?.requests, 10);
});

test("three owners are asked in turn until one promises the model, and that one first from then on", async () => {
  const ready: ModelResult = { kind: "ready", inMs: 2_000 };
  const { clock, calls, request } = createRequester(busy, ready);
  const availability = await request(1);
  assert.deepEqual(availability, { kind: "coming", readyAt: 2_000 });
  assert.equal(calls.length, 2);
  await clock.advance(millis(300));
  await request(1);
  assert.equal(calls.length, 3);
  assert.equal(calls[2]?.engine, calls[1]?.engine);
});

test("owners that cannot be reached leave open whether the model comes", async () => {
  const unreachable = createRequester({
    kind: "refused",
    reason: "unreachable",
  });
  assert.equal((await unreachable.request(1)).kind, "unknown");
  assert.equal((await createRequester(busy).request(1)).kind, "declined");
});
