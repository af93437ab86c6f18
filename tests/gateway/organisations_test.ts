import assert from "node:assert/strict";
import { test } from "node:test";
import {
  authenticate,
  type Credential,
  createDirectory,
} from "../../src/core/gateway/organisations.ts";
import { brandString, type KeyDigest } from "../../src/core/ids.ts";
import { GatewayFixture } from "./gateway_fixture.ts";
import { streamRoute } from "./gateway_setups.ts";
import {
  createCredential,
  createDemand,
  createEngine,
  createOrganisation,
  createOrganisations,
  createRoute,
  createServer,
} from "./gateway_values.ts";

const north = createOrganisation("north", { priority: 0 });
const south = createOrganisation("south");
const organisations = createOrganisations([north, "n1", "n2"], [south, "s1"]);
const malformed: Credential = { kind: "malformed", detail: "Two keys" };

test("a caller is known by its key, and refused without one unless the route is public", () => {
  const cases: readonly [Credential | undefined, boolean, string][] = [
    [createCredential("n2"), false, "north"],
    [createCredential("s1"), false, "south"],
    [createCredential("x"), false, "unknownKey"],
    [{ kind: "none" }, false, "unknownKey"],
    [undefined, false, "unknownKey"],
    [malformed, false, "malformedKey"],
    [createCredential("n1"), true, "north"],
    [createCredential("x"), true, "none"],
    [{ kind: "none" }, true, "none"],
    [malformed, true, "none"],
  ];
  for (const [credential, isPublic, expected] of cases) {
    const found = authenticate({ organisations, isPublic, credential }).caseOf({
      Left: ({ code }) => code as string,
      Right: (organisation) => organisation?.name ?? "none",
    });
    assert.equal(found, expected, JSON.stringify({ credential, isPublic }));
  }
});

test("without organisations every caller passes, whatever its key", () => {
  for (const credential of [undefined, createCredential("x"), malformed]) {
    const found = authenticate({
      organisations: undefined,
      isPublic: false,
      credential,
    });
    assert.equal(found.unsafeCoerce(), undefined);
  }
});

// Guards against a key that names one of two organisations by the order of the entries.
test("a directory with a key at two organisations, or a name twice, is not created", () => {
  const key: KeyDigest = brandString("k");
  const shared = createDirectory([
    { organisation: north, keys: [] },
    { organisation: south, keys: [brandString("other"), key] },
    { organisation: createOrganisation("west"), keys: [key] },
  ]);
  assert.deepEqual(shared.extract(), {
    kind: "shared-key",
    position: 2,
    keyPosition: 0,
    holder: "south",
  });
  const repeated = createDirectory([
    { organisation: north, keys: [key] },
    { organisation: createOrganisation("north"), keys: [key] },
  ]);
  assert.deepEqual(repeated.extract(), { kind: "repeated-name", position: 1 });
});

async function createFixture() {
  const fixture = new GatewayFixture();
  fixture.configure([createRoute({})], 1, { organisations });
  fixture.register(createServer({}));
  await fixture.advance(10);
  return fixture;
}

test("a server is told the organisation of the caller, and gets nothing from an unknown one", async () => {
  const fixture = await createFixture();
  const { answer } = fixture.open({ credential: createCredential("x") });
  await fixture.advance(10);
  assert.equal(answer.refusal?.code, "unknownKey");
  assert.equal(answer.refusal?.outcome, "not-run");
  assert.equal(fixture.attempts.length, 0);
  fixture.open({ credential: createCredential("s1") });
  await fixture.advance(10);
  assert.equal(fixture.lastAttempt().order.organisation, "south");
});

// Guards against a 401 where a later try could succeed, or where none can.
test("a node without a configuration asks to come back, and an unknown route stays unknown", async () => {
  const fixture = new GatewayFixture();
  const early = fixture.open({ credential: createCredential("x") });
  await fixture.advance(10);
  assert.equal(early.answer.refusal?.code, "notReady");
  fixture.configure([createRoute({})], 1, { organisations });
  const astray = fixture.open({ path: "/c/", credential: malformed });
  await fixture.advance(10);
  assert.equal(astray.answer.refusal?.code, "unknownRoute");
});

// Guards against keys that are remembered with a connection or an earlier request.
test("keys count from the next request on when a configuration adds and removes them", async () => {
  const fixture = await createFixture();
  const configure = (revision: number, key: string) =>
    fixture.configure([createRoute({})], revision, {
      organisations: createOrganisations([north, key]),
    });
  const outcomeOf = async (key: string) => {
    const sent = fixture.attempts.length;
    const { answer } = fixture.open({ credential: createCredential(key) });
    await fixture.advance(10);
    return fixture.attempts.length > sent ? "sent" : answer.refusal?.code;
  };
  assert.equal(await outcomeOf("n1"), "sent");
  configure(2, "n9");
  assert.equal(await outcomeOf("n1"), "unknownKey");
  assert.equal(await outcomeOf("n9"), "sent");
  // An older version that arrives late brings no key back.
  fixture.configure([createRoute({})], 1, { organisations });
  assert.equal(await outcomeOf("n1"), "unknownKey");
  fixture.configure([createRoute({ isPublic: true })], 3, { organisations });
  assert.equal(await outcomeOf("x"), "sent");
  fixture.configure([createRoute({})], 4);
  assert.equal(await outcomeOf("x"), "sent");
});

// Guards against an answer that breaks off since its key was taken away meanwhile.
test("a request that has begun under a key runs to its end", async () => {
  const fixture = await createFixture();
  const { answer } = fixture.open({ credential: createCredential("n1") });
  await fixture.advance(10);
  fixture.configure([createRoute({})], 2, {
    organisations: createOrganisations([south, "s1"]),
  });
  fixture.lastAttempt().answer("done");
  await fixture.advance(10);
  assert.equal(answer.text, "done");
});

test("the priority of an organisation goes before that of the route", async () => {
  const fixture = new GatewayFixture();
  const route = createRoute({ ...streamRoute, priority: 2 });
  fixture.configure([route], 1, { organisations });
  fixture.register(createEngine("e1", ["a1"]));
  await fixture.advance(3_000);
  for (const [key, priority] of [
    ["n1", 0],
    ["s1", 2],
  ] as const) {
    fixture.open({
      demand: createDemand("a1"),
      credential: createCredential(key),
    });
    await fixture.advance(10);
    assert.equal(fixture.lastAttempt().order.priority, priority);
  }
});
