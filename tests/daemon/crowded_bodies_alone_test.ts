import assert from "node:assert/strict";
import { test } from "node:test";
import { millis, sleep } from "../../src/core/clock.ts";
import { RawConnection } from "../support/raw_connection.ts";
import { clock, useSpareNode } from "./spare_node.ts";

const path = "/services/chains/reservations";
/** Connections that send a body at the same time, and the size of each body in bytes. */
const callers = 400;
const bodyBytes = 1024 * 1024;
/** Bytes of all bodies that the node keeps by default: 64 MB, and 16 KB of each that do not count. */
const keptBodies = 64 + 7;
/** How long the bodies stay unfinished, in ms. */
const openTime = millis(3_000);

const spare = useSpareNode();

/** Sends a whole body except for its last byte. */
async function sendUnfinished(): Promise<RawConnection> {
  const connection = await RawConnection.open(spare.node.callers);
  const head = `POST ${path} HTTP/1.1\r\nHost: a\r\nContent-Length: ${bodyBytes}\r\n\r\n`;
  connection.write(`${head}${"x".repeat(bodyBytes - 1)}`);
  return connection;
}

function sendCall(body: string): Promise<Response> {
  return fetch(`http://${spare.node.callers}${path}`, { method: "POST", body });
}

// Guards against bodies that together take the memory of the process, and against an
// ordinary call that pays for them.
test("bodies beyond the total are refused as not run, the largest first, and a small call beside them is served", async () => {
  const crowd = await Promise.all(
    Array.from({ length: callers }, sendUnfinished),
  );
  await sleep(clock, openTime);
  const small = await sendCall("{}");
  assert.ok(small.status < 300, `${small.status}: ${await small.text()}`);
  for (const connection of crowd) connection.write("x");
  const isAnswered = ({ received }: RawConnection) => received.includes("{");
  for (const connection of crowd)
    await connection.waitUntil(() => isAnswered(connection));
  const refused = crowd.filter(({ received }) =>
    /^HTTP.1.1 503/.test(received),
  );
  assert.ok(
    refused.length >= callers - keptBodies,
    `${refused.length} of ${callers} refused`,
  );
  for (const { received } of refused) {
    assert.match(received, /"type":"noRoomForBody"/);
    assert.match(received, /x-outcome: not-run/);
    assert.match(received, /retry-after: 1/);
  }
  for (const connection of crowd) connection.destroy();
});

// Guards against a limit that an ordinary call meets.
test("a body of the largest size is taken in calm", async () => {
  const body = JSON.stringify({ note: "x".repeat(bodyBytes - 100) });
  const answer = await sendCall(body);
  assert.ok(answer.status < 300, `${answer.status}: ${await answer.text()}`);
});
