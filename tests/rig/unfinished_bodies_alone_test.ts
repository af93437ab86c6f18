import assert from "node:assert/strict";
import { type TestContext, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { answerAfter } from "./backend.ts";
import { createRequestId, sendCall } from "./caller.ts";
import { Crowd, push } from "./crowd.ts";
import { Installation } from "./installation.ts";
import type { Machine } from "./machine.ts";

/** Memory of the machine, in MB. */
const memoryLimit = 160;
/** Connections with bodies in chunks of one byte, and chunks of each. */
const smallChunkCallers = 40;
const smallChunks = 120_000;
/** Chunks that a caller writes at once. */
const chunksPerWrite = 10_000;
/** Connections with bodies of 1 MB in large chunks. */
const largeChunkCallers = 400;
const largeChunk = "x".repeat(64 * 1_024);
const largeChunks = 16;
/** How long the bodies stay open, in ms. */
const openTime = 3_000;

/** Head of a request whose body comes in chunks. */
function createHead(): string {
  return `POST /book/1 HTTP/1.1\r\nHost: desk.example\r\nGoldcrestwinch-Request-Id: ${createRequestId()}\r\nGoldcrestwinch-Deadline-Ms: 20000\r\nTransfer-Encoding: chunked\r\n\r\n`;
}

function frameChunk(content: string): string {
  return `${content.length.toString(16)}\r\n${content}\r\n`;
}

async function startMachine(context: TestContext): Promise<Machine> {
  const installation = await Installation.open();
  context.after(() => installation.close());
  await installation.addBackend({ service: "booking", serve: answerAfter(10) });
  const [machine] = await installation.addMachines(1, {
    restartDelay: undefined,
    settings: { Limits: { MemoryMb: memoryLimit, MaxFds: 2_212 } },
  });
  assert.ok(machine);
  return machine;
}

/** Sends bodies that stop short of their end, and an ordinary request behind them. */
async function sendUnfinished(
  context: TestContext,
  body: { callers: number; part: string; parts: number },
): Promise<void> {
  const machine = await startMachine(context);
  const crowd = Crowd.create(machine.front);
  context.after(() => crowd.close());
  const before = Math.round(machine.memory);
  await crowd.run(body.callers, async (socket) => {
    await push(socket, createHead());
    for (let at = 0; at < body.parts; at++) await push(socket, body.part);
  });
  await sleep(openTime);
  const answer = await sendCall({ port: machine.front, path: "/book/2" });
  const peak = Math.round(machine.peakMemory);
  context.diagnostic(`memory ${before} MB, ${peak} MB at the peak`);
  assert.deepEqual(machine.ends, []);
  assert.ok(peak < memoryLimit, `${peak} MB at the peak`);
  assert.equal(answer.status, 200, answer.text);
}

// Guards against chunks that cost many times the bytes that they bring, and end the process.
test("bodies in chunks of one byte that stop short of their end leave the process alive and within its memory", async (context) => {
  await sendUnfinished(context, {
    callers: smallChunkCallers,
    part: frameChunk("x").repeat(chunksPerWrite),
    parts: smallChunks / chunksPerWrite,
  });
});

// Guards against bodies that together take more than the memory of a small machine.
test("bodies of 1 MB that stop short of their end leave the process alive and within its memory", async (context) => {
  await sendUnfinished(context, {
    callers: largeChunkCallers,
    part: frameChunk(largeChunk),
    parts: largeChunks,
  });
});

// Guards against a limit on strangers that an ordinary request meets.
test("a body of the largest size and one in many small chunks are served in calm on a small machine", async (context) => {
  const machine = await startMachine(context);
  const body = "b".repeat(4 * 1024 * 1024);
  const large = await sendCall({ port: machine.front, path: "/book/1", body });
  assert.equal(large.status, 200, large.text);
  const crowd = Crowd.create(machine.front);
  context.after(() => crowd.close());
  let received = "";
  await crowd.run(1, async (socket) => {
    socket.on("data", (bytes) => {
      received += bytes;
    });
    socket.resume();
    await push(socket, createHead());
    await push(socket, frameChunk("x").repeat(smallChunks));
    await push(socket, "0\r\n\r\n");
    await sleep(openTime);
  });
  assert.match(received, /^HTTP\/1\.1 200 /);
});
