import assert from "node:assert/strict";
import { test } from "node:test";
import {
  decodeNodeMessage,
  encodeNodeMessage,
} from "../../src/adapters/peers/node_message_codec.ts";
import { millis } from "../../src/core/clock.ts";
import {
  createRateAllocation,
  takeFromAllocation,
} from "../../src/core/gateway/rate_allocation.ts";
import {
  boundLimit,
  parseRequestLimit,
} from "../../src/core/gateway/request_limit.ts";
import {
  createServerLimits,
  findDenialEnd,
  findLimit,
  planReturn,
  recordDenial,
  recordLimit,
} from "../../src/core/gateway/server_limits.ts";
import { brandString, type ServerId } from "../../src/core/ids.ts";
import type { LimitMessage } from "../../src/ports/permits.ts";
import { createBookingFixture } from "./gateway_setups.ts";
import { createServer } from "./gateway_values.ts";

const server = { id: brandString<ServerId>("s1"), born: 1 };

const rates: Record<string, number | undefined> = {
  "1.4": 1.4,
  " 12 ": 12,
  "2e1": 20,
  "0": 0.1,
  "0.001": 0.1,
  "-3": undefined,
  inf: undefined,
  "1e309": undefined,
  "1e9": undefined,
  NaN: undefined,
  "": undefined,
  "3 a second": undefined,
  "1,4": undefined,
};

for (const [text, rate] of Object.entries(rates)) {
  test(`a limit of "${text}" is kept as ${rate}`, () => {
    assert.equal(boundLimit(parseRequestLimit(text)), rate);
  });
}

// An answer that was on its way longer replaced what had been learned since.
test("older news of a limit does not replace newer news, and its end only ends the limit of one start", () => {
  const limits = createServerLimits();
  const observed = { rate: 5, observedAt: millis(100) };
  assert.ok(recordLimit(limits, server, observed));
  assert.ok(!recordLimit(limits, server, { rate: 9, observedAt: millis(90) }));
  assert.equal(findLimit(limits, server)?.rate, 5);
  assert.ok(recordLimit(limits, server, { rate: 2, observedAt: millis(110) }));
  assert.equal(findLimit(limits, { ...server, born: 2 }), undefined);
  const ended = { rate: undefined, observedAt: millis(120) };
  assert.ok(!recordLimit(limits, { ...server, born: 2 }, ended));
  assert.equal(findLimit(limits, server)?.rate, 2);
  assert.ok(recordLimit(limits, server, ended));
  assert.equal(findLimit(limits, server), undefined);
  assert.ok(!recordLimit(limits, server, { rate: 4, observedAt: millis(115) }));
});

test("a denial ends with the limit", () => {
  const limits = createServerLimits();
  recordLimit(limits, server, { rate: 5, observedAt: millis(0) });
  recordDenial(limits, server, millis(900));
  assert.equal(findDenialEnd(limits, server, millis(100)), 900);
  recordLimit(limits, server, { rate: undefined, observedAt: millis(200) });
  assert.equal(findDenialEnd(limits, server, millis(300)), undefined);
});

// All refused callers were told the time of the one next request.
test("refused callers return one after another, at the rate of the node's part of the limit", () => {
  const limits = createServerLimits();
  recordLimit(limits, server, { rate: 2, observedAt: millis(0) });
  recordDenial(limits, server, millis(400));
  const options = { now: millis(100), nodes: 4 };
  const times = [1, 2, 3].map(() => planReturn(limits, server, options));
  assert.deepEqual(times, [400, 2_400, 4_400]);
  for (let i = 0; i < 100; i++) planReturn(limits, server, options);
  assert.equal(planReturn(limits, server, options), 30_100);
});

test("an allocation lends what a short wait brings and follows a limit that falls", () => {
  const allocation = createRateAllocation(millis(0));
  const take = (now: number, rate: number, patience: number) =>
    takeFromAllocation(
      allocation,
      { rate, patience: millis(patience) },
      millis(now),
    );
  assert.deepEqual(take(0, 10, 60), { kind: "denied", retryIn: 50 });
  assert.deepEqual(take(50, 10, 60), { kind: "granted", inMs: 50 });
  assert.deepEqual(take(100, 10, 60), { kind: "denied", retryIn: 50 });
  assert.deepEqual(take(100, 1, 60), { kind: "denied", retryIn: 940 });
  assert.equal(take(60_000, 1, 0).kind, "granted");
  assert.equal(take(60_000, 1, 0).kind, "granted");
  assert.equal(take(60_000, 1, 0).kind, "denied");
});

for (const rate of [1.4, undefined]) {
  test(`the news of a limit of ${rate} survives its encoding`, () => {
    const message: LimitMessage = {
      type: "limit",
      from: brandString("n1"),
      server,
      rate,
      age: millis(12),
    };
    const [frame] = encodeNodeMessage(message) as [Buffer];
    assert.deepEqual(decodeNodeMessage(frame), message);
  });
}

// The request had been assigned to the server before the answer that named the limit.
test("a request that waits for a connection without a permit is not written once its server names a limit", async () => {
  const fixture = await createBookingFixture();
  fixture.open();
  await fixture.advance(1);
  const { order } = fixture.lastAttempt();
  assert.ok(order.isAccepted());
  fixture.notify(order.server, { kind: "limit", value: "3" });
  assert.ok(!order.isAccepted());
});

test("a node follows the limit that another node was told, until an answer to a later request names none", async () => {
  const fixture = await createBookingFixture();
  const limited = createServer({});
  const { id, born } = limited;
  fixture.receive({
    type: "limit",
    from: brandString("n2"),
    server: { id, born },
    rate: 1,
    age: millis(0),
  });
  const sendMany = async () => {
    const before = fixture.attempts.length;
    for (let i = 0; i < 20; i++) fixture.open();
    await fixture.advance(10);
    const attempts = fixture.attempts.slice(before);
    return attempts.filter((attempt) => attempt.server === id).length;
  };
  assert.ok((await sendMany()) <= 1);
  const sentAt = fixture.clock.now();
  fixture.notify(limited, { kind: "no-limit", sentAt: millis(sentAt - 100) });
  assert.ok((await sendMany()) <= 1);
  fixture.notify(limited, { kind: "no-limit", sentAt });
  assert.ok((await sendMany()) > 1);
});
