import assert from "node:assert/strict";
import { test } from "node:test";
import { millis } from "../../src/core/clock.ts";
import type { GatewayFixture } from "./gateway_fixture.ts";
import type { RecordedAttempt } from "./recorded_exchange.ts";
import {
  createStreamFixture,
  createVersionedEngine,
  openAttempt,
} from "./stream_callers.ts";

const deadly = {
  parts: ["tenant", "user", "deadly"],
  body: new TextEncoder().encode("the same prompt"),
};

function listEngines(...ids: string[]) {
  return ids.map((id) => createVersionedEngine(id, "v1", 1));
}

/** The engine begins an answer on a connection, crashes and starts again. */
async function crash(
  fixture: GatewayFixture,
  attempt: RecordedAttempt,
  openedAt: ReturnType<typeof millis>,
) {
  attempt.start(200, openedAt);
  attempt.bytes(`id: ${fixture.attempts.length}\n\n`);
  fixture.downEngines.add(attempt.server);
  attempt.fail("broken");
  await fixture.advance(600);
  fixture.downEngines.delete(attempt.server);
  fixture.register(
    createVersionedEngine(attempt.server, "v1", fixture.clock.now()),
  );
  await fixture.advance(600);
}

// Guards against a prompt that crashes engine after engine, since the crash of one
// whose answer is held back is not counted.
test("the crash of an engine whose answer is held back convicts the prompt", async () => {
  const fixture = await createStreamFixture(
    listEngines("e1", "e2", "e3", "e4"),
  );
  const first = await openAttempt(fixture, deadly);
  await crash(fixture, first.attempt, millis(Number.NEGATIVE_INFINITY));
  assert.equal(fixture.attempts.length, 2, "the trial");
  await crash(fixture, fixture.lastAttempt(), fixture.clock.now());
  await fixture.advance(1_000);
  await openAttempt(fixture, deadly);
  assert.equal(
    fixture.attempts.length,
    2,
    "a request reached a further engine",
  );
});

// Guards against streams that break at a sound server, and suspend it, since it may
// not be asked which incarnation runs while it limits its requests.
test("a stream goes on at a server that limits its requests, on a new connection", async () => {
  const fixture = await createStreamFixture(listEngines("e1", "e2"));
  const { answer, attempt } = await openAttempt(fixture, { parts: [] });
  for (const id of ["e1", "e2"])
    fixture.notify(createVersionedEngine(id, "v1", 1), {
      kind: "limit",
      value: "1",
    });
  attempt.start();
  attempt.bytes("id: 1\n\n");
  attempt.fail("broken");
  for (let wait = 0; fixture.attempts.length < 2 && wait < 40; wait++)
    await fixture.advance(100);
  const next = fixture.lastAttempt();
  assert.notEqual(next, attempt);
  next.start(200, fixture.clock.now());
  next.bytes("id: 2\n\n");
  await fixture.advance(1_500);
  next.end();
  await fixture.advance(100);
  assert.equal(answer.text, "id: 1\n\nid: 2\n\n");
  assert.equal(answer.outcome, "whole");
});
