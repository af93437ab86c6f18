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
import { brandNumber, brandString } from "../../src/core/ids.ts";
import { EngineOwner } from "../../src/node/engine_owner.ts";
import type { EngineLink, StreamSink } from "../../src/ports/engine.ts";
import { silentJournal, silentMeter } from "../../src/ports/journal.ts";
import { createWork } from "./harness.ts";

test("a stream preempted at its first token counts the chunk that carried it", () => {
  const events: EngineEvent[] = [];
  const sinks: StreamSink[] = [];
  const limits = { slots: 1, batch: 1, queue: 1, fencing: "checked" } as const;
  const work = createWork("r1", millis(0), { adapter: "a@1" });
  const reply = (event: EngineEvent): EngineCommand[] => {
    const fence = brandNumber<never>(1);
    if (event.type === "submit") {
      return [{ type: "dispatch", work, fence, validUntil: millis(1_000) }];
    }
    if (event.type !== "first-token") return [];
    return [{ type: "preempt", requestId: event.requestId }];
  };
  const link = {
    generate: (_order: unknown, sink: StreamSink) => {
      sinks.push(sink);
      return { cancel() {}, pause() {}, resume() {} };
    },
  } as unknown as EngineLink;
  const owner = EngineOwner.create({
    identity: { engine: brandString("engine"), limits },
    initial: createEngineState({ engine: brandString("engine"), limits }),
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
  const sink = { onChunk() {}, onEnd() {}, onRefusal() {} };
  const body = new Uint8Array();
  owner.submit({ work, path: "/v1/completions", body }, sink);
  sinks[0]?.onChunk(body, 1);
  const tokens = events.flatMap((event) =>
    event.type === "preempted" ? [event.tokens] : [],
  );
  assert.deepEqual(tokens, [1]);
});
