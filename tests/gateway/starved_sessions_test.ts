import assert from "node:assert/strict";
import { test } from "node:test";
import type { GatewayFixture } from "./gateway_fixture.ts";
import { createEngineFixture } from "./gateway_setups.ts";
import { createDemand } from "./gateway_values.ts";

// Guards against sessions that are refused for half a minute and longer because
// their requests were running when engines crashed for another reason.

/** Time within which a session must be served again, and between two of its requests, in ms. */
const maxRefusalTime = 8_000;
const interval = 500;

const session = ["tenant", "session"];

/** Sends requests of the session until one is served; returns the time that took, in ms. */
async function waitUntilServed(fixture: GatewayFixture): Promise<number> {
  const startedAt = fixture.clock.now();
  while (fixture.clock.now() < startedAt + 60_000) {
    const before = fixture.attempts.length;
    const { answer } = fixture.open({ demand: createDemand("a1", session) });
    await fixture.advance(interval);
    fixture.attempts[before]?.answer("id: 1\n\n");
    await fixture.advance(1);
    if (answer.outcome === "whole") return fixture.clock.now() - startedAt;
  }
  return Number.POSITIVE_INFINITY;
}

for (const crashes of [2, 4, 7]) {
  test(`a session whose requests ran at ${crashes} crashes of other causes is served again within seconds`, async () => {
    const fixture = await createEngineFixture();
    const ids = Array.from({ length: crashes }, (_, at) => `e${at % 3}/${at}`);
    fixture.reportCrash(["session"], ids);
    await fixture.advance(5);
    const time = await waitUntilServed(fixture);
    assert.ok(time <= maxRefusalTime, `served after ${time} ms`);
    assert.ok((await waitUntilServed(fixture)) <= 2 * interval);
  });
}
