import assert from "node:assert/strict";
import { test } from "node:test";
import { millis } from "../../src/core/clock.ts";
import type { BackendServer } from "../../src/core/gateway/servers.ts";
import { brandString, type ServerId } from "../../src/core/ids.ts";
import { GatewayFixture } from "./gateway_fixture.ts";
import { createEngineFixture } from "./gateway_setups.ts";
import { createDemand, createRoute, createServer } from "./gateway_values.ts";
import type { RecordedAttempt } from "./recorded_exchange.ts";

/** Kinds of requests of one service, most urgent first. */
const kinds = ["urgent", "usual", "idle"];

/** Servers of the booking service with a fixed number of places, which reject what exceeds them. */
class LimitedServers {
  readonly #fixture: GatewayFixture;
  readonly #runs = new Map<ServerId, number>();
  readonly served: string[] = [];
  rejections = 0;
  readonly runTime = 100;
  readonly places: number;

  constructor(places: number) {
    this.places = places;
    this.#fixture = new GatewayFixture({
      onAttempt: (attempt) => this.#receive(attempt),
    });
  }

  get fixture(): GatewayFixture {
    return this.#fixture;
  }

  #receive(attempt: RecordedAttempt): void {
    const running = this.#runs.get(attempt.server) ?? 0;
    if (running >= this.places) {
      this.rejections++;
      return attempt.fail("not-run");
    }
    this.#runs.set(attempt.server, running + 1);
    this.#fixture.clock.schedule(millis(this.runTime), () => {
      this.#runs.set(attempt.server, (this.#runs.get(attempt.server) ?? 1) - 1);
      if (attempt.cancelled) return;
      this.served.push(attempt.order.request.path.split("/")[1] ?? "");
      attempt.answer("ok");
    });
  }
}

async function createServers(places: number, ...servers: BackendServer[]) {
  const limited = new LimitedServers(places);
  limited.fixture.configure(
    kinds.map((name, priority) =>
      createRoute({
        name,
        prefix: `/${name}/`,
        priority,
        targetLatency: millis(1_000),
        timeout: millis(3_000),
        maxAttempts: 4,
      }),
    ),
  );
  limited.fixture.register(...servers);
  await limited.fixture.advance(10);
  return limited;
}

/** A node whose retry budget for the booking service is spent. */
async function createSpentNode() {
  const retryLimits = { ratio: 0.2, slack: 58, window: millis(10_000) };
  const fixture = new GatewayFixture({ retryLimits });
  fixture.configure(
    kinds.map((name, priority) =>
      createRoute({ name, prefix: `/${name}/`, priority }),
    ),
  );
  fixture.register(first, second);
  // A new node has no share of the slack within the first window.
  await fixture.advance(25_000);
  const { context } = fixture.gateway;
  while (context.takeRetry(first.service)) {
    // Each turn takes one.
  }
  return fixture;
}

const first = createServer({});
const second = createServer({
  id: brandString<ServerId>("s2"),
  address: "10.0.0.2:80",
});

function open({ fixture }: LimitedServers, kind: string) {
  const path = `/${kind}/x`;
  return fixture.open({ path, target: path }).answer;
}

type Tally = Record<string, { opened: number; inTime: number; served: number }>;

/** Opens one request of each kind at each interval, and counts those answered. */
async function play(
  servers: LimitedServers,
  { interval, duration }: { interval: number; duration: number },
): Promise<Tally> {
  const opened: {
    kind: string;
    at: number;
    answer: ReturnType<typeof open>;
  }[] = [];
  const { fixture } = servers;
  for (let at = 0; at < duration; at += interval) {
    // The least urgent one comes first, so that it would win by asking first.
    for (const kind of [...kinds].reverse())
      opened.push({
        kind,
        at: fixture.clock.now(),
        answer: open(servers, kind),
      });
    await fixture.advance(interval);
  }
  await fixture.advance(4_000);
  const tally: Tally = {};
  for (const kind of kinds) {
    const own = opened.filter((request) => request.kind === kind);
    const served = own.filter(({ answer }) => answer.outcome === "whole");
    const inTime = served.filter(
      ({ answer, at }) => (answer.at ?? 0) - at <= 1_000,
    );
    tally[kind] = {
      opened: own.length,
      served: served.length,
      inTime: inTime.length,
    };
  }
  return tally;
}

// Load: 60 requests a second of three kinds for two servers with room for 40, for 5 s.
// Guards against kinds that are served less often than less urgent ones.
test("in a crest of three priorities no kind is served less often than a less urgent one", async () => {
  const servers = await createServers(2, first, second);
  const tally = await play(servers, { interval: 50, duration: 5_000 });
  const shares = kinds.map((kind) => {
    const { opened, served } = tally[kind] as Tally[string];
    return served / opened;
  });
  const [urgent = 0, usual = 0, idle = 0] = shares;
  const text = JSON.stringify({ tally, rejections: servers.rejections });
  assert.ok(urgent >= 0.95, text);
  assert.ok(urgent >= usual && usual >= idle, text);
});

// Load: one request, while the retries of the service are spent. Callers were refused after
// a single rejection, though no server had run their requests and others had room.
test("a request that was not run goes on once the retry budget has earned a retry", async () => {
  const fixture = await createSpentNode();
  const { answer } = fixture.open({ path: "/usual/x", target: "/usual/x" });
  await fixture.advance(1);
  fixture.lastAttempt().fail("misdirected");
  await fixture.advance(1);
  assert.equal(answer.outcome, "open");
  await fixture.advance(500);
  assert.equal(fixture.attempts.length, 2);
  fixture.lastAttempt().answer("ok");
  assert.equal(answer.outcome, "whole");
});

// Load: 6 requests that were not run, for about one retry that is earned meanwhile.
// Guards against retries that the least urgent request takes, and against callers that are
// held for long in vain.
test("the most urgent request gets the first retry that is earned, and the others end soon", async () => {
  const fixture = await createSpentNode();
  const paths = [...Array(5).fill("/idle/x"), "/urgent/x"];
  const answers = paths.map((path) => fixture.open({ path, target: path }));
  await fixture.advance(1);
  for (const attempt of [...fixture.attempts]) attempt.fail("misdirected");
  const sent = fixture.attempts.length;
  await fixture.advance(490);
  const next = fixture.attempts[sent];
  assert.equal(next?.order.request.path, "/urgent/x");
  await fixture.advance(200);
  const refused = answers.filter(({ answer }) => answer.outcome === "refused");
  assert.ok(refused.length >= 3, `${refused.length} refused`);
  for (const { answer } of refused)
    assert.equal(answer.refusal?.outcome, "not-run");
});

// Load: 60 requests a second of three kinds for two servers with room for 40; callers of the
// least urgent kind send again as soon as they are refused. Guards against callers that gain
// by repeating.
test("callers that repeat at once gain nothing over more urgent ones", async () => {
  const servers = await createServers(2, first, second);
  const { fixture } = servers;
  let repeats = 0;
  const repeat = (): void => {
    const answer = open(servers, "idle");
    repeats++;
    const refuse = answer.refuse.bind(answer);
    answer.refuse = (refusal) => {
      refuse(refusal);
      if (fixture.clock.now() < 3_000)
        fixture.clock.schedule(millis(1), repeat);
    };
  };
  for (let i = 0; i < 20; i++) repeat();
  const tally = await play(servers, { interval: 50, duration: 3_000 });
  const text = JSON.stringify({ tally, repeats });
  assert.ok(repeats > 20, text);
  assert.equal(tally.urgent?.served, tally.urgent?.opened, text);
  assert.ok(
    (tally.usual?.served ?? 0) >= 0.9 * (tally.usual?.opened ?? 0),
    text,
  );
});

// Load: 20 requests a second of one kind for one server with room for 10, for 3 s.
// Guards against a queue that lets all of a burst become late.
test("a burst of one kind is served at the pace of the server, and the oldest ones first", async () => {
  const servers = await createServers(1, first);
  const answers: ReturnType<typeof open>[] = [];
  for (let i = 0; i < 60; i++) {
    answers.push(open(servers, "usual"));
    await servers.fixture.advance(50);
  }
  await servers.fixture.advance(3_000);
  const served = answers.filter(({ outcome }) => outcome === "whole");
  assert.ok(served.length >= 24, `${served.length} served`);
  const refused = answers.filter(({ outcome }) => outcome === "refused");
  assert.equal(served.length + refused.length, answers.length);
  for (const { refusal } of refused) assert.equal(refusal?.outcome, "not-run");
});

// Load: one request that no engine has memory for, and one after it. Guards against a
// single caller whose requests keep all engines from the others.
test("a request that several engines reject holds up no other one", async () => {
  const fixture = await createEngineFixture();
  const demand = createDemand("a1");
  fixture.open({ demand });
  for (let rejection = 0; rejection < 2; rejection++) {
    await fixture.advance(1);
    fixture.attempts.pop()?.fail("not-run");
  }
  await fixture.advance(1);
  fixture.attempts.splice(0);
  fixture.open({ demand, path: "/b/next", target: "/b/next" });
  await fixture.advance(20);
  const paths = fixture.attempts.map(({ order }) => order.request.path);
  assert.ok(paths.includes("/b/next"), `${paths}`);
});

// Load: six requests wait for a service without servers until two servers register.
// Guards against a request that looks for a server before the one ahead of it is counted there.
test("requests that wait for the same servers see each other's sends", async () => {
  const fixture = new GatewayFixture({});
  fixture.configure([createRoute({})]);
  await fixture.advance(10);
  for (let i = 0; i < 6; i++) fixture.open();
  await fixture.advance(5);
  fixture.register(first, second);
  await fixture.advance(100);
  const atFirst = fixture.attempts.filter(({ server }) => server === first.id);
  assert.equal(fixture.attempts.length, 6);
  assert.equal(atFirst.length, 3);
});

// Load: 60 requests a second of three kinds for four servers with room for 80, of which two
// vanish after 1 s. Guards against inversion while the servers that are left take all.
test("with half of the servers gone the urgent kind keeps its answers", async () => {
  const third = createServer({
    id: brandString<ServerId>("s3"),
    address: "10.0.0.3:80",
  });
  const fourth = createServer({
    id: brandString<ServerId>("s4"),
    address: "10.0.0.4:80",
  });
  const servers = await createServers(2, first, second, third, fourth);
  const { fixture } = servers;
  fixture.clock.schedule(millis(1_000), () => {
    for (const server of [third, fourth])
      fixture.register({ ...server, leaving: true });
  });
  const tally = await play(servers, { interval: 50, duration: 4_000 });
  const text = JSON.stringify(tally);
  const share = (kind: string) =>
    (tally[kind]?.served ?? 0) / (tally[kind]?.opened ?? 1);
  assert.ok(share("urgent") >= 0.95, text);
  assert.ok(share("urgent") >= share("usual"), text);
  assert.ok(share("usual") >= share("idle"), text);
});
