import assert from "node:assert/strict";
import { type TestContext, test } from "node:test";
import { EngineClient } from "../../src/adapters/backends/engine_client.ts";
import { RealClock } from "../../src/adapters/time/real_clock.ts";
import { type Clock, millis, sleep } from "../../src/core/clock.ts";
import { brandNumber, type FencingNumber } from "../../src/core/ids.ts";
import { EngineServer } from "../../src/standins/engine_server.ts";
import { EngineSimulator } from "../../src/standins/engine_simulator.ts";
import { type HttpExchange, HttpHost } from "../../src/standins/http_host.ts";
import { computeExpectedText } from "../../src/standins/tokens.ts";
import { WeightStore } from "../../src/standins/weight_store.ts";
import {
  chains,
  createCollectingSink,
  fence,
  order,
  validUntil,
} from "./engine_orders.ts";

const clock = RealClock.create();

type SetUpOptions = {
  readonly clock?: Clock;
  readonly streams?: number;
  readonly inactivityTimeout?: number;
  readonly stepTime?: number;
};

/** Starts an engine with one adapter loaded and connects a client to it. */
async function setUp(context: TestContext, options: SetUpOptions = {}) {
  const engine = EngineSimulator.create({
    id: "e1",
    clock,
    store: WeightStore.create(clock),
    limits: { slots: 2, batch: 64, fencing: "checked" },
    stepTime: options.stepTime ?? 5,
  });
  const host = await EngineServer.create(engine, { clock });
  const client = connect(context, host, options);
  // The load takes 250 ms, so it goes over a client with the usual inactivity timeout.
  const loader = connect(context, host);
  const loaded = await loader.load({ adapter: chains, fence, validUntil });
  assert.equal(loaded.isRight(), true);
  return { engine, host, client };
}

function connect(
  context: TestContext,
  host: HttpHost,
  options: SetUpOptions = {},
) {
  const rejected: string[] = [];
  const client = EngineClient.create({
    origin: host.origin,
    clock: options.clock ?? clock,
    streams: options.streams ?? 64,
    inactivityTimeout: millis(options.inactivityTimeout ?? 3000),
    meter: { count: (name) => rejected.push(name), observe() {}, gauge() {} },
  });
  context.after(async () => {
    await client.close();
    await host.close();
  });
  return Object.assign(client, { rejected });
}

async function answerWith(
  context: TestContext,
  handle: (call: HttpExchange) => void,
) {
  const host = await HttpHost.create(handle);
  const { answer, sink, ended } = createCollectingSink();
  connect(context, host).generate(order("r1"), sink);
  await ended;
  return answer;
}

function body(fields: Record<string, unknown>) {
  return Buffer.from(JSON.stringify(fields));
}

test("the engine runs the adapter of the order even if the body names another model", async (context) => {
  const { client } = await setUp(context);
  const { answer, sink, ended } = createCollectingSink();
  client.generate(
    order("r1", {
      body: body({ model: "claims", prompt: "a", max_tokens: 9 }),
    }),
    sink,
  );
  assert.equal(await ended, "whole");
  assert.deepEqual([...answer.models], [chains]);
  assert.equal(
    answer.text,
    computeExpectedText(chains, { text: "a", tokens: 9 }),
  );
});

test("a stream broken by a crash resumes at the next token", async (context) => {
  const { engine, client } = await setUp(context);
  const prompt = body({ prompt: "a", max_tokens: 40 });
  const first = createCollectingSink();
  client.generate(order("r1", { body: prompt }), first.sink);
  await sleep(clock, millis(60));
  engine.crash(millis(1));
  assert.equal(await first.ended, "broken");
  await sleep(clock, millis(20));
  await client.load({ adapter: chains, fence, validUntil });
  const second = createCollectingSink();
  const resumeAt = first.answer.events;
  client.generate(order("r1", { body: prompt, resumeAt }), second.sink);
  assert.equal(await second.ended, "whole");
  assert.ok(resumeAt > 0 && resumeAt < 40);
  assert.equal(
    first.answer.text + second.answer.text,
    computeExpectedText(chains, { text: "a", tokens: 40 }),
  );
});

test("an order is not sent once it has expired, even if it was valid when it was created", async (context) => {
  let clockOffset = 0;
  const shiftedClock: Clock = {
    now: () => millis(clock.now() + clockOffset),
    wallNow: () => clock.wallNow(),
    schedule: (delay, callback) => clock.schedule(delay, callback),
  };
  const { engine, client } = await setUp(context, { clock: shiftedClock });
  const until = millis(shiftedClock.now() + 1000);
  const { sink, ended } = createCollectingSink();
  client.generate(order("r1", { validUntil: until }), sink);
  const unloaded = client.unload({ adapter: chains, fence, validUntil: until });
  clockOffset = 1000;
  assert.equal(await ended, "unreachable");
  const failure = (await unloaded).swap().unsafeCoerce();
  assert.equal(failure.kind, "unreachable");
  assert.deepEqual(engine.runs, []);
  const report = (await client.report()).unsafeCoerce();
  assert.deepEqual(report.loaded, [chains]);
});

test("an answer with another request id is dropped", async (context) => {
  const answer = await answerWith(context, ({ response }) => {
    response.setHeader("x-request-id", "other");
    response.end("data: {}\n\ndata: [DONE]\n\n");
  });
  assert.deepEqual([answer.end, answer.events], ["broken", 0]);
});

test("an answer without the [DONE] event is not whole", async (context) => {
  const answer = await answerWith(context, ({ response }) => {
    response.setHeader("x-request-id", "r1");
    response.end('data: {"model":"chains@3","choices":[]}\n\n');
  });
  assert.deepEqual([answer.end, answer.events], ["broken", 1]);
});

test("an answer of another adapter version is dropped before any event is forwarded", async (context) => {
  for (const model of ["chains@2", "claims@1"]) {
    const answer = await answerWith(context, ({ response }) => {
      response.setHeader("x-request-id", "r1");
      response.write(`data: {"model":"${model}","choices":[]}\n\n`);
      response.end("data: [DONE]\n\n");
    });
    assert.deepEqual([answer.end, answer.events], ["wrong-adapter", 0]);
  }
});

test("only status codes that guarantee that nothing ran count as refusals", async (context) => {
  const kinds: Record<number, string> = {};
  for (const status of [400, 404, 408, 409, 410, 429, 500, 502, 503, 504]) {
    const answer = await answerWith(context, ({ response }) => {
      response.writeHead(status, { "x-request-id": "r1" }).end("{}");
    });
    kinds[status] = answer.end;
  }
  assert.deepEqual(kinds, {
    400: "refused",
    404: "adapter-missing",
    408: "broken",
    409: "stale-fence",
    410: "leaving",
    429: "refused",
    500: "broken",
    502: "broken",
    503: "refused",
    504: "broken",
  });
});

test("a connection that breaks after the order was sent leaves open whether it ran", async (context) => {
  const answer = await answerWith(context, ({ response }) =>
    response.destroy(),
  );
  assert.equal(answer.end, "broken");
});

test("an engine that does not listen is unreachable", async (context) => {
  const { host, client } = await setUp(context);
  await host.close();
  const { sink, ended } = createCollectingSink();
  client.generate(order("r1"), sink);
  assert.equal(await ended, "unreachable");
});

test("a stale fencing number is refused for streams and unloads", async (context) => {
  const { client } = await setUp(context);
  const old = brandNumber<FencingNumber>(4);
  const { sink, ended } = createCollectingSink();
  client.generate(order("r1", { fence: old }), sink);
  assert.equal(await ended, "stale-fence");
  const unloaded = await client.unload({
    adapter: chains,
    fence: old,
    validUntil,
  });
  assert.equal(unloaded.swap().unsafeCoerce().kind, "stale-fence");
});

test("streams beyond the bound on connections are refused at once and counted", async (context) => {
  const { engine, client } = await setUp(context, { streams: 1 });
  const first = createCollectingSink();
  const second = createCollectingSink();
  client.generate(order("r1"), first.sink);
  client.generate(order("r2"), second.sink);
  assert.equal(await second.ended, "refused");
  assert.equal(await first.ended, "whole");
  assert.deepEqual(client.rejected, ["endpoint_rejected_total"]);
  assert.equal(engine.runs.length, 1);
  await sleep(clock, millis(20));
  const third = createCollectingSink();
  client.generate(order("r3"), third.sink);
  assert.equal(await third.ended, "whole");
});

test("a cancelled stream also ends at the engine", async (context) => {
  const { engine, client } = await setUp(context);
  const { answer, sink } = createCollectingSink();
  const prompt = body({ prompt: "a", max_tokens: 1000 });
  const control = client.generate(order("r1", { body: prompt }), sink);
  await sleep(clock, millis(50));
  control.cancel();
  const events = answer.events;
  await sleep(clock, millis(50));
  assert.equal(engine.runs[0]?.state, "cancelled");
  assert.deepEqual([answer.events, answer.end], [events, "open"]);
});

test("a paused reader delays only its own stream and loses no event", async (context) => {
  const { client } = await setUp(context, { inactivityTimeout: 300 });
  const paused = createCollectingSink();
  const other = createCollectingSink();
  const prompt = body({ prompt: "a", max_tokens: 30 });
  const control = client.generate(order("r1", { body: prompt }), paused.sink);
  client.generate(order("r2", { body: prompt }), other.sink);
  await sleep(clock, millis(50));
  control.pause();
  await sleep(clock, millis(20));
  const held = paused.answer.events;
  assert.equal(await other.ended, "whole");
  await sleep(clock, millis(700));
  assert.equal(paused.answer.events, held);
  control.resume();
  assert.equal(await paused.ended, "whole");
  assert.equal(paused.answer.text, other.answer.text);
});

test("comment lines keep a stream alive while the engine computes", async (context) => {
  const { engine, client } = await setUp(context, {
    inactivityTimeout: 1500,
    stepTime: 3100,
  });
  const { answer, sink, ended } = createCollectingSink();
  const prompt = body({ prompt: "a", max_tokens: 1 });
  client.generate(order("r1", { body: prompt }), sink);
  assert.equal(await ended, "whole");
  assert.equal(answer.events, 1);
  assert.equal(engine.runs.length, 1);
});

const errorEvents = [
  'data: {"error":{"message":"failed"}}',
  'data: {"error": {"message": "failed"}}',
  'data: {"object":"error","message":"failed"}',
  'data: {"object": "error", "message": "failed"}',
  'event: error\ndata: {"message":"failed"}',
];

// Guards against the text of an error in the middle of a caller's answer, and against an
// answer that passes as whole after it: some engines report a failure as an event.
for (const error of errorEvents) {
  test(`an event that reports an error breaks the answer: ${JSON.stringify(error)}`, async (context) => {
    const answer = await answerWith(context, ({ response }) => {
      response.setHeader("x-request-id", "r1");
      const event = 'data: {"model":"chains@3","choices":[{"text":"a"}]}\n\n';
      response.end(`${event}${error}\n\ndata: [DONE]\n\n`);
    });
    const { end, events, text } = answer;
    assert.deepEqual([end, events, text], ["broken", 1, "a"]);
  });
}

// Guards against a gap in an answer: what followed the event in its piece was dropped.
test("an engine's event that only owners may send breaks the answer", async (context) => {
  const event = 'data: {"model":"chains@3","choices":[{"text":"a"}]}\n\n';
  const answer = await answerWith(context, ({ response }) => {
    response.setHeader("x-request-id", "r1");
    response.write(`${event}event: refusal\ndata: {}\n\n${event}`);
    setTimeout(() => response.end(`${event}data: [DONE]\n\n`), 20);
  });
  assert.deepEqual([answer.end, answer.events], ["broken", 1]);
});
