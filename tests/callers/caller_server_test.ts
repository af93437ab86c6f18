import assert from "node:assert/strict";
import { once } from "node:events";
import { request as httpRequest, type Server } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { after, before, test } from "node:test";
import { Right } from "purify-ts";
import { createCallerServer } from "../../src/adapters/callers/caller_server.ts";
import { InFlightLimiter } from "../../src/adapters/callers/in_flight_limiter.ts";
import { RealClock } from "../../src/adapters/time/real_clock.ts";
import { brandString } from "../../src/core/ids.ts";
import { refuse } from "../../src/core/results/refusal.ts";
import type { AnswerSink } from "../../src/ports/access.ts";
import type {
  DraftInput,
  FrontEndPort,
  ServiceInput,
} from "../../src/ports/front_end.ts";
import { silentMeter } from "../../src/ports/journal.ts";

type Draft = { input: DraftInput; sink: AnswerSink; events: string[] };

const drafts: Draft[] = [];
const calls: ServiceInput[] = [];

const front: FrontEndPort = {
  openDraft(input, sink) {
    const draft: Draft = { input, sink, events: [] };
    drafts.push(draft);
    if (input.model === "unknown") {
      sink.onRefusal(
        refuse("unknownAdapter", 'Adapter "unknown" is not known'),
      );
    } else if (input.model !== "held") {
      sink.onChunk(Buffer.from(formatChunk("Hel")), 1);
      sink.onChunk(Buffer.from(formatChunk("lo")), 1);
      if (input.model === "broken") {
        sink.onRefusal(refuse("engineLost", "The engine stopped"));
      } else sink.onEnd();
    }
    return {
      cancel: () => draft.events.push("cancel"),
      pause: () => draft.events.push("pause"),
      resume: () => draft.events.push("resume"),
    };
  },
  callService(input) {
    calls.push(input);
    return Promise.resolve(
      Right({
        status: 201,
        contentType: "application/json",
        body: Buffer.from('{"reserved":true}'),
        outcome: "ran",
        replayed: false,
      }),
    );
  },
  listModels: () => [brandString("fitting@3")],
  checkReadiness: () => refuse("notReady", "The node has no configuration yet"),
};

function formatChunk(text: string): string {
  return `data: {"model":"fitting@3","choices":[{"delta":{"content":"${text}"}}]}\n\n`;
}

let server: Server;
let origin: string;

before(async () => {
  server = createCallerServer({
    front,
    clock: RealClock.create(),
    meter: silentMeter,
    limits: InFlightLimiter.create({ inFlight: 3, inFlightPerCaller: 2 }),
    readMetrics: async () => "metric 1\n",
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  origin = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
});

after(() => {
  server.closeAllConnections();
  server.close();
});

function postChat(body: unknown, headers: Record<string, string> = {}) {
  return fetch(`${origin}/v1/chat/completions`, {
    method: "POST",
    body: typeof body === "string" ? body : JSON.stringify(body),
    headers,
  });
}

const messages = [{ role: "user", content: "Which chain fits?" }];

test("a streamed draft ends with the [DONE] event", async () => {
  const answer = await postChat({ model: "fitting", stream: true, messages });
  assert.equal(answer.status, 200);
  assert.equal(answer.headers.get("content-type"), "text/event-stream");
  const text = await answer.text();
  assert.equal(
    text,
    `${formatChunk("Hel")}${formatChunk("lo")}data: [DONE]\n\n`,
  );
});

test("a draft without streaming is returned as one object", async () => {
  const answer = await postChat({ model: "fitting", messages });
  const body = (await answer.json()) as {
    choices: { message: { content: string } }[];
  };
  assert.equal(body.choices[0]?.message.content, "Hello");
});

test("an interrupted answer ends with an error instead of [DONE], so that it does not pass as whole", async () => {
  const answer = await postChat({ model: "broken", stream: true, messages });
  const text = await answer.text();
  assert.match(text, /"code":3003/);
  assert.doesNotMatch(text, /\[DONE\]/);
  const collected = await postChat({ model: "broken", messages });
  assert.equal(collected.status, 502);
});

test("a refusal carries number, outcome and remedy", async () => {
  const answer = await postChat(
    { model: "unknown", messages },
    { "x-request-id": "r-1" },
  );
  assert.equal(answer.status, 404);
  assert.equal(answer.headers.get("x-outcome"), "not-run");
  const { error } = (await answer.json()) as {
    error: Record<string, unknown>;
  };
  assert.equal(error.code, 1002);
  assert.equal(error.outcome, "not-run");
  assert.equal(error.request_id, "r-1");
  assert.ok(error.remedy);
});

const badInputs: {
  name: string;
  body: unknown;
  headers?: Record<string, string>;
  code: number;
  messagePattern: string;
}[] = [
  { name: "malformed JSON", body: "{", code: 1001, messagePattern: "JSON" },
  {
    name: "a missing field",
    body: { model: "x" },
    code: 1001,
    messagePattern: "messages",
  },
  {
    name: "a wrong type",
    body: { model: 7, messages },
    code: 1001,
    messagePattern: "model",
  },
  {
    name: "a bad priority",
    body: { model: "x", messages },
    headers: { "x-priority": "now" },
    code: 1007,
    messagePattern: "x-priority",
  },
  {
    name: "a bad deadline",
    body: { model: "x", messages },
    headers: { "x-deadline-ms": "-5" },
    code: 1007,
    messagePattern: "x-deadline-ms",
  },
  {
    name: "an oversized body",
    body: { model: "x", messages, extra: "x".repeat(1024 * 1024) },
    code: 1004,
    messagePattern: "bytes",
  },
];

for (const { name, body, headers, code, messagePattern } of badInputs) {
  test(`${name} is refused as not-run with the cause in the message`, async () => {
    const opened = drafts.length;
    const answer = await postChat(body, headers);
    const { error } = (await answer.json()) as {
      error: { code: number; message: string; outcome: string };
    };
    assert.equal(error.code, code);
    assert.equal(error.outcome, "not-run");
    assert.match(error.message, new RegExp(messagePattern));
    assert.equal(drafts.length, opened, "no draft was opened at the node");
  });
}

test("a caller that disconnects cancels its draft and frees its place among the calls in flight", async () => {
  const held: ReturnType<typeof httpRequest>[] = [];
  for (let count = 0; count < 2; count++) {
    const request = httpRequest(`${origin}/v1/completions`, { method: "POST" });
    request.on("error", () => {});
    request.end(JSON.stringify({ model: "held", prompt: "x", stream: true }));
    held.push(request);
  }
  await waitFor(
    () => drafts.filter((draft) => draft.input.model === "held").length === 2,
  );
  const refused = await postChat({ model: "fitting", messages });
  assert.equal(refused.status, 429);
  assert.equal(refused.headers.get("retry-after"), "1");
  for (const request of held) request.destroy();
  const open = drafts.filter((draft) => draft.input.model === "held");
  await waitFor(() => open.every((draft) => draft.events.includes("cancel")));
  const served = await postChat({ model: "fitting", messages });
  assert.equal(served.status, 200);
});

// Guards against: a draft sent ahead behind another one runs on, and holds its place for ever, once the caller has left.
test("a caller that disconnects cancels the drafts that it sent ahead on the connection", async () => {
  const opened = drafts.length;
  const socket = connect(Number(new URL(origin).port), "127.0.0.1");
  const body = JSON.stringify({ model: "held", prompt: "x", stream: true });
  const draft = `POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
  socket.write(draft + draft);
  await waitFor(() => drafts.length === opened + 2);
  socket.destroy();
  await waitFor(() =>
    drafts.slice(opened).every((draft) => draft.events.includes("cancel")),
  );
  const served = await postChat({ model: "fitting", messages });
  assert.equal(served.status, 200);
});

test("a slow reader pauses only its own draft", async () => {
  const socket = connect(Number(new URL(origin).port), "127.0.0.1");
  const body = JSON.stringify({ model: "held", prompt: "slow", stream: true });
  socket.write(
    `POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
  );
  socket.pause();
  await waitFor(
    () =>
      drafts.at(-1)?.input.model === "held" &&
      drafts.at(-1)?.events.length === 0,
  );
  const slow = drafts.at(-1) as Draft;
  const chunk = Buffer.from(formatChunk("x".repeat(60_000)));
  for (let count = 0; count < 200; count++) slow.sink.onChunk(chunk, 1);
  assert.ok(slow.events.includes("pause"));
  const other = await postChat({ model: "fitting", messages });
  assert.equal(other.status, 200);
  await other.text();
  socket.resume();
  await waitFor(() => slow.events.includes("resume"));
  socket.destroy();
});

test("a booking call is forwarded with its key and its answer is returned", async () => {
  const answer = await fetch(`${origin}/services/chains/reservations?depot=7`, {
    method: "POST",
    body: '{"set":"a"}',
    headers: { "idempotency-key": "k-1", "x-customer": "firm-1" },
  });
  assert.equal(answer.status, 201);
  assert.equal(answer.headers.get("x-outcome"), "ran");
  const call = calls.at(-1);
  assert.equal(call?.service, "chains");
  assert.equal(call?.path, "/reservations?depot=7");
  assert.equal(call?.idempotencyKey, "k-1");
  assert.equal(call?.customer, "firm-1");
});

test("the paths for health, readiness, model list and metrics answer", async () => {
  assert.equal((await fetch(`${origin}/healthz`)).status, 200);
  assert.equal((await fetch(`${origin}/readyz`)).status, 503);
  assert.equal((await fetch(`${origin}/nothing`)).status, 404);
  assert.equal(await (await fetch(`${origin}/metrics`)).text(), "metric 1\n");
  const models = (await (await fetch(`${origin}/v1/models`)).json()) as {
    data: { id: string }[];
  };
  assert.deepEqual(
    models.data.map((model) => model.id),
    ["fitting@3"],
  );
});

async function waitFor(condition: () => boolean): Promise<void> {
  const end = Date.now() + 5_000;
  while (!condition()) {
    assert.ok(Date.now() < end, "condition not met within 5 s");
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}
