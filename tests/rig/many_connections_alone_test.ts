import assert from "node:assert/strict";
import { type TestContext, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { answerAfter } from "./backend.ts";
import { createRequestId, sendCall } from "./caller.ts";
import { Crowd, push, watchPeak } from "./crowd.ts";
import { Installation } from "./installation.ts";

/** Descriptors of the machine, and those of them that are not for sockets. */
const maxDescriptors = 700;
const fileDescriptors = 200;
/** Descriptors that servers, the store and other nodes need at least. */
const otherSockets = 100;
/** Connections of the crowd; every fourth one leaves early. */
const connections = 1_200;
const settings = { Limits: { MemoryMb: 350, MaxFds: maxDescriptors } };

/** What a connection of the crowd sends, by its position. */
const openings = [
  "",
  "GET /book/1 HTTP/1.1\r\nHost: ",
  `POST /book/1 HTTP/1.1\r\nHost: desk.example\r\nGoldcrestwinch-Request-Id: ID\r\nContent-Length: 9\r\n\r\nx`,
  "GET /nowhere HTTP/1.1\r\nHost: desk.example\r\nGoldcrestwinch-Request-Id: ID\r\n\r\n",
];

async function openMany(context: TestContext, opening?: string) {
  const installation = await Installation.open();
  context.after(() => installation.close());
  await installation.addBackend({ service: "booking", serve: answerAfter(10) });
  const [machine] = await installation.addMachines(1, {
    restartDelay: undefined,
    settings,
  });
  assert.ok(machine);
  const crowd = Crowd.create(machine.front);
  context.after(() => crowd.close());
  const peak = await watchPeak(
    () => machine.descriptors,
    async () => {
      await crowd.run(connections, async (socket, position) => {
        const text = opening ?? openings[position % openings.length] ?? "";
        await push(socket, text.replace("ID", createRequestId()));
        if (position % 4 === 0) socket.destroy();
      });
      await sleep(500);
    },
  );
  const answer = await sendCall({ port: machine.front, path: "/book/2" });
  context.diagnostic(`${peak} descriptors at the peak`);
  assert.deepEqual(machine.ends, []);
  const bound = maxDescriptors - fileDescriptors - otherSockets;
  assert.ok(peak < bound, `${peak} descriptors at the peak`);
  assert.equal(answer.status, 200, answer.text);
}

// Guards against connections of callers that take the descriptors which servers and other nodes need.
test("very many connections at once, part of which leave early, leave descriptors free and an ordinary request is served", (context) =>
  openMany(context));

// Guards against connections with bodies that have stopped, which keep ordinary callers out.
test("very many connections with bodies that stop leave descriptors free and an ordinary request is served", (context) =>
  openMany(context, openings[2]));
