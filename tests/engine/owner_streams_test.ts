import assert from "node:assert/strict";
import { test } from "node:test";
import { VirtualClock } from "../../src/adapters/time/virtual_clock.ts";
import { millis } from "../../src/core/clock.ts";
import {
  createEngineState,
  type EngineCommand,
  type EngineEvent,
  type EngineState,
} from "../../src/core/engine/mod.ts";
import { brandNumber, brandString, type EngineId } from "../../src/core/ids.ts";
import { EngineOwner } from "../../src/node/engine_owner.ts";
import {
  type EngineLink,
  endedStream,
  type StreamSink,
} from "../../src/ports/engine.ts";
import { silentJournal, silentMeter } from "../../src/ports/journal.ts";
import { createWork } from "./harness.ts";

type Reply = (event: EngineEvent) => EngineCommand[];

const limits = { slots: 1, batch: 1, queue: 1, fencing: "checked" } as const;
const work = createWork("r1", millis(0), { adapter: "a@1" });
const fence = brandNumber<never>(1);

/** Creates an owner whose decision returns the commands of `reply`; its events and stream sinks are recorded. */
function createOwner(reply: Reply) {
  const events: EngineEvent[] = [];
  const sinks: StreamSink[] = [];
  const link = {
    generate: (_order: unknown, sink: StreamSink) => {
      sinks.push(sink);
      return endedStream;
    },
  } as unknown as EngineLink;
  const identity = { engine: brandString<EngineId>("engine"), limits };
  const owner = EngineOwner.create({
    identity,
    initial: createEngineState(identity),
    decide: (state: EngineState, event: EngineEvent) => {
      events.push(event);
      return { state, commands: reply(event) };
    },
    clock: VirtualClock.create(),
    link,
    permits: { request() {}, release() {} },
    suspects: { suspect() {}, clear() {} },
    journal: silentJournal,
    meter: silentMeter,
  });
  return { owner, events, sinks };
}

function dispatchAll(event: EngineEvent): EngineCommand[] {
  if (event.type !== "submit") return [];
  return [{ type: "dispatch", work, fence, validUntil: millis(1_000) }];
}

const submission = {
  work,
  path: "/v1/completions",
  body: new Uint8Array(),
} as const;

test("a stream preempted at its first token counts the chunk that carried it", () => {
  const { owner, events, sinks } = createOwner((event) =>
    event.type === "first-token"
      ? [{ type: "preempt", requestId: event.requestId }]
      : dispatchAll(event),
  );
  owner.submit(submission, { onChunk() {}, onEnd() {}, onRefusal() {} });
  sinks[0]?.onChunk(submission.body, 1);
  const tokens = events.flatMap((event) =>
    event.type === "preempted" ? [event.tokens] : [],
  );
  assert.deepEqual(tokens, [1]);
});

test("a second request with the id of an open one does not receive the first one's answer", () => {
  const { owner, sinks } = createOwner(dispatchAll);
  const received: string[] = [];
  const createListener = (name: string) => ({
    onChunk: () => received.push(`${name} chunk`),
    onEnd: () => received.push(`${name} end`),
    onRefusal: ({ outcome }: { outcome: string }) =>
      received.push(`${name} ${outcome}`),
  });
  owner.submit(submission, createListener("first"));
  owner.submit(submission, createListener("second"));
  sinks[0]?.onChunk(submission.body, 1);
  sinks[0]?.onEnd();
  assert.equal(sinks.length, 1);
  assert.deepEqual(received, ["second not-run", "first chunk", "first end"]);
});
