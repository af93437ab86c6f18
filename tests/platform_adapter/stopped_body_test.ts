import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, test } from "node:test";
import { decodeHead } from "../../platform/request.ts";
import { RequestBodies } from "../../platform/request_bodies.ts";
import { ConnectionCloser } from "../../src/adapters/http/connection_closer.ts";
import { VirtualClock } from "../../src/adapters/time/virtual_clock.ts";
import { millis } from "../../src/core/clock.ts";
import { ByteBudget } from "../../src/core/gateway/byte_budget.ts";
import { silentMeter } from "../../src/ports/journal.ts";
import { RawConnection } from "../support/raw_connection.ts";
import { waitUntil } from "../support/wait.ts";

const stallLimit = millis(18_000);

let clock: VirtualClock;
let server: Server;
let bodies: RequestBodies;
let caller: RawConnection;
let arrived: string[];
/** Bytes of the body that the server has read. */
let receivedBytes: number;

beforeEach(async () => {
  clock = VirtualClock.create();
  arrived = [];
  receivedBytes = 0;
  server = createServer((message, response) => {
    closer.admit(message, response);
    const head = decodeHead(message, clock.now()).unsafeCoerce();
    bodies.read({ message, response, head, maxBytes: 1_000 }, (body) => {
      arrived.push(body.toString());
      response.end("ok");
    });
    message.on("data", (chunk) => {
      receivedBytes += chunk.length;
    });
  });
  const closer = ConnectionCloser.create(server);
  bodies = RequestBodies.create({
    closer,
    clock,
    meter: silentMeter,
    held: ByteBudget.create(1_000_000),
    findStallLimit: () => stallLimit,
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  caller = await RawConnection.open((server.address() as AddressInfo).port);
  const received = once(server, "request");
  caller.write(
    "POST / HTTP/1.1\r\nHost: h\r\nGoldcrestwinch-Request-Id: r1\r\nContent-Length: 3\r\n\r\na",
  );
  await received;
  await waitUntil(() => receivedBytes === 1);
});

afterEach(() => {
  caller.destroy();
  server.close();
});

/** Writes a byte of the body and resolves once it has arrived. */
async function continueBody(): Promise<void> {
  const before = receivedBytes;
  caller.write("b");
  await waitUntil(() => receivedBytes > before);
}

// Guards against bodies that stop short of their end and keep their connections for good.
test("a body without progress is refused with 408 as not run, and its connection closed", async () => {
  await clock.advance(millis(stallLimit - 1_000));
  assert.equal(caller.received, "");
  await clock.advance(millis(2_000));
  await caller.closed;
  assert.match(caller.received, /^HTTP\/1\.1 408 /);
  assert.match(caller.received, /"code":1006.*"outcome":"not-run"/);
  assert.deepEqual(arrived, []);
});

// Guards against a slow caller within the limits that is taken for one that has stopped.
test("a body that comes slowly is taken whole", async () => {
  for (let part = 0; part < 2; part++) {
    await clock.advance(millis(stallLimit - 2_000));
    await continueBody();
  }
  await caller.waitUntil(() => caller.received.endsWith("ok"));
  assert.deepEqual(arrived, ["abb"]);
});

// Guards against a stopped body that costs its caller the promise that the request has not run.
test("a body that has stopped makes room with 503 as not run, and not before", async () => {
  assert.equal(bodies.refuseStopped(millis(1_000)), false);
  await clock.advance(millis(1_500));
  assert.equal(bodies.refuseStopped(millis(1_000)), true);
  await caller.closed;
  assert.match(caller.received, /^HTTP\/1\.1 503 /);
  assert.match(caller.received, /"code":2013.*"outcome":"not-run"/);
  assert.match(caller.received, /\r\nRetry-After: /);
});
