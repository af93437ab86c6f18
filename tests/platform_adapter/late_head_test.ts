import assert from "node:assert/strict";
import { test } from "node:test";
import {
  setImmediate as nextTurn,
  setTimeout as sleep,
} from "node:timers/promises";
import { RawConnection } from "../support/raw_connection.ts";
import { standStill } from "../support/stand_still.ts";
import { answer, openFront } from "./front_gateway.ts";

const request =
  "POST /book/x HTTP/1.1\r\nHost: h.example\r\nGoldcrestwinch-Request-Id: r1\r\nContent-Length: 4\r\n\r\nbody";
const half = request.length / 2;
/** Time in ms after which the timeout of a head has been noticed: the timeout and the interval of its checks. */
const timeoutNoticed = 2_200;

/** Opens a front that has read its timeouts, and a connection with half of a request. */
async function sendHalf() {
  const opened = await openFront(answer);
  const first = await RawConnection.open(opened.port);
  first.write(request);
  await first.waitUntil(() => first.received.endsWith("ok"));
  first.destroy();
  opened.requests.length = 0;
  const caller = await RawConnection.open(opened.port);
  caller.write(request.slice(0, half));
  await sleep(100);
  return { ...opened, caller };
}

// Guards against a booking that runs although its caller got 408, which promises that it
// never will, and has booked again.
test("a request whose head arrives after its 408 is not passed on", async (context) => {
  const { front, caller, requests } = await sendHalf();
  context.after(() => front.stopAccepting());
  await caller.waitUntil(() => caller.received.includes("\r\n\r\n"));
  caller.write(request.slice(half));
  await sleep(200);
  assert.match(caller.received, /^HTTP\/1\.1 408 /);
  assert.equal(caller.received.match(/HTTP\/1\.1/g)?.length, 1);
  assert.equal(requests.length, 0);
});

// Guards against refusing requests that arrived in time, while the process stood still.
test("a request whose head arrived while the process stood still is served", async (context) => {
  const { front, caller, requests } = await sendHalf();
  context.after(() => front.stopAccepting());
  // At the end of a turn; in the next one, timers that are due come before what can be read.
  await nextTurn();
  caller.write(request.slice(half));
  standStill(timeoutNoticed);
  await caller.waitUntil(() => caller.received.endsWith("ok"));
  assert.match(caller.received, /^HTTP\/1\.1 200 /);
  assert.equal(requests.length, 1);
});
