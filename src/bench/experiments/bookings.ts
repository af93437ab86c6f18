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

/** Time from the effect of a table call to its answer, in ms. */
const tableDelay = 5;
/** Time that the booking service takes, in ms. */
const serviceDelay = millis(10);
/** Bookings of one open-loop run: 20 s of arrivals, at least 400 bookings. */
const openLoopSeconds = 20;
const fewestBookings = 400;
/** Bookings in flight and length of one closed-loop run. */
const closedLoopCallers = 400;
const closedLoopBookings = 20_000;

const service: ServiceName = brandString("depot");
const lease: LeaseId = brandString("lease");

/** One node with a table and a booking service. */
type Desk = {
  readonly desk: ServiceCallManager;
  readonly table: MemoryTable;
  readonly book: (keyed: boolean) => Promise<boolean>;
};

function createDesk(clock: Clock, seed: number): Desk {
  const table = MemoryTable.create(clock);
  table.delay = tableDelay;
  const links = ["s0", "s1", "s2"].map((id) => {
    const link = MemoryService.create(clock);
    link.fault = "late";
    link.answerDelay = serviceDelay;
    return { id, link, leaving: false };
  });
  const desk = ServiceCallManager.create({
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
    const reply = await desk.call({
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
    return reply.isRight();
  };
  return { desk, table, book };
}

/** Bookings arrive at random at a given rate, on virtual time. */
async function runOpenLoop(rate: number, seed: number): Promise<Figures> {
  const clock = VirtualClock.create();
  const { table, book } = createDesk(clock, seed);
  const random = createSeededRandom(seed + 1_000);
  const count = Math.max(fewestBookings, rate * openLoopSeconds);
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

/** Callers book again as soon as they are answered, on real time. */
async function runClosedLoop(keyed: boolean, seed: number): Promise<Figures> {
  const clock = RealClock.create();
  const { desk, table, book } = createDesk(clock, seed);
  table.limits.writes = Number.POSITIVE_INFINITY;
  const startedAt = clock.now();
  let left = closedLoopBookings;
  let answered = 0;
  const call = async () => {
    while (left-- > 0) if (await book(keyed)) answered++;
  };
  await Promise.all(Array.from({ length: closedLoopCallers }, call));
  const seconds = (clock.now() - startedAt) / 1_000;
  await desk.waitIdle();
  desk.stop();
  return {
    bookingsPerSecond: answered / seconds,
    writesPerBooking: table.totals.writes / answered,
    refused: closedLoopBookings - answered,
  };
}

/** Cost of claims: table writes per booking by rate, and bookings a second with claims and without. */
export const experiment: Experiment = {
  name: "bookings",
  summary:
    "One node; table answers after 5 ms, booking service after 10 ms. rate-N: keyed bookings on virtual time. closed-…: 400 callers on real time.",
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
