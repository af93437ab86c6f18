import assert from "node:assert/strict";
import { test } from "node:test";
import { VirtualClock } from "../../src/adapters/time/virtual_clock.ts";
import { millis } from "../../src/core/clock.ts";
import { CallReports } from "../../src/node/gateway/servers/call_reports.ts";
import { createServer } from "./paced_servers.ts";

const server = createServer("p1");

function createReports() {
  const clock = VirtualClock.create();
  const sentAt: number[] = [];
  const send = () => sentAt.push(clock.now());
  return { clock, sentAt, reports: CallReports.create({ clock, send }) };
}

test("the start and the end of a single call are reported at once", async () => {
  const { clock, sentAt, reports } = createReports();
  reports.report(server);
  await clock.advance(millis(20));
  reports.report(server);
  await clock.advance(millis(200));
  assert.deepEqual(sentAt, [0, 20]);
});

// Load: 1,000 changes a second at one server. Guards against a datagram for each, and
// against a last change that is never reported.
test("many calls are reported at a limited rate, the last change included", async () => {
  const { clock, sentAt, reports } = createReports();
  for (let change = 0; change < 1_000; change++) {
    reports.report(server);
    await clock.advance(millis(1));
  }
  await clock.advance(millis(200));
  assert.ok(sentAt.length <= 52, `${sentAt.length} reports`);
  assert.ok((sentAt.at(-1) ?? 0) >= 999);
});

test("nothing is reported of a server that is gone, or after the stop", async () => {
  const { clock, sentAt, reports } = createReports();
  for (let change = 0; change < 5; change++) reports.report(server);
  reports.forget(server.id);
  await clock.advance(millis(200));
  assert.equal(sentAt.length, 2);
  for (let change = 0; change < 5; change++) reports.report(server);
  reports.stop();
  await clock.advance(millis(200));
  assert.equal(sentAt.length, 4);
});
