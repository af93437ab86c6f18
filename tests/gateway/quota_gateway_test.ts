import assert from "node:assert/strict";
import { test } from "node:test";
import type { GatewayRoute } from "../../src/core/gateway/configuration.ts";
import type { OrganisationQuota } from "../../src/core/gateway/organisations.ts";
import { brandString, type ServerId } from "../../src/core/ids.ts";
import { GatewayFixture } from "./gateway_fixture.ts";
import {
  createCredential,
  createOrganisation,
  createOrganisations,
  createRoute,
  createServer,
} from "./gateway_values.ts";

const quota: OrganisationQuota = {
  unit: "requests",
  rate: 10,
  burst: 10,
  plainTokens: 0,
};
const north = createOrganisation("north", { quota });
const south = createOrganisation("south");
const organisations = createOrganisations([north, "n1"], [south, "s1"]);
/** Time after its start from which a node that the list lacked has earned credit, in ms. */
const startTime = 6_000;

async function createFixture(
  servers = [createServer({})],
  route: Partial<GatewayRoute> = {},
): Promise<GatewayFixture> {
  const fixture = new GatewayFixture();
  fixture.configure([createRoute(route)], 1, { organisations });
  fixture.register(...servers);
  await fixture.advance(startTime);
  return fixture;
}

function openAs(fixture: GatewayFixture, key: string, count: number) {
  return Array.from({ length: count }, () =>
    fixture.open({ credential: createCredential(key) }),
  );
}

// Guards against quotas that no request keeps to, or that hold up other organisations.
test("requests beyond the quota are refused at once, those of others pass", async () => {
  const fixture = await createFixture();
  const opened = openAs(fixture, "n1", 20);
  await fixture.advance(100);
  const refused = opened.filter(({ answer }) => answer.refusal !== undefined);
  assert.ok(fixture.attempts.length >= 8 && fixture.attempts.length <= 12);
  assert.equal(refused.length, 20 - fixture.attempts.length);
  for (const { answer } of refused) {
    assert.equal(answer.refusal?.code, "quotaExceeded");
    assert.equal(answer.refusal?.outcome, "not-run");
    assert.ok((answer.refusal?.retryAfter ?? 0) >= 200);
  }
  const sent = fixture.attempts.length;
  openAs(fixture, "s1", 20);
  await fixture.advance(10);
  assert.equal(fixture.attempts.length, sent + 20);
});

// Guards against a Retry-After after which the caller is refused again.
test("a refused request passes at the time that the refusal names", async () => {
  const fixture = await createFixture();
  const opened = openAs(fixture, "n1", 20);
  await fixture.advance(100);
  const refusal = opened.at(-1)?.answer.refusal;
  const sent = fixture.attempts.length;
  await fixture.advance((refusal?.retryAfter ?? 0) - 100);
  openAs(fixture, "n1", 1);
  await fixture.advance(100);
  assert.equal(fixture.attempts.length, sent + 1);
});

// Guards against credit that is lost with requests that no server has received.
test("requests that end before they are sent give their credit back", async () => {
  const fixture = await createFixture([]);
  const waiting = openAs(fixture, "n1", 8);
  await fixture.advance(100);
  assert.equal(fixture.attempts.length, 0);
  for (const { control } of waiting) control.cancel();
  fixture.register(createServer({}));
  await fixture.advance(10);
  openAs(fixture, "n1", 8);
  await fixture.advance(10);
  assert.equal(fixture.attempts.length, 8);
});

// Guards against credit that comes back from requests that a server has begun to run.
test("requests whose callers leave them at a server use up their credit", async () => {
  const fixture = await createFixture();
  const opened = openAs(fixture, "n1", 8);
  await fixture.advance(10);
  for (const { control } of opened) control.cancel();
  openAs(fixture, "n1", 8);
  await fixture.advance(10);
  assert.ok(fixture.attempts.length < 12);
});

// Guards against a limit of the configuration before.
test("a limit that a new configuration takes away no longer refuses", async () => {
  const fixture = await createFixture();
  openAs(fixture, "n1", 20);
  await fixture.advance(100);
  const free = createOrganisation("north");
  fixture.configure([createRoute({})], 2, {
    organisations: createOrganisations([free, "n1"]),
  });
  const sent = fixture.attempts.length;
  openAs(fixture, "n1", 20);
  await fixture.advance(10);
  assert.equal(fixture.attempts.length, sent + 20);
});

// Guards against retries that are refused as not run, although a server may have run the request.
test("a retry after a run takes no credit, however long the run took", async () => {
  const servers = ["s1", "s2"].map((id) =>
    createServer({ id: brandString<ServerId>(id), slots: 20 }),
  );
  const fixture = await createFixture(servers, { retryRule: "repeatable" });
  const opened = openAs(fixture, "n1", 8);
  await fixture.advance(1_500);
  openAs(fixture, "n1", 20);
  await fixture.advance(100);
  const sent = fixture.attempts.length;
  for (const attempt of fixture.attempts.slice(0, 8)) attempt.fail("broken");
  await fixture.advance(10);
  for (const { answer } of opened) assert.equal(answer.refusal, undefined);
  assert.equal(fixture.attempts.length, sent + 8);
});
