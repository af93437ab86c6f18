import assert from "node:assert/strict";
import { test } from "node:test";
import { millis } from "../../src/core/clock.ts";
import { brandString, type RequestId } from "../../src/core/ids.ts";
import type { ProxiedRequest } from "../../src/ports/gateway.ts";
import { GatewayFixture } from "./gateway_fixture.ts";
import { streamRoute } from "./gateway_setups.ts";
import { createDemand, createRoute } from "./gateway_values.ts";
import { createVersionedEngine } from "./stream_callers.ts";

async function createFixture(route = { ...streamRoute, resumable: true }) {
  const fixture = new GatewayFixture();
  fixture.configure([createRoute(route)]);
  fixture.register(createVersionedEngine("e1", "v1"));
  await fixture.advance(5_000);
  return fixture;
}

/** Opens streams; resolves to the servers at which they begin. */
async function begin(fixture: GatewayFixture, count: number) {
  const from = fixture.attempts.length;
  const request = { demand: createDemand("a1"), deadline: millis(10_000) };
  for (let at = 0; at < count; at++) {
    fixture.open(request as Partial<ProxiedRequest>);
    await fixture.advance(20);
  }
  return fixture.attempts.slice(from).map(({ server }) => server);
}

// Guards against streams of a version that other nodes have not seen yet: they may take them up where a
// single version is in their sight.
test("a stream that may be taken up begins at a new version only after other nodes in touch have seen it", async () => {
  const fixture = await createFixture();
  fixture.register(createVersionedEngine("e2", "v2"));
  await fixture.advance(200);
  assert.ok(!(await begin(fixture, 10)).includes("e2" as never));
  await fixture.advance(3_000);
  assert.ok((await begin(fixture, 10)).includes("e2" as never));
});

// Guards against a wait for servers that are there, since the only ones are new.
test("streams begin at once at a new version where no other one serves", async () => {
  const fixture = await createFixture();
  fixture.register(
    { ...createVersionedEngine("e1", "v1"), leaving: true },
    createVersionedEngine("e2", "v2"),
  );
  await fixture.advance(200);
  assert.deepEqual(await begin(fixture, 1), ["e2"]);
});

// Guards against servers that requests without a position in a stream leave idle.
test("requests that cannot be taken up go to servers of a new version at once", async () => {
  const fixture = await createFixture({ ...streamRoute, resumable: false });
  fixture.register(createVersionedEngine("e2", "v2"));
  await fixture.advance(200);
  assert.ok((await begin(fixture, 10)).includes("e2" as never));
});

// Guards against a node that relies on a view of the servers which is no longer kept up to date.
test("a stream of an unknown origin is not taken up while the view of the servers is old", async () => {
  const fixture = await createFixture();
  await fixture.advance(61_000);
  const resumption = {
    resumeAfter: "1",
    resumes: brandString<RequestId>("unknown"),
  };
  const take = async () => {
    const request = {
      demand: createDemand("a1"),
      deadline: millis(10_000),
      ...resumption,
    };
    const { answer } = fixture.open(request);
    await fixture.advance(1_000);
    return answer;
  };
  fixture.viewTime = fixture.clock.now();
  await fixture.advance(4_000);
  const answer = await take();
  assert.equal(answer.refusal?.code, "streamNotContinued");
  assert.equal(answer.refusal?.outcome, "not-run");
  assert.equal(fixture.attempts.length, 0);
  fixture.viewTime = undefined;
  await fixture.advance(2_000);
  await take();
  assert.equal(fixture.attempts.length, 1);
});
