import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { EventBoundary } from "../../src/core/gateway/event_boundary.ts";
import { GatewayFixture } from "./gateway_fixture.ts";
import { createRoute, createServer } from "./gateway_values.ts";

const seed = 1;
const bytesOf = (text: string) => new TextEncoder().encode(text);

/** Size of the incomplete event at the end of a text, found without state. */
function measureEvent(text: string): number {
  const [rest] = text.split(/(?:\r\n|\n|\r(?!\n))(?:\r\n|\n|\r)/).slice(-1);
  return (rest ?? "").length;
}

// Guards against ends of events that are missed between two chunks, and sound streams that are cut off.
test("the size of the incomplete event does not depend on how the stream is cut into chunks", () => {
  const part = fc.constantFrom("a", "bc", "\n", "\n\n", "\r\n", "\r\n\r\n");
  fc.assert(
    fc.property(fc.array(fc.array(part)), (chunks) => {
      const boundary = EventBoundary.create();
      let text = "";
      for (const parts of chunks) {
        const chunk = parts.join("");
        text += chunk;
        if (chunk !== "") boundary.push(bytesOf(chunk));
      }
      const expected = measureEvent(text);
      // A line end that belongs to the end of the event before may be counted.
      const extra = boundary.eventBytes - expected;
      assert.ok(extra >= -2 && extra <= 2, `${boundary.eventBytes} bytes`);
    }),
    { seed, numRuns: 2_000 },
  );
});

// Guards against an event without an end that is passed on until the time limit.
test("a stream that may not be resumed is broken off within an endless event", async () => {
  const fixture = new GatewayFixture();
  fixture.configure([createRoute({ retryRule: "stream" })]);
  fixture.register(createServer({}));
  const { answer } = fixture.open();
  await fixture.advance(0);
  const attempt = fixture.lastAttempt();
  attempt.start();
  attempt.bytes("data: a\n\ndata: ");
  for (let at = 0; at < 5; at++) attempt.bytes("x".repeat(60 * 1024));
  await fixture.advance(0);
  assert.ok(attempt.cancelled);
  assert.equal(answer.outcome, "aborted");
});

// Guards against a bound on events that counts the whole stream.
test("a long stream of small events is passed on whole", async () => {
  const fixture = new GatewayFixture();
  fixture.configure([createRoute({ retryRule: "stream" })]);
  fixture.register(createServer({}));
  const { answer } = fixture.open();
  await fixture.advance(0);
  const attempt = fixture.lastAttempt();
  attempt.start();
  for (let at = 0; at < 100; at++) {
    attempt.bytes(`\ndata: ${"x".repeat(8 * 1024)}\n`);
  }
  attempt.bytes("\n");
  attempt.end();
  assert.equal(answer.outcome, "whole");
});
