import { createSeededRandom } from "../../adapters/random/seeded_random.ts";
import { VirtualClock } from "../../adapters/time/virtual_clock.ts";
import { type Millis, millis } from "../../core/clock.ts";
import {
  type GatewayRoute,
  groupRoutes,
} from "../../core/gateway/configuration.ts";
import {
  brandNumber,
  brandString,
  type DataCentre,
  type Region,
  type ServiceName,
} from "../../core/ids.ts";
import { Gateway } from "../../node/gateway/gateway.ts";
import { noBacklog } from "../../ports/event_backlog.ts";
import { silentJournal, silentMeter } from "../../ports/journal.ts";
import { noRelays } from "../../ports/relays.ts";
import { MemoryTable } from "../../standins/memory_table.ts";
import type { Experiment, Figures } from "../experiment.ts";
import { PausingFleet } from "../pausing_fleet.ts";
import { drawExponential } from "../random.ts";
import { Distribution } from "../statistics.ts";

/** Requests a second: half of what all servers can serve, three quarters of two thirds of them. */
const rate = 720;
/** Length of one run, in ms. */
const runLength = 30_000;
/** Time that a caller waits, in ms. */
const deadline = millis(2_000);

const service: ServiceName = brandString("booking");
const dataCentre: DataCentre = brandString("tatry-a");
const region: Region = brandString("tatry");

const route: GatewayRoute = {
  name: "route",
  host: "h.example",
  prefix: "/",
  retryRule: "repeatable",
  resumable: false,
  timeout: deadline,
  targetLatency: millis(200),
  priority: 0,
  maxAttempts: 2,
  targets: [{ service, weight: 1 }],
};

/** Sends one request; resolves to whether it was served. */
type Send = (number: number) => Promise<boolean>;

/** A node that follows the notices of the servers, or hears none of them. */
function createGateway(
  clock: VirtualClock,
  fleet: PausingFleet,
  options: { readonly hearsNotices: boolean; readonly seed: number },
): Send {
  const gateway = Gateway.create({
    identity: {
      machine: brandString("n1"),
      process: "p1",
      dataCentre,
      region,
      regions: new Map([[dataCentre, region]]),
      peerAddress: "10.0.1.1:7000",
    },
    clock,
    random: createSeededRandom(options.seed),
    journal: silentJournal,
    meter: silentMeter,
    links: fleet.createLinks(),
    backlog: noBacklog,
    probe: async () => true,
    relayLinks: noRelays,
    notices: options.hearsNotices ? fleet : { follow() {} },
    retryLimits: { ratio: 0.2, slack: 50, window: millis(10_000) },
    table: MemoryTable.create(clock),
    streamTable: MemoryTable.create(clock),
    readLeaseRows: async () => undefined,
    feed: {
      viewTime: () => clock.now(),
      follow: (listener) => {
        const value = {
          revision: brandNumber<never>(1),
          routes: groupRoutes([route]),
          services: new Map([
            [
              service,
              { name: service, maxConnections: 100, engine: undefined },
            ],
          ]),
          limits: {
            maxHeaderBytes: 16_384,
            maxBodyBytes: 1_000_000,
            headerTimeout: millis(3_000),
            idleTimeout: millis(15_000),
          },
        };
        const origin = { rowVersion: 1, source: undefined, maxAge: 0 };
        listener({ type: "configuration", value });
        for (const server of fleet.servers) {
          const change = { type: "present", server } as const;
          listener({ type: "server", change, origin });
        }
        listener({ type: "complete", topic: "operator" });
        listener({ type: "complete", topic: "servers" });
      },
      stop() {},
    },
    orders: {
      order: async () => ({ kind: "unreachable" }),
      fetchStatus: () => Promise.reject(new Error("There is no engine")),
    },
    nodeLinks: {
      acquire: async () => ({ kind: "refused", reason: "unreachable" }),
      requestModel: async () => ({ kind: "refused", reason: "unreachable" }),
      requestPermit: async () => undefined,
      findStream: async () => undefined,
    },
    followTableRows() {},
    nodeChannel: { send() {}, onMessage() {}, close() {} },
  });
  return (number) =>
    new Promise((resolve) => {
      gateway.open(
        {
          requestId: brandString(`r${number}`),
          method: "POST",
          host: "h.example",
          target: "/",
          path: "/",
          headers: [],
          body: new Uint8Array(0),
          demand: undefined,
          deadline,
          resumeAfter: undefined,
          arrivedAt: clock.now(),
        },
        {
          start() {},
          write: () => true,
          end: () => resolve(true),
          refuse: () => resolve(false),
          abort: () => resolve(false),
        },
      );
    });
}

/** Sends to random servers, again at once after each refusal, until the deadline. */
function createBlindSender(
  clock: VirtualClock,
  fleet: PausingFleet,
  random: () => number,
): Send {
  const { servers } = fleet;
  return () => {
    const until = clock.now() + deadline;
    return new Promise((resolve) => {
      const attempt = () => {
        if (clock.now() >= until) return resolve(false);
        const server = servers[Math.floor(random() * servers.length)];
        if (server === undefined) return resolve(false);
        fleet.run(server, (arrival) =>
          arrival === "served" ? resolve(true) : attempt(),
        );
      };
      attempt();
    });
  };
}

async function run(variant: string, seed: number): Promise<Figures> {
  const clock = VirtualClock.create();
  const fleet = PausingFleet.create(clock, service);
  const random = createSeededRandom(seed + 1_000);
  const send =
    variant === "blind"
      ? createBlindSender(clock, fleet, random)
      : createGateway(clock, fleet, {
          hearsNotices: variant === "notices",
          seed,
        });
  const waits = Distribution.create();
  let served = 0;
  let sent = 0;
  const arrive = async () => {
    const startedAt: Millis = clock.now();
    const isServed = await send(sent++);
    if (!isServed) return;
    served++;
    waits.record(clock.now() - startedAt);
  };
  for (let at = 0; at < runLength; at += drawExponential(1_000 / rate, random))
    clock.schedule(millis(at), () => void arrive());
  await clock.advance(millis(runLength + deadline));
  return {
    servedShare: served / sent,
    medianMillis: waits.percentile(50),
    p99Millis: waits.percentile(99),
    arrivalsInPausePerSecond: (fleet.arrivalsInPause * 1_000) / runLength,
  };
}

/** Effect of following the pauses that servers ask for, a third of them at a time. */
export const experiment: Experiment = {
  name: "pausing_servers",
  summary:
    "One node, nine servers with 8 slots and 50 ms a request, on virtual time; a third in turn wants nothing for 2 s. notices: the node follows Retry-After. deaf: it does not, with retry budget and health. blind: random servers, again at once after each refusal.",
  variants: ["notices", "deaf", "blind"],
  run,
  comparisons: [
    { figure: "servedShare", variant: "notices", baseline: "deaf" },
    { figure: "p99Millis", variant: "notices", baseline: "deaf" },
    { figure: "p99Millis", variant: "notices", baseline: "blind" },
    {
      figure: "arrivalsInPausePerSecond",
      variant: "notices",
      baseline: "blind",
    },
  ],
  targets: [],
};
