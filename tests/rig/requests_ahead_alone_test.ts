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
/** Connections that send requests ahead, and requests of each. */
const callers = 60;
const requestsAhead = 4_000;
/** Requests that a caller writes at once. */
const requestsPerWrite = 1_000;
/** Connections whose heads never end, and the size of what they send. */
const halfHeads = 1_200;
const halfHeadBytes = 12 * 1_024;
/** Work of a request, and how long the connections stay open, in ms. */
const serviceTime = 2_000;
const openTime = 4_000;
const settings = { Limits: { MemoryMb: memoryLimit, MaxFds: 2_212 } };

const bareRequest = "GET /book/1 HTTP/1.1\r\nHost: a\r\n\r\n";

function createRequest(): string {
  return `GET /lookup/1 HTTP/1.1\r\nHost: desk.example\r\nGoldcrestwinch-Request-Id: ${createRequestId()}\r\nGoldcrestwinch-Deadline-Ms: 20000\r\n\r\n`;
}

async function startMachine(context: TestContext): Promise<Machine> {
  const installation = await Installation.open();
  context.after(() => installation.close());
  const serve = answerAfter(serviceTime);
  await installation.addBackend({ service: "booking", serve });
  const [machine] = await installation.addMachines(1, {
    restartDelay: undefined,
    settings,
  });
  assert.ok(machine);
  return machine;
}

/** Checks that the process lives within its memory, and answers an ordinary request. */
async function checkProcess(context: TestContext, machine: Machine) {
  await sleep(openTime);
  const answer = await sendCall({ port: machine.front, path: "/book/2" });
  const peak = Math.round(machine.peakMemory);
  context.diagnostic(`${peak} MB at the peak`);
  assert.deepEqual(machine.ends, []);
  assert.ok(peak < memoryLimit, `${peak} MB at the peak`);
  assert.equal(answer.status, 200, answer.text);
}

/** Requests that are sent ahead on one connection, by what they lack. */
const kinds = [
  { name: "without an id", first: "", next: () => bareRequest },
  {
    name: "without an id behind one that is being served",
    first: createRequest(),
    next: () => bareRequest,
  },
  { name: "to a slow service", first: "", next: createRequest },
];

for (const { name, first, next } of kinds) {
  // Guards against requests that one connection piles up while nobody reads the answers.
  test(`requests ${name}, sent ahead with their answers unread, leave the process alive and within its memory`, async (context) => {
    const machine = await startMachine(context);
    const crowd = Crowd.create(machine.front);
    context.after(() => crowd.close());
    const writes = requestsAhead / requestsPerWrite;
    await crowd.run(callers, async (socket) => {
      await push(socket, first);
      for (let at = 0; at < writes; at++) {
        const requests = Array.from({ length: requestsPerWrite }, next);
        await push(socket, requests.join(""));
      }
    });
    await checkProcess(context, machine);
  });
}

// Guards against heads that are kept until they end, and never do.
test("heads that never end leave the process alive and within its memory", async (context) => {
  const machine = await startMachine(context);
  const crowd = Crowd.create(machine.front);
  context.after(() => crowd.close());
  const head = `GET /book/1 HTTP/1.1\r\nX-Filler: ${"x".repeat(halfHeadBytes)}`;
  await crowd.run(halfHeads, (socket) => push(socket, head));
  await checkProcess(context, machine);
});
