import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { setTimeout } from "node:timers/promises";
import { HttpEngineOrders } from "../../platform/engine_orders.ts";
import { HttpServerLinks } from "../../platform/server_links.ts";
import { StoreClient } from "../../platform/store_client.ts";
import { TrpcNodeLinks } from "../../src/adapters/peers/node_links.ts";
import { RealClock } from "../../src/adapters/time/real_clock.ts";
import { millis } from "../../src/core/clock.ts";
import {
  brandNumber,
  brandString,
  type FencingNumber,
  type MachineName,
  type ModelName,
} from "../../src/core/ids.ts";
import type { ServerRequestControl } from "../../src/ports/gateway.ts";
import { silentMeter } from "../../src/ports/journal.ts";
import { createServer as describeServer } from "../gateway/gateway_values.ts";
import { EndlessServer } from "./endless_server.ts";

/** Upper bound of a report, in bytes, with what the buffers of a connection hold. */
const reportBound = 12 * 1024 * 1024;
/** Maximum number of bytes that are read from it. */
const byteBound = 32 * 1024 * 1024;

const clock = RealClock.create();

afterEach(() => EndlessServer.closeAll());

/** Sends a request to the server; returns how it ended, and its control. */
function send(server: EndlessServer) {
  let bytesReceived = 0;
  let pieces = 0;
  const links = HttpServerLinks.create({ clock, meter: silentMeter });
  const target = describeServer({ address: server.address });
  let control: ServerRequestControl | undefined;
  const ended = new Promise<string>((resolve) => {
    control = links.send(
      {
        request: {
          requestId: brandString("r1"),
          method: "POST",
          host: "h.example",
          target: "/b/x",
          path: "/b/x",
          headers: ["Host", "h.example", "Goldcrestwinch-Request-Id", "r1"],
          body: new TextEncoder().encode("order"),
          demand: undefined,
          deadline: millis(2_000),
          resumeAfter: undefined,
          arrivedAt: clock.now(),
        },
        server: target,
        isRepeated: false,
        isAccepted: () => true,
        timeLeft: millis(2_000),
        adapterVersion: undefined,
        priority: undefined,
        resumeAfter: undefined,
      },
      {
        onHead: () => {},
        onBytes: (bytes) => {
          bytesReceived += bytes.length;
          pieces++;
        },
        onEnd: () => resolve("whole"),
        onFailure: ({ kind }) => resolve(kind),
      },
    );
  });
  return {
    ended,
    cancel: () => control?.cancel(),
    countBytes: () => bytesReceived,
    countPieces: () => pieces,
  };
}

async function assertClosed(
  server: EndlessServer,
  bound = byteBound,
): Promise<void> {
  assert.ok(await server.isClosedInTime(), "the connection stays open");
  assert.ok(server.bytesWritten < bound, `${server.bytesWritten} bytes`);
}

const refusal =
  "HTTP/1.1 503 Service Unavailable\r\ngoldcrestwinch-request-id: r1\r\ngoldcrestwinch-not-executed: true\r\n";

// Guards against a refusal whose body never ends: the request goes on elsewhere,
// and nobody would close the connection.
test("a refusal with an endless body counts, and its connection is closed", async () => {
  const server = await EndlessServer.open(
    `${refusal}content-length: 99999999999\r\n\r\n`,
  );
  const { ended } = send(server);
  assert.equal(await ended, "not-run");
  await assertClosed(server);
});

test("an endless head is a broken answer, and its connection is closed", async () => {
  const server = await EndlessServer.open("HTTP/1.1 200 OK\r\nx: ");
  const { ended } = send(server);
  assert.equal(await ended, "broken");
  await assertClosed(server);
});

test("endless bytes that are no answer are a broken answer, and the connection is closed", async () => {
  const server = await EndlessServer.open("");
  const { ended } = send(server);
  assert.equal(await ended, "broken");
  await assertClosed(server);
});

test("an unsealed answer with an endless body is broken, and its connection is closed", async () => {
  const server = await EndlessServer.open("HTTP/1.1 200 OK\r\n\r\n");
  const { ended } = send(server);
  assert.equal(await ended, "broken");
  await assertClosed(server);
});

test("endless interim responses end with the request's time limit", async () => {
  const interim = "HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n";
  const server = await EndlessServer.open(interim, interim);
  const { cancel } = send(server);
  void setTimeout(300).then(cancel);
  await assertClosed(server);
});

test("an endless chunk size ends with the request's time limit", async () => {
  const server = await EndlessServer.open(
    "HTTP/1.1 200 OK\r\ngoldcrestwinch-request-id: r1\r\ngoldcrestwinch-server-seal: x.1\r\ntransfer-encoding: chunked\r\n\r\n1;",
  );
  const { cancel, countBytes } = send(server);
  void setTimeout(300).then(cancel);
  // The parser skips what follows the size.
  assert.ok(await server.isClosedInTime());
  assert.equal(countBytes(), 0);
});

test("endless bytes after a complete answer close the connection and reach no other request", async () => {
  const server = await EndlessServer.open(
    "HTTP/1.1 200 OK\r\ngoldcrestwinch-request-id: r1\r\ngoldcrestwinch-server-seal: x.1\r\ncontent-length: 2\r\n\r\nok",
  );
  const { ended } = send(server);
  assert.equal(await ended, "whole");
  await assertClosed(server);
});

const sealedHead =
  "HTTP/1.1 200 OK\r\ngoldcrestwinch-request-id: r1\r\ngoldcrestwinch-server-seal: x.1\r\n";
const chunkedHead = `${sealedHead}transfer-encoding: chunked\r\n\r\n`;
const interimResponse = "HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n";

/** Bytes that the parser skips without a word, by kind: the first ones and those without end. */
const skippedBytes: Record<string, readonly [string, string]> = {
  "interim responses": [interimResponse, interimResponse.repeat(400)],
  "a reason phrase": ["HTTP/1.1 200 ", "O".repeat(16 * 1024)],
  "spaces before a value": [`${sealedHead}x:`, " ".repeat(16 * 1024)],
  "a chunk extension": [`${chunkedHead}1;`, "x".repeat(16 * 1024)],
  "a chunk size": [chunkedHead, "0".repeat(16 * 1024)],
  trailers: [`${chunkedHead}0\r\n`, "x: y\r\n".repeat(2_000)],
  "a trailer": [`${chunkedHead}0\r\nx:`, " ".repeat(16 * 1024)],
};

// Guards against bytes that the parser skips: they are read at full speed until the time limit.
for (const [kind, [head, body]] of Object.entries(skippedBytes)) {
  test(`${kind} without end are a broken answer, and the connection is closed`, async () => {
    const server = await EndlessServer.open(head, body);
    const { ended, countBytes } = send(server);
    await assertClosed(server);
    assert.equal(await ended, "broken");
    assert.equal(countBytes(), 0);
  });
}

// Guards against blank lines, which the parser skips between two answers.
test("endless blank lines after a complete answer close the connection", async () => {
  const server = await EndlessServer.open(
    `${sealedHead}content-length: 2\r\n\r\nok`,
    "\r\n".repeat(8 * 1024),
  );
  const { ended } = send(server);
  assert.equal(await ended, "whole");
  await assertClosed(server);
});

// Guards against an object on the heap for each byte of an answer.
test("chunks of a byte that arrive together are passed on together", async () => {
  const server = await EndlessServer.open(
    chunkedHead,
    "1\r\nx\r\n".repeat(3_000),
  );
  const { cancel, countBytes, countPieces } = send(server);
  await setTimeout(500);
  cancel();
  await assertClosed(server);
  assert.ok(countBytes() > 100_000, `${countBytes()} bytes`);
  const size = countBytes() / countPieces();
  assert.ok(size > 100, `${size} bytes in each piece`);
});

test("a read of the store with an endless body fails within its time limit", async () => {
  for (const head of ["HTTP/1.1 200 OK\r\n\r\n{", "HTTP/1.1 200 OK\r\nx: "]) {
    const server = await EndlessServer.open(head);
    const { address } = server;
    const store = StoreClient.create({ address, clock, meter: silentMeter });
    const result = await store.read("op");
    assert.ok(result.isLeft());
    await assertClosed(server);
  }
});

test("a call to a node with an endless answer fails as unreachable", async () => {
  for (const head of ["HTTP/1.1 200 OK\r\n\r\n{", "HTTP/1.1 200 OK\r\nx: "]) {
    const server = await EndlessServer.open(head);
    const answer = await TrpcNodeLinks.create().requestModel(server.address, {
      engine: brandString("i-1"),
      model: brandString("m0"),
      requests: 1,
    });
    assert.deepEqual(answer, { kind: "refused", reason: "unreachable" });
    await assertClosed(server);
  }
});

// Guards against reports and answers to orders that are kept up to the size of an answer to a caller.
test("an order and a status request with an endless answer fail, and their connections are closed", async () => {
  const head = "HTTP/1.1 200 OK\r\n\r\n[";
  const server = await EndlessServer.open(head, "{},".repeat(8 * 1024));
  const links = HttpServerLinks.create({ clock, meter: silentMeter });
  const engines = HttpEngineOrders.create({
    clock,
    endpointOf: (engine) => links.endpointOf(engine),
    readHead: () => {},
  });
  const engine = describeServer({ address: server.address });
  const status = await engines.fetchStatus(engine);
  assert.ok(status.isLeft());
  await assertClosed(server, reportBound);
  const order = {
    operation: "load" as const,
    model: brandString<ModelName>("m0"),
    adapter: undefined,
    version: 1,
    expectedCount: 0,
  };
  const holder = {
    machine: brandString<MachineName>("n1"),
    fence: brandNumber<FencingNumber>(1),
  };
  const answer = await engines.order(engine, order, holder);
  assert.equal(answer.kind, "lost");
});
