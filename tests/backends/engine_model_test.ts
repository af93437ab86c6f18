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
  createCollectingSink,
  fence,
  order,
  validUntil,
} from "./engine_orders.ts";

type SetUpOptions = Partial<Omit<EngineSimulatorOptions, "clock" | "store">>;

function setUp(options: SetUpOptions = {}) {
  const clock = VirtualClock.create();
  const store = WeightStore.create(clock);
  const engine = EngineSimulator.create({
    id: "e1",
    clock,
    store,
    limits: { slots: 2, batch: 2, fencing: "checked" },
    ...options,
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
  const first = createCollectingSink();
  whole.engine.generate(order("r1"), first.sink);
  await whole.clock.advance(millis(25));
  whole.engine.crash();
  assert.deepEqual([first.answer.events, first.answer.end], [2, "broken"]);
  const other = setUp({ id: "e2" });
  await loadChains(other);
  const second = createCollectingSink();
  other.engine.generate(order("r1", { resumeAt: 2 }), second.sink);
  await other.clock.advance(millis(100));
  assert.equal(first.answer.text + second.answer.text, expected);
  assert.equal(second.answer.end, "whole");
});

test("unloading an adapter while it serves a request is recorded and breaks its stream", async () => {
  const setup = setUp();
  await loadChains(setup);
  const { answer, sink } = createCollectingSink();
  setup.engine.generate(order("r1"), sink);
  await setup.engine.unload({ adapter: chains, fence, validUntil });
  assert.deepEqual(setup.engine.unloadedInUse, [chains]);
  assert.equal(answer.end, "broken");
});

test("orders that must not be carried out are refused with the reason that applies", async () => {
  const setup = setUp();
  await loadChains(setup);
  const kinds: string[] = [];
  const send = async (fields: Partial<GenerateOrder>) => {
    const { answer, sink } = createCollectingSink();
    setup.engine.generate(order("r", fields), sink);
    await setup.clock.advance(millis(1));
    kinds.push(answer.end);
  };
  await send({ adapter: claims });
  await send({ fence: brandNumber<FencingNumber>(4) });
  await send({ validUntil: setup.clock.now() });
  setup.engine.leaving = true;
  await send({});
  setup.engine.crash();
  await send({});
  assert.deepEqual(kinds, [
    "adapter-missing",
    "stale-fence",
    "unreachable",
    "leaving",
    "unreachable",
  ]);
  assert.deepEqual(setup.engine.runs, []);
});

test("a full batch admits urgent work before bulk work that arrived earlier", async () => {
  const setup = setUp({ limits: { slots: 1, batch: 1, fencing: "checked" } });
  await loadChains(setup);
  for (const [id, priority] of [
    ["r1", "normal"],
    ["r2", "bulk"],
    ["r3", "urgent"],
  ] as const) {
    setup.engine.generate(order(id, { priority }), createCollectingSink().sink);
  }
  await setup.clock.advance(millis(60));
  assert.deepEqual(
    setup.engine.runs.map((run) => run.state),
    ["finished", "waiting", "running"],
  );
});

test("a crash caused by poison content unloads all adapters of the engine and changes its boot token", async () => {
  const setup = setUp({ isPoison: (text) => text === "fit" });
  await loadChains(setup);
  const before = (await setup.engine.report()).unsafeCoerce();
  const { answer, sink } = createCollectingSink();
  setup.engine.generate(order("r1"), sink);
  await setup.clock.advance(millis(2000));
  const after = (await setup.engine.report()).unsafeCoerce();
  assert.equal(answer.end, "broken");
  assert.deepEqual(after.loaded, []);
  assert.notEqual(after.boot, before.boot);
});

test("a report shows the earlier state within the configured lag", async () => {
  const setup = setUp({ reportLag: 500 });
  await loadChains(setup);
  await setup.clock.advance(millis(1000));
  setup.engine.generate(
    order("r1", { body: Buffer.from('{"max_tokens":900}') }),
    createCollectingSink().sink,
  );
  const running = async () =>
    (await setup.engine.report()).unsafeCoerce().running.length;
  assert.equal(await running(), 0);
  await setup.clock.advance(millis(501));
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

test("a failed load leaves the slot free and a cancelled stream produces no events", async () => {
  let fails = true;
  const setup = setUp({ failsLoad: () => fails });
  const failed = setup.engine.load({ adapter: chains, fence, validUntil });
  await setup.clock.advance(millis(250));
  assert.equal((await failed).isLeft(), true);
  fails = false;
  await loadChains(setup);
  const { answer, sink } = createCollectingSink();
  setup.engine.generate(order("r1"), sink).cancel();
  await setup.clock.advance(millis(100));
  assert.deepEqual([answer.events, answer.end], [0, "open"]);
  assert.equal(setup.engine.runs[0]?.state, "cancelled");
});
