import assert from "node:assert/strict";
import { test } from "node:test";
import { millis } from "../../src/core/clock.ts";
import type { BackendServer } from "../../src/core/gateway/servers.ts";
import { brandString, type ServerId } from "../../src/core/ids.ts";
import { GatewayFixture } from "./gateway_fixture.ts";
import { createRoute, createServer } from "./gateway_values.ts";
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
  if (process.env.SHOW_TALLY) console.log(text);
  assert.ok(urgent >= 0.95, text);
  assert.ok(urgent >= usual && usual >= idle, text);
});
