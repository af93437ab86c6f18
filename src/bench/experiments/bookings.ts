import { createSeededRandom } from "../../adapters/random/seeded_random.ts";
import { RealClock } from "../../adapters/time/real_clock.ts";
import { VirtualClock } from "../../adapters/time/virtual_clock.ts";
import { type Clock, millis } from "../../core/clock.ts";
import { brandString, type LeaseId, type ServiceName } from "../../core/ids.ts";
import { ServiceCallManager } from "../../node/service_call_manager.ts";
import { silentJournal, silentMeter } from "../../ports/journal.ts";
import { MemoryService } from "../../standins/memory_service.ts";
import { MemoryTable } from "../../standins/memory_table.ts";
import type { Experiment, Figures } from "../experiment.ts";
import { drawExponential } from "../random.ts";
import { Distribution } from "../statistics.ts";

/** Time from the execution of a table call to its response, in ms. */
const tableDelay = 5;
/** Response time of the booking service, in ms. */
const serviceDelay = millis(10);
/** Length of one open-loop run: 20 s of arrivals, but at least 400 bookings. */
const openLoopSeconds = 20;
const minBookings = 400;
/** Concurrency and number of bookings of one closed-loop run. */
const closedLoopCallers = 400;
const closedLoopBookings = 20_000;

const service: ServiceName = brandString("depot");
const lease: LeaseId = brandString("lease");

/** Service calls of one node, with a simulated table and booking service. */
type BookingSimulation = {
  readonly serviceCalls: ServiceCallManager;
  readonly table: MemoryTable;
  readonly book: (keyed: boolean) => Promise<boolean>;
};

function createBookingSimulation(
  clock: Clock,
  seed: number,
): BookingSimulation {
  const table = MemoryTable.create(clock);
  table.delay = tableDelay;
  const links = ["s0", "s1", "s2"].map((id) => {
    const link = MemoryService.create(clock);
    link.fault = "late";
    link.answerDelay = serviceDelay;
    return { id, link, leaving: false };
  });
  const serviceCalls = ServiceCallManager.create({
    clock,
    table,
    listServers: () => links,
    lookups: new Map([[service, []]]),
    journal: silentJournal,
    meter: silentMeter,
    random: createSeededRandom(seed),
    nodeId: brandString("bench"),
    currentLease: () => lease,
  });
  let bookings = 0;
  const body = Buffer.from('{"depot":"zakopane","sets":2,"size":7}');
  const book = async (keyed: boolean) => {
    const number = bookings++;
    const result = await serviceCalls.call({
      service,
      method: "POST",
      path: "/reservations",
      contentType: "application/json",
      body,
      customer: brandString("zakopane"),
      idempotencyKey: keyed ? `key-${number}` : undefined,
      requestId: brandString(`r${number}`),
      deadline: millis(clock.now() + 5_000),
    });
    return result.isRight();
  };
  return { serviceCalls, table, book };
}

/** Runs bookings that arrive as a Poisson process, on virtual time. */
async function runOpenLoop(rate: number, seed: number): Promise<Figures> {
  const clock = VirtualClock.create();
  const { table, book } = createBookingSimulation(clock, seed);
  const random = createSeededRandom(seed + 1_000);
  const count = Math.max(minBookings, rate * openLoopSeconds);
  const latencies = Distribution.create();
  let refused = 0;
  const arrive = async () => {
    const startedAt = clock.now();
    if (await book(true)) latencies.record(clock.now() - startedAt);
    else refused++;
  };
  let at = 0;
  for (let number = 0; number < count; number++) {
    at += drawExponential(1_000 / rate, random);
    clock.schedule(millis(at), () => void arrive());
  }
  await clock.advance(millis(at + 10_000));
  return {
    writesPerBooking: table.totals.writes / latencies.count,
    medianMillis: latencies.percentile(50),
    p99Millis: latencies.percentile(99),
    refused,
  };
}

/** Runs callers that each start the next booking after a response, on real time. */
async function runClosedLoop(keyed: boolean, seed: number): Promise<Figures> {
  const clock = RealClock.create();
  const { serviceCalls, table, book } = createBookingSimulation(clock, seed);
  table.limits.writes = Number.POSITIVE_INFINITY;
  const startedAt = clock.now();
  let left = closedLoopBookings;
  let answered = 0;
  const call = async () => {
    while (left-- > 0) if (await book(keyed)) answered++;
  };
  await Promise.all(Array.from({ length: closedLoopCallers }, call));
  const seconds = (clock.now() - startedAt) / 1_000;
  await serviceCalls.waitIdle();
  serviceCalls.stop();
  return {
    bookingsPerSecond: answered / seconds,
    writesPerBooking: table.totals.writes / answered,
    refused: closedLoopBookings - answered,
  };
}

/** Cost of claims: table writes per booking by rate, and bookings per second with and without claims. */
export const experiment: Experiment = {
  name: "bookings",
  summary:
    "One node; table responds after 5 ms, booking service after 10 ms. rate-N: keyed bookings on virtual time. closed-…: 400 callers on real time.",
  variants: [
    "rate-10",
    "rate-100",
    "rate-1000",
    "closed-keyed",
    "closed-unkeyed",
  ],
  run: (variant, seed) => {
    const rate = /^rate-(\d+)$/.exec(variant)?.[1];
    return rate === undefined
      ? runClosedLoop(variant === "closed-keyed", seed)
      : runOpenLoop(Number(rate), seed);
  },
  comparisons: [
    {
      figure: "bookingsPerSecond",
      variant: "closed-keyed",
      baseline: "closed-unkeyed",
    },
  ],
  targets: [
    {
      figure: "writesPerBooking",
      variant: "rate-1000",
      target: { atMost: 0.2 },
    },
  ],
};
