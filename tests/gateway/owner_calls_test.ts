import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../../src/adapters/random/seeded_random.ts";
import { VirtualClock } from "../../src/adapters/time/virtual_clock.ts";
import { type Millis, millis, sleep } from "../../src/core/clock.ts";
import {
  createOwnerRefusals,
  isHeldOff,
  recordRefusal,
} from "../../src/core/gateway/owner_refusals.ts";
import { brandString, type ServerId } from "../../src/core/ids.ts";
import { OwnerCalls } from "../../src/node/gateway/engines/owner_calls.ts";
import { silentMeter } from "../../src/ports/journal.ts";
import type { AcquireResult } from "../../src/ports/nodes.ts";
import { createServer, engines } from "./gateway_values.ts";

const engine = createServer({
  id: brandString<ServerId>("e1"),
  service: engines,
});
const wanted = {
  place: brandString<never>("m/a1"),
  version: 0,
  wasDenied: false,
  patience: 40,
  urgency: { level: 1, delay: 0 },
};
const busy: AcquireResult = { kind: "refused", reason: "busy" };
const backlog = { requests: 0, tokens: 0, running: 0 };
const ready: AcquireResult = { kind: "ready", inMs: 0, backlog };

/** Calls of a node to the owner of an engine at another node, which gives one answer. */
function createCalls(answer: AcquireResult, answerTime: Millis = millis(5)) {
  const clock = VirtualClock.create();
  const asked: string[] = [];
  const calls = OwnerCalls.create({
    context: {
      now: () => clock.now(),
      dependencies: {
        identity: { machine: brandString("n1") },
        random: createSeededRandom(1),
        meter: silentMeter,
      },
    },
    leases: {
      findHolder: () => brandString("n2"),
      findAddress: () => "10.0.0.8:7000",
    },
    contacts: {
      isUnresponsive: () => false,
      recordRequest: () => {},
      recordContact: () => {},
    },
    nodeLinks: {
      acquire: async (_: string, { place }: { place: string }) => {
        asked.push(place);
        await sleep(clock, answerTime);
        return answer;
      },
    },
  } as unknown as Parameters<typeof OwnerCalls.create>[0]);
  return { clock, asked, calls };
}

// Guards against owners that spend their processor time on refusals to requests that poll.
test("an owner that is busy is asked again ever more rarely by the requests that wait", async () => {
  const { clock, asked, calls } = createCalls(busy);
  const waiting = Array.from({ length: 20 }, async (_, at) => {
    const place = brandString<never>(`m/a${at}`);
    for (let attempt = 0; attempt < 16; attempt++) {
      await calls.acquire(engine, { ...wanted, place });
      await sleep(clock, millis(60));
    }
  });
  await clock.advance(millis(2_000));
  await Promise.all(waiting);
  // The first attempts of all are sent together, before any refusal is known.
  assert.ok(asked.length < 20 * 5, `${asked.length} calls for 320 attempts`);
});

test("requests for one adapter at the same time share a call", async () => {
  const { clock, asked, calls } = createCalls(ready);
  const answers = Array.from({ length: 10 }, () =>
    calls.acquire(engine, wanted),
  );
  await clock.advance(millis(10));
  assert.deepEqual(new Set(await Promise.all(answers)), new Set([ready]));
  assert.equal(asked.length, 1);
});

test("a request that may wait longer is sent although a shorter wait was refused", async () => {
  const { clock, asked, calls } = createCalls(busy);
  void calls.acquire(engine, wanted);
  await clock.advance(millis(10));
  void calls.acquire(engine, { ...wanted, patience: 500 });
  await clock.advance(millis(10));
  assert.equal(asked.length, 2);
});

test("an owner is asked again once the time that it named has passed", () => {
  const state = createOwnerRefusals();
  const refusal = {
    engine: engine.id,
    isUnanswered: false,
    patience: 40,
    retryIn: 300,
  };
  recordRefusal(state, refusal, { now: millis(1_000), spread: 0 });
  const isHeld = (now: number) =>
    isHeldOff(state, engine.id, { patience: 40, now: millis(now) });
  assert.deepEqual([isHeld(1_299), isHeld(1_300)], [true, false]);
});
