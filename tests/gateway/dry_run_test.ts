import assert from "node:assert/strict";
import { test } from "node:test";
import { millis } from "../../src/core/clock.ts";
import type { DryRun, DryRunQuery } from "../../src/core/gateway/dry_run.ts";
import type { OrganisationQuota } from "../../src/core/gateway/organisations.ts";
import {
  type AdapterName,
  brandString,
  type ModelName,
  type OrganisationName,
  type ServerId,
} from "../../src/core/ids.ts";
import { GatewayFixture } from "./gateway_fixture.ts";
import { createBookingFixture, createEngineFixture } from "./gateway_setups.ts";
import {
  booking,
  createCredential,
  createOrganisation,
  createOrganisations,
  createRoute,
  createServer,
  engines,
} from "./gateway_values.ts";
import { model } from "./simulated_engine.ts";

const query: DryRunQuery = { host: "h.example", path: "/b/x" };
const first = createServer({});
const second = createServer({ id: brandString<ServerId>("s2") });
const quota: OrganisationQuota = {
  unit: "requests",
  rate: 10,
  burst: 10,
  plainTokens: 0,
};
const organisations = createOrganisations([
  createOrganisation("north", { quota }),
  "n1",
]);
/** Time after its start from which a node that the list lacked has earned credit, in ms. */
const startTime = 6_000;

function askFor(adapter: string | undefined, name: ModelName = model) {
  const demand = {
    model: name,
    adapter: adapter ? brandString<AdapterName>(adapter) : undefined,
    promptTokens: 500,
    answerTokens: 80,
  };
  return { ...query, demand };
}

/** The outlook of the only service. */
function findOutlook(run: DryRun) {
  assert.ok(run.kind === "routed");
  const [outlook] = run.services;
  assert.ok(outlook !== undefined);
  return outlook;
}

// Guards against a dry run that names another server than the one that gets the request.
test("the server that a dry run names gets the request", async () => {
  const fixture = await createEngineFixture({}, ["a1"]);
  const { verdict, servers } = findOutlook(
    fixture.gateway.dryRun(askFor(undefined)),
  );
  assert.ok(verdict.kind === "sent");
  assert.equal(servers.length, 2);
  const { queue, prompt } = servers[0]?.wait ?? {};
  assert.ok(queue !== undefined && prompt !== undefined);
  fixture.notify(createServer({ id: verdict.server }), {
    kind: "pause",
    retryAfter: "5",
  });
  const next = findOutlook(fixture.gateway.dryRun(askFor(undefined)));
  assert.ok(next.verdict.kind === "sent");
  assert.notEqual(next.verdict.server, verdict.server);
  fixture.open({
    demand: {
      model,
      adapter: undefined,
      promptTokens: 500,
      answerTokens: 80,
      sharedParts: [],
    },
  });
  await fixture.advance(10);
  assert.equal(fixture.lastAttempt().server, next.verdict.server);
});

// Guards against servers that are ruled out without a reason, or for a wrong one.
test("each server says what rules it out", async () => {
  const fixture = await createBookingFixture();
  fixture.notify(second, { kind: "pause", retryAfter: "5" });
  fixture.register(
    createServer({ id: brandString<ServerId>("s3"), leaving: true }),
  );
  const { servers, verdict } = findOutlook(fixture.gateway.dryRun(query));
  assert.deepEqual(
    servers.map(({ server, obstacle }) => [server, obstacle]),
    [
      ["s1", undefined],
      ["s2", "paused"],
      ["s3", "leaving"],
    ],
  );
  assert.deepEqual(verdict, {
    kind: "sent",
    server: "s1",
    asksOwner: false,
    asksCredit: false,
  });
});

// Guards against a dry run that does not say that the request waits, or is refused.
test("with all servers paused the request waits for a short pause and is refused for a long one", async () => {
  const short = await createBookingFixture();
  const long = await createBookingFixture();
  for (const server of [first, second]) {
    short.notify(server, { kind: "pause", retryAfter: "0.3" });
    long.notify(server, { kind: "pause", retryAfter: "5" });
  }
  const waiting = findOutlook(short.gateway.dryRun(query)).verdict;
  assert.deepEqual(waiting, { kind: "waits", reason: "servers-paused" });
  const { verdict } = findOutlook(long.gateway.dryRun(query));
  assert.ok(verdict.kind === "refused" && verdict.code === "serversPaused");
});

// Guards against loads that a dry run does not foresee, and models that it takes for held.
test("an adapter that no engine holds has to be loaded, and a model may be missing", async () => {
  const fixture = await createEngineFixture({}, ["a1"]);
  const held = findOutlook(fixture.gateway.dryRun(askFor("a1")));
  assert.ok(held.servers.every(({ adapter }) => adapter === "held"));
  const missing = findOutlook(fixture.gateway.dryRun(askFor("a7")));
  for (const { adapter, wait } of missing.servers) {
    assert.equal(adapter, "load-needed");
    assert.ok(wait.load > 0);
  }
  assert.ok(missing.verdict.kind === "sent" && missing.verdict.asksOwner);
  const unknown = askFor(undefined, brandString<ModelName>("none"));
  const refused = findOutlook(fixture.gateway.dryRun(unknown));
  assert.ok(
    refused.servers.every(({ obstacle }) => obstacle === "lacks-model"),
  );
  assert.ok(
    refused.verdict.kind === "refused" &&
      refused.verdict.code === "adapterNotInTime",
  );
});

// Guards against shares that do not follow the weights of the route.
test("the services of a route get shares by their weights", async () => {
  const fixture = await createBookingFixture({
    targets: [
      { service: booking, weight: 3 },
      { service: engines, weight: 1 },
    ],
  });
  const run = fixture.gateway.dryRun(query);
  assert.ok(run.kind === "routed");
  const shares = run.services.map(({ service, share }) => [service, share]);
  assert.deepEqual(shares, [
    [booking, 0.75],
    [engines, 0.25],
  ]);
});

// Guards against requests of unknown callers or hosts that a dry run takes for routed.
test("a request without a route or without its organisation is refused", async () => {
  const fixture = new GatewayFixture();
  const unread = fixture.gateway.dryRun(query);
  assert.ok(unread.kind === "refused" && unread.code === "notReady");
  fixture.configure([createRoute({})], 1, { organisations });
  const elsewhere = fixture.gateway.dryRun({ ...query, path: "/c/" });
  assert.ok(elsewhere.kind === "refused" && elsewhere.code === "unknownRoute");
  const nameless = fixture.gateway.dryRun(query);
  assert.ok(nameless.kind === "refused" && nameless.code === "unknownKey");
});

// Guards against a node that stops and still takes requests in its dry runs.
test("a node that stops refuses what the exit would cut off", async () => {
  const fixture = await createBookingFixture();
  fixture.gateway.startDraining(millis(fixture.clock.now() + 1));
  await fixture.advance(2);
  const { verdict } = findOutlook(fixture.gateway.dryRun(query));
  assert.ok(verdict.kind === "refused" && verdict.code === "draining");
});

/** Time that a server takes for a request, in ms. */
const runTime = millis(50);

/** Runs requests of one organisation, at last beyond its quota, with dry runs among them; returns all that can be seen of the node. */
async function observeRequests(dryRuns: number) {
  const seen: unknown[] = [];
  const note =
    (kind: string) =>
    (...values: unknown[]) => {
      seen.push([kind, ...values]);
    };
  const fixture = new GatewayFixture({
    journal: { record: note("event") },
    meter: {
      count: note("count"),
      gauge: note("gauge"),
      observe: note("observe"),
    },
    onAttempt: (attempt) =>
      fixture.clock.schedule(runTime, () => attempt.answer("")),
  });
  fixture.configure([createRoute({})], 1, { organisations });
  fixture.register(first, second);
  await fixture.advance(startTime);
  const open = () => fixture.open({ credential: createCredential("n1") });
  const opened = [];
  for (let i = 0; i < 40; i++) {
    opened.push(open());
    await fixture.advance(125);
  }
  const runs = Array.from({ length: dryRuns }, () =>
    fixture.gateway.dryRun({
      ...query,
      organisation: brandString<OrganisationName>("north"),
    }),
  );
  opened.push(...Array.from({ length: 40 }, open));
  await fixture.advance(2_000);
  const refusals = opened.map(({ answer }) => answer.refusal);
  const servers = fixture.attempts.map(({ server }) => server);
  return { runs, seen, refusals, servers };
}

// Guards against dry runs that take credit, draw from the random numbers of requests or are counted.
test("dry runs change nothing that requests meet", async () => {
  const { runs: none, ...plain } = await observeRequests(0);
  const { runs, ...asked } = await observeRequests(3);
  assert.equal(none.length, 0);
  assert.ok(plain.refusals.some((found) => found?.code === "quotaExceeded"));
  assert.deepEqual(asked, plain);
  const [run] = runs;
  assert.ok(run?.kind === "routed");
  assert.equal(run.credit?.state, "sufficient");
  assert.deepEqual(runs.at(-1), run);
});

// Guards against dry runs that join the queue, or that overlook those who wait in it.
test("a dry run sees the requests that wait and does not wait itself", async () => {
  const fixture = new GatewayFixture();
  fixture.configure([createRoute({})]);
  fixture.gateway.dryRun(query);
  const { queues } = fixture.gateway.context;
  assert.equal(queues.find(booking), undefined);
  fixture.register();
  fixture.open();
  await fixture.advance(10);
  assert.equal(queues.find(booking)?.length, 1);
  const { verdict } = findOutlook(fixture.gateway.dryRun(query));
  assert.deepEqual(verdict, { kind: "waits", reason: "queue" });
  assert.equal(queues.find(booking)?.length, 1);
});
