import assert from "node:assert/strict";
import { test } from "node:test";
import { answerAfter } from "./backend.ts";
import { createRequestId, sendCall } from "./caller.ts";
import { Crowd, push } from "./crowd.ts";
import { configuration, Installation } from "./installation.ts";

/** Memory of the machine, in MB; it holds 12 MB for callers. */
const memoryLimit = 160;
/** Connections that send a body without a key, and the size of each body in bytes. */
const callers = 40;
const bodyBytes = 1024 * 1024;
const key = "secret-north-1";

const head = () =>
  `POST /book/1 HTTP/1.1\r\nHost: desk.example\r\nGoldcrestwinch-Request-Id: ${createRequestId()}\r\nGoldcrestwinch-Deadline-Ms: 20000\r\nContent-Length: ${bodyBytes}\r\n\r\n`;

// Guards against callers without a key whose bodies take the memory of those with one.
test("bodies of callers without a key are not kept, and each is answered as not authorised", async (context) => {
  const installation = await Installation.open({
    ...configuration,
    Tenants: [{ Name: "north", ApiKeys: [key] }],
  });
  context.after(() => installation.close());
  await installation.addBackend({ service: "booking", serve: answerAfter(10) });
  const [machine] = await installation.addMachines(1, {
    restartDelay: undefined,
    settings: { Limits: { MemoryMb: memoryLimit, MaxFds: 2_212 } },
  });
  assert.ok(machine);
  const crowd = Crowd.create(machine.front);
  context.after(() => crowd.close());
  const statuses: Promise<string>[] = [];
  await crowd.run(callers, async (socket) => {
    statuses.push(
      new Promise((resolve) =>
        socket.once("data", (bytes) => resolve(bytes.toString().slice(9, 12))),
      ),
    );
    socket.resume();
    await push(socket, head());
    await push(socket, "x".repeat(bodyBytes - 1));
  });
  const headers = { "api-key": key };
  const body = "b".repeat(bodyBytes);
  const served = await sendCall({
    ...{ port: machine.front, path: "/book/2", headers, body },
  });
  assert.equal(served.status, 200, served.text);
  await crowd.pushAll("x");
  const rejected = Array.from({ length: callers }, () => "401");
  assert.deepEqual(await Promise.all(statuses), rejected);
  assert.deepEqual(machine.ends, []);
});
