import assert from "node:assert/strict";
import { test } from "node:test";
import { VirtualClock } from "../../src/adapters/time/virtual_clock.ts";
import { millis } from "../../src/core/clock.ts";
import { plainWork } from "../../src/core/gateway/request_work.ts";
import { describeUrgency } from "../../src/core/gateway/urgency.ts";
import { brandString, type ServiceName } from "../../src/core/ids.ts";
import {
  maxWaitingRequests,
  type QueuePlace,
  WaitQueue,
} from "../../src/node/gateway/requests/wait_queue.ts";
import { silentMeter } from "../../src/ports/journal.ts";

const need = { key: "any", mayProceed: () => true };

function createLine() {
  const clock = VirtualClock.create();
  const service = brandString<ServiceName>("booking");
  const queue = WaitQueue.create({ clock, meter: silentMeter, service });
  const join = (priority: number, promptTokens = 0) =>
    queue.join(
      describeUrgency({
        priority,
        arrivedAt: clock.now(),
        targetLatency: millis(1_000),
        work: { ...plainWork, promptTokens },
        isAdapterMissing: false,
        isStream: true,
      }),
    );
  return { clock, queue, join };
}

function waitFor(place: QueuePlace, wakeAt = 60) {
  return place.wait(need, millis(wakeAt));
}

// Load: four requests wait and none arrives. Guards against whoever asks first being served.
test("a turn wakes requests by priority, and the next one once the one before is sent", async () => {
  const { clock, queue, join } = createLine();
  const order: number[] = [];
  for (const priority of [2, 0, 1, 0]) {
    const place = join(priority);
    void waitFor(place).then(() => {
      order.push(priority);
      // A send takes a few callbacks of promises.
      void Promise.resolve().then(() => place.leave());
    });
  }
  queue.notify();
  await clock.advance(millis(1));
  assert.deepEqual(order, [0, 0, 1, 2]);
  assert.equal(queue.length, 0);
});

// Load: 50 requests wait for the same servers, which have no room.
// Guards against each event asking the servers once for every request that waits.
test("an event wakes no further request once one of the same need waits again", async () => {
  const { clock, queue, join } = createLine();
  let turns = 0;
  for (let i = 0; i < 50; i++) {
    const place = join(1);
    const waitAgain = (): void => {
      turns++;
      void waitFor(place, 120).then(waitAgain);
    };
    void waitFor(place).then(waitAgain);
  }
  queue.notify();
  await clock.advance(millis(20));
  assert.equal(turns, 1);
  // At the latest after the interval of the timer, all look for themselves.
  await clock.advance(millis(60));
  assert.ok(turns >= 50, `${turns} turns`);
});

// Load: 200 requests wait for 10 adapters that no engine has. Guards against a turn that
// costs a look at all servers for every request that waits.
test("a turn checks each need once, however many requests have it", async () => {
  const { clock, queue, join } = createLine();
  let checks = 0;
  const mayProceed = () => {
    checks++;
    return false;
  };
  for (let i = 0; i < 200; i++)
    void join(1).wait({ key: `adapter ${i % 10}`, mayProceed }, millis(60));
  queue.notify();
  await clock.advance(millis(5));
  assert.equal(checks, 10);
});

// Load: one more request than the queue holds. Guards against a queue that grows without
// bound, and against one that refuses whoever comes last.
test("a full queue refuses the least urgent request", async () => {
  const { clock, queue, join } = createLine();
  const ends: string[] = [];
  void waitFor(join(7)).then((end) => ends.push(`7 ${end}`));
  for (let i = 0; i < maxWaitingRequests; i++) void waitFor(join(3));
  await clock.advance(millis(0));
  assert.deepEqual(ends, ["7 outranked"]);
  assert.equal(queue.length, maxWaitingRequests);
});

// Guards against searches, and their timers, that go on until the deadline of a request
// whose caller has left.
test("a request that leaves the queue ends its wait", async () => {
  const { clock, join } = createLine();
  const place = join(1);
  const ends: string[] = [];
  void waitFor(place).then((end) => ends.push(end));
  place.leave();
  await clock.advance(millis(0));
  assert.deepEqual(ends, ["left"]);
});

// Guards against a request that is not woken while no event comes.
test("without an event a request looks for a server every 60 ms", async () => {
  const { clock, join } = createLine();
  const place = join(1);
  const times: number[] = [];
  const waitAgain = (): void => {
    times.push(clock.now());
    void waitFor(place, clock.now() + 60).then(waitAgain);
  };
  void waitFor(place).then(waitAgain);
  await clock.advance(millis(185));
  assert.deepEqual(times, [60, 120, 180]);
});

test("a request whose turn takes too long does not hold up the next one", async () => {
  const { clock, queue, join } = createLine();
  let isNextWoken = false;
  void waitFor(join(0));
  void waitFor(join(1)).then(() => {
    isNextWoken = true;
  });
  queue.notify();
  await clock.advance(millis(10));
  assert.ok(isNextWoken);
});

// Load: for 20 s, 20 requests a second for one server, of which one in ten is eight times as
// large; together 1.2 times what it can do. Each request waits 2 s at most.
// Guards against large requests that wait for good behind small ones.
test("in a mix of large and small work the large requests are served at least half as often", async () => {
  const { clock, queue, join } = createLine();
  const counts = { large: 0, servedLarge: 0, small: 0, servedSmall: 0 };
  let isFree = true;
  const serve = async (isLarge: boolean) => {
    const end = clock.now() + 2_000;
    const place = join(1, isLarge ? 8_000 : 1_000);
    if (isLarge) counts.large++;
    else counts.small++;
    while (!isFree && clock.now() < end) await waitFor(place, end);
    place.leave();
    if (clock.now() >= end) return;
    isFree = false;
    if (isLarge) counts.servedLarge++;
    else counts.servedSmall++;
    clock.schedule(millis(isLarge ? 282 : 35), () => {
      isFree = true;
      queue.notify();
    });
  };
  for (let i = 0; i < 400; i++) {
    void serve(i % 10 === 0);
    await clock.advance(millis(50));
  }
  await clock.advance(millis(3_000));
  const large = counts.servedLarge / counts.large;
  const all = (counts.servedLarge + counts.servedSmall) / 400;
  assert.ok(all < 1 && large >= all / 2, JSON.stringify(counts));
});
