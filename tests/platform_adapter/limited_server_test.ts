import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { brandString, type ServerId } from "../../src/core/ids.ts";
import { createServer as describeServer } from "../gateway/gateway_values.ts";
import { NotifyingServer } from "./notifying_server.ts";
import { SocketFleet } from "./socket_fleet.ts";

/** Requests per second that the limited server takes from all nodes together. */
const limit = 5;
/** Requests that may arrive in a window: one and a half times the limit, and 5. */
const windowLength = 4_000;
const maxArrivals = (1.5 * limit * windowLength) / 1_000 + 5;
/** Time after its first answer in which a node may not have followed it yet, in ms. */
const noticeTime = 500;
/** Time for which the callers press, in ms. */
const duration = 6_500;
/** Requests per second of the callers of all nodes. */
const demand = 200;

/** Highest number of arrivals in any window, of those from `start` on. */
function findWorstWindow(arrivals: readonly number[], start: number): number {
  const counted = arrivals.filter((at) => at >= start);
  return Math.max(
    0,
    ...counted.map(
      (from) =>
        counted.filter((at) => at >= from && at < from + windowLength).length,
    ),
  );
}

for (const nodes of [1, 3]) {
  // Nothing read the limit: a server that took 1.4 requests a second got 36 in 4 s.
  test(`a server that names a limit gets no more than it allows from ${nodes} nodes together, and the callers go to another server`, async () => {
    const fleet = SocketFleet.create(nodes);
    const limited = await NotifyingServer.create();
    const other = await NotifyingServer.create();
    limited.answer = () => ({
      status: 200,
      headers: { "Server-Limit": String(limit) },
    });
    const register = ({ address }: NotifyingServer, name: string) =>
      fleet.register(
        describeServer({ id: brandString<ServerId>(name), address }),
      );
    register(limited, "s1");
    register(other, "s2");
    await sleep(1_000);
    const start = performance.now();
    const calls: Promise<string>[] = [];
    while (performance.now() < start + duration) {
      for (const node of fleet.nodes)
        calls.push(node.call().then(({ kind }) => kind));
      await sleep((1_000 * nodes) / demand);
    }
    const ends = await Promise.all(calls);
    await fleet.stop();
    for (const server of [limited, other]) server.close();
    // Every node has had an answer within the first window.
    const from = (limited.arrivals[0] as number) + noticeTime;
    const worst = findWorstWindow(limited.arrivals, from);
    assert.ok(
      worst <= maxArrivals,
      `${worst} arrivals, allowed ${maxArrivals}`,
    );
    const used = limited.countArrivals(start + 2_000, start + 6_000);
    assert.ok(used >= (0.5 * limit * windowLength) / 1_000, `${used} arrivals`);
    const answered = ends.filter((kind) => kind === "answered").length;
    assert.equal(answered, ends.length);
  });
}
