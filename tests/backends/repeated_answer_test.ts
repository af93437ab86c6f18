import assert from "node:assert/strict";
import { createServer, type Server, type Socket } from "node:net";
import { afterEach, test } from "node:test";
import { EngineClient } from "../../src/adapters/backends/engine_client.ts";
import { RealClock } from "../../src/adapters/time/real_clock.ts";
import { millis, sleep } from "../../src/core/clock.ts";
import {
  chains,
  createCollectingSink,
  fence,
  order,
  validUntil,
} from "./engine_orders.ts";

/** Time that the engine takes to answer, in ms. */
const runTime = 40;

const clock = RealClock.create();

type Request = { readonly connection: number; readonly head: string };
type Answer = (request: Request, socket: Socket) => void;

let server: Server | undefined;
let client: EngineClient | undefined;

afterEach(async () => {
  await client?.close();
  server?.close();
});

/** Connects to an engine that writes whatever bytes the test gives it. */
async function connectTo(answer: Answer): Promise<EngineClient> {
  let connections = 0;
  const listener = createServer((socket) => {
    const connection = connections++;
    let unread = "";
    socket.on("error", () => {});
    socket.on("data", (bytes) => {
      unread += bytes;
      const [head, rest] = unread.split("\r\n\r\n");
      // Each order ends with its JSON body.
      if (head === undefined || !rest?.endsWith("}")) return;
      unread = "";
      answer({ connection, head }, socket);
    });
  });
  server = listener;
  await new Promise<void>((resolve) =>
    listener.listen(0, "127.0.0.1", resolve),
  );
  const { port } = listener.address() as { port: number };
  client = EngineClient.create({
    origin: `http://127.0.0.1:${port}`,
    clock,
    streams: 4,
  });
  return client;
}

function readId({ head }: Request): string {
  return /x-request-id: (\S+)/.exec(head)?.[1] ?? "";
}

function answerWith(status: string, id: string, body = ""): string {
  return `HTTP/1.1 ${status}\r\nx-request-id: ${id}\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}

const event = `data: {"model":"${chains}","choices":[{"text":"a"}]}\n\n`;
const done = "data: [DONE]\n\n";

async function generate(engine: EngineClient, id: string): Promise<string> {
  const { sink, ended } = createCollectingSink();
  engine.generate(order(id), sink);
  const end = await ended;
  // The connection is free once the answer has been read.
  await sleep(clock, millis(10));
  return end;
}

// Guards against a request counting as not run while the engine runs it: the engine
// wrote the refusal of an earlier attempt of the request once more.
test("a repeated refusal of an earlier attempt of the same request does not count", async () => {
  let attempts = 0;
  const engine = await connectTo((request, socket) => {
    const id = readId(request);
    if (request.connection === 0) socket.write(answerWith("404 Missing", id));
    if (attempts++ === 0) return;
    const answer = answerWith("200 OK", id, event + done);
    setTimeout(() => socket.write(answer), runTime);
  });
  assert.equal(await generate(engine, "r1"), "adapter-missing");
  assert.equal(await generate(engine, "r1"), "whole");
});

// Guards against a load counting as refused, or as done, while the engine carries it out:
// the engine wrote the answer to an earlier order once more.
test("a repeated answer to an earlier load does not count", async () => {
  let orders = 0;
  let earlier = "";
  const engine = await connectTo((request, socket) => {
    const answer = answerWith("409 Conflict", readId(request));
    if (orders++ === 0) {
      earlier = answer;
      socket.write(answer);
      return;
    }
    socket.write(earlier);
    const loaded = answerWith("200 OK", readId(request));
    setTimeout(() => socket.write(loaded), runTime);
  });
  const load = { adapter: chains, fence, validUntil };
  const first = await engine.load(load);
  assert.equal(first.swap().unsafeCoerce().kind, "stale-fence");
  await sleep(clock, millis(10));
  const second = await engine.load(load);
  assert.equal(second.swap().unsafeCoerce().kind, "broken");
});
