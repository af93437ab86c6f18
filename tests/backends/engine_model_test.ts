import assert from "node:assert/strict";
import { test } from "node:test";
import { VirtualClock } from "../../src/adapters/time/virtual_clock.ts";
import { millis } from "../../src/core/clock.ts";
import { brandNumber, type FencingNumber } from "../../src/core/ids.ts";
import type { GenerateOrder } from "../../src/ports/engine.ts";
import {
  EngineSimulator,
  type EngineSimulatorOptions,
} from "../../src/standins/engine_simulator.ts";
import { computeExpectedText } from "../../src/standins/tokens.ts";
import { WeightStore } from "../../src/standins/weight_store.ts";
import {
  chains,
  claims,
  collect,
  fence,
  order,
  validUntil,
} from "./engine_orders.ts";

type Given = Partial<Omit<EngineSimulatorOptions, "clock" | "store">>;

function setUp(given: Given = {}) {
  const clock = VirtualClock.create();
  const store = WeightStore.create(clock);
  const engine = EngineSimulator.create({
    id: "e1",
    clock,
    store,
    limits: { slots: 2, batch: 2, fencing: "checked" },
    ...given,
  });
  return { clock, store, engine };
}

async function loadChains({ clock, engine }: ReturnType<typeof setUp>) {
  const loaded = engine.load({ adapter: chains, fence, validUntil });
  await clock.advance(millis(250));
  assert.equal((await loaded).isRight(), true);
}

test("a stream resumed on another engine continues without a missing or duplicate token", async () => {
  const expected = computeExpectedText(chains, { text: "fit", tokens: 4 });
  const whole = setUp();
  await loadChains(whole);
  const first = collect();
  whole.engine.generate(order("r1"), first.sink);
  await whole.clock.advance(millis(25));
  whole.engine.crash();
  assert.deepEqual([first.answer.events, first.answer.end], [2, "broken"]);
  const other = setUp({ id: "e2" });
  await loadChains(other);
  const second = collect();
  other.engine.generate(order("r1", { resumeAt: 2 }), second.sink);
  await other.clock.advance(millis(100));
  assert.equal(first.answer.text + second.answer.text, expected);
  assert.equal(second.answer.end, "whole");
});

test("an adapter unloaded while it serves is recorded and breaks its stream", async () => {
  const given = setUp();
  await loadChains(given);
  const { answer, sink } = collect();
  given.engine.generate(order("r1"), sink);
  await given.engine.unload({ adapter: chains, fence, validUntil });
  assert.deepEqual(given.engine.unloadedInUse, [chains]);
  assert.equal(answer.end, "broken");
});

test("orders that must not be carried out are refused for the right reason", async () => {
  const given = setUp();
  await loadChains(given);
  const kinds: string[] = [];
  const send = async (fields: Partial<GenerateOrder>) => {
    const { answer, sink } = collect();
    given.engine.generate(order("r", fields), sink);
    await given.clock.advance(millis(1));
    kinds.push(answer.end);
  };
  await send({ adapter: claims });
  await send({ fence: brandNumber<FencingNumber>(4) });
  await send({ validUntil: given.clock.now() });
  given.engine.leaving = true;
  await send({});
  given.engine.crash();
  await send({});
  assert.deepEqual(kinds, [
    "adapter-missing",
    "stale-fence",
    "unreachable",
    "leaving",
    "unreachable",
  ]);
  assert.deepEqual(given.engine.runs, []);
});

test("a full batch lets urgent work enter before bulk work that came earlier", async () => {
  const given = setUp({ limits: { slots: 1, batch: 1, fencing: "checked" } });
  await loadChains(given);
  for (const [id, priority] of [
    ["r1", "normal"],
    ["r2", "bulk"],
    ["r3", "urgent"],
  ] as const) {
    given.engine.generate(order(id, { priority }), collect().sink);
  }
  await given.clock.advance(millis(60));
  assert.deepEqual(
    given.engine.runs.map((run) => run.state),
    ["finished", "waiting", "running"],
  );
});

test("a crash by poison content empties the engine and changes its boot token", async () => {
  const given = setUp({ isPoison: (text) => text === "fit" });
  await loadChains(given);
  const before = (await given.engine.report()).unsafeCoerce();
  const { answer, sink } = collect();
  given.engine.generate(order("r1"), sink);
  await given.clock.advance(millis(2000));
  const after = (await given.engine.report()).unsafeCoerce();
  assert.equal(answer.end, "broken");
  assert.deepEqual(after.loaded, []);
  assert.notEqual(after.boot, before.boot);
});

test("a report shows the state of before within its lag", async () => {
  const given = setUp({ reportLag: 500 });
  await loadChains(given);
  await given.clock.advance(millis(1000));
  given.engine.generate(
    order("r1", { body: Buffer.from('{"max_tokens":900}') }),
    collect().sink,
  );
  const running = async () =>
    (await given.engine.report()).unsafeCoerce().running.length;
  assert.equal(await running(), 0);
  await given.clock.advance(millis(501));
  assert.equal(await running(), 1);
});

test("loads beyond the capacity of the weight store take proportionally longer", async () => {
  const clock = VirtualClock.create();
  const store = WeightStore.create(clock);
  const ends: number[] = [];
  for (let index = 0; index < 16; index++) {
    store.load(() => ends.push(clock.now()));
  }
  await clock.advance(millis(1000));
  assert.deepEqual([ends[7], ends[15]], [250, 500]);
  assert.equal(store.peakInFlight, 16);
  assert.equal(store.peakStartsPerSecond(), 16);
});

test("a failed load leaves the slot free and a cancelled stream stays quiet", async () => {
  let fails = true;
  const given = setUp({ failsLoad: () => fails });
  const failed = given.engine.load({ adapter: chains, fence, validUntil });
  await given.clock.advance(millis(250));
  assert.equal((await failed).isLeft(), true);
  fails = false;
  await loadChains(given);
  const { answer, sink } = collect();
  given.engine.generate(order("r1"), sink).cancel();
  await given.clock.advance(millis(100));
  assert.deepEqual([answer.events, answer.end], [0, "open"]);
  assert.equal(given.engine.runs[0]?.state, "cancelled");
});
