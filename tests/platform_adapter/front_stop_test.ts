import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { test } from "node:test";
import { RawConnection } from "../support/raw_connection.ts";
import {
  answer,
  exchangeRaw,
  head,
  id,
  openFront as open,
  request,
  type Served,
} from "./front_gateway.ts";

test("a stopping front server waits for answers that have started", async () => {
  const { front, port } = await open(stream);
  const caller = await RawConnection.open(port);
  caller.write(request);
  await caller.waitUntil(() => caller.received.includes("id: 1"));
  const startedAt = performance.now();
  await front.stopAccepting();
  assert.ok(performance.now() - startedAt > 100);
  await caller.closed;
  assert.match(caller.received, /\r\n0\r\n\r\n$/);
});

test("a stopping front server closes connections after their answer and accepts no new ones", async () => {
  const { front, port } = await open(answer);
  front.startClosing();
  const received = await exchangeRaw(
    port,
    `${head}${id}Content-Length: 0\r\n\r\n`,
  );
  assert.match(received, /connection: close/i);
  void front.stopAccepting();
  assert.equal(await exchangeRaw(port, `${head}${id}\r\n`), "");
});

/** Serves each request as a stream that ends after 200 ms. */
function stream({ sink }: Served): void {
  sink.start({ status: 200, headers: [] });
  sink.write(new TextEncoder().encode("id: 1\n\n"));
  setTimeout(() => sink.end(), 200);
}

// Guards against a request that is taken long after the stop began, on a connection whose
// earlier answer could not announce its end.
test("a connection ends with the answer that began before the stop", async () => {
  const { front, port, requests } = await open(stream);
  const caller = await RawConnection.open(port);
  caller.write(request);
  await caller.waitUntil(() => caller.received.includes("id: 1"));
  front.startClosing();
  await caller.waitUntil(() => caller.countEnds() === 1);
  caller.write(request);
  await caller.closed;
  assert.equal(caller.countEnds(), 1);
  assert.equal(requests.length, 1);
  void front.stopAccepting();
});

// Guards against cutting off a request that was taken behind another one before the stop.
test("a connection ends with the last of the requests taken before the stop", async () => {
  const { front, port, requests } = await open(stream);
  const caller = await RawConnection.open(port);
  caller.write(request + request);
  await caller.waitUntil(() => caller.received.includes("id: 1"));
  assert.equal(requests.length, 2);
  front.startClosing();
  await caller.closed;
  assert.equal(caller.countEnds(), 2);
  void front.stopAccepting();
});

// Guards against an answer that is awaited when the stop begins and keeps its connection open.
test("a request that waits when the stop begins is answered with Connection: close", async () => {
  const waiting: Served[] = [];
  const { front, port } = await open((served) => waiting.push(served));
  const caller = await RawConnection.open(port);
  caller.write(request);
  while (waiting.length === 0)
    await new Promise((resolve) => setTimeout(resolve, 5));
  front.startClosing();
  answer(waiting[0] as Served);
  await caller.closed;
  assert.match(caller.received, /connection: close/i);
  void front.stopAccepting();
});

// Guards against a request whose body is still awaited being cut off by the exit without an answer.
test("a request whose body has not arrived is refused as not run before the exit", async () => {
  const { front, port, requests } = await open(answer);
  const caller = await RawConnection.open(port);
  caller.write(`${head}${id}Content-Length: 4\r\n\r\nbo`);
  await new Promise((resolve) => setTimeout(resolve, 50));
  front.startClosing();
  front.refuseUnread();
  caller.write("dy");
  await caller.closed;
  assert.match(caller.received, /^HTTP\/1\.1 503 /);
  assert.match(caller.received, /"outcome":"not-run"/);
  assert.equal(requests.length, 0);
  void front.stopAccepting();
});

// Guards against a stop that waits for connections on which no request ever arrives, and
// against requests that arrive on them late in the stop.
test("a connection without a request is closed with the listener", async () => {
  const { front, port } = await open(answer);
  const caller = await RawConnection.open(port);
  await new Promise((resolve) => setTimeout(resolve, 20));
  front.startClosing();
  await front.stopAccepting();
  await caller.closed;
});

/** Size of an answer that does not fit into the buffers of a connection, in bytes. */
const largeSize = 8 * 1024 * 1024;

// Guards against destroying a connection whose answer has ended but is not written yet.
test("a slow reader receives a large answer whole during a stop", async () => {
  const { front, port, requests } = await open(({ sink }) => {
    const length = String(largeSize);
    sink.start({ status: 200, headers: ["Content-Length", length] });
    sink.write(new Uint8Array(largeSize));
    sink.end();
  });
  const socket = connect(port, "127.0.0.1");
  socket.write(request);
  while (requests.length === 0)
    await new Promise((resolve) => setTimeout(resolve, 5));
  front.startClosing();
  const stopped = front.stopAccepting();
  await new Promise((resolve) => setTimeout(resolve, 200));
  let received = 0;
  socket.on("data", (chunk) => {
    received += chunk.length;
  });
  await Promise.all([stopped, once(socket, "close")]);
  assert.ok(received >= largeSize, `received ${received} bytes`);
});

// Guards against a request that was read and gets no answer until its connection closes.
test("a request sent ahead behind an answer that began before the stop is refused as not run", async () => {
  const { front, port, requests } = await open(stream);
  const caller = await RawConnection.open(port);
  caller.write(request);
  await caller.waitUntil(() => caller.received.includes("id: 1"));
  front.startClosing();
  caller.write(request);
  await caller.closed;
  assert.equal(requests.length, 1);
  assert.match(caller.received, /0\r\n\r\nHTTP\/1\.1 503 /);
  assert.match(caller.received, /"outcome":"not-run"/);
  void front.stopAccepting();
});
