import { Keyring, readKeyFile } from "../adapters/keys/keyring.ts";
import { createOperatorClient } from "../adapters/peers/operator_client.ts";
import { type Clock, millis, sleep } from "../core/clock.ts";
import type { Daemon } from "../node/daemon.ts";
import { type BookingResult, bookTwice } from "./booking_client.ts";
import { type DraftResult, sendDraft } from "./draft_client.ts";
import type { Installation } from "./installation.ts";

/** Adapters of the demo's sheet. */
export const demoAdapterCount = 60;
/** Drafts of each of the first two rounds and of the last one, and bookings in all. */
const draftsPerRound = 60;
const lastRound = 18;
const bookingCount = 12;
/** Tokens of an ordinary draft and of the long ones that faults hit. */
const draftTokens = 12;
const longTokens = 120;
/** Drafts in flight at once. */
const draftsInFlight = 12;
/** Time between two starts of drafts in one lane, in ms. */
const startDelay = 50;
/** Longest wait for all nodes to be ready, in ms. */
const readyTimeout = 30_000;

const customers = ["giewont", "rysy", "babia", "tarnica"];

/** What the demo saw. */
export type DemoResult = {
  readonly drafts: readonly DraftResult[];
  readonly bookings: readonly BookingResult[];
  /** Engine that restarted empty and node that was stopped. */
  readonly restartedEngine: string;
  readonly stoppedNode: string;
  readonly revision: number;
};

/** Adapter versions of the demo's sheet. */
export function listDemoAdapters(): string[] {
  return Array.from(
    { length: demoAdapterCount },
    (_, index) =>
      `rental-${String(index).padStart(2, "0")}@v${1 + (index % 2)}`,
  );
}

/** Applies a sheet, sends drafts and bookings, and brings about two faults on the way. */
export async function runDemo(
  installation: Installation,
  clock: Clock,
): Promise<DemoResult> {
  const { daemons, site } = installation;
  const revision = await applyDemoSheet(installation, clock);
  await waitUntilReady(daemons, clock);
  const first = await sendDrafts(daemons, { clock, tokens: draftTokens });
  const bookings = await sendBookings(daemons);
  const [restartedEngine, model] = [...site.engines][0] as [
    string,
    { crash(): void },
  ];
  const leaving = daemons[1] as Daemon;
  const others = daemons.filter((daemon) => daemon !== leaving);
  const faults = async (): Promise<void> => {
    await sleep(clock, millis(400));
    model.crash();
    await sleep(clock, millis(400));
    leaving.drain();
    await leaving.stopped;
  };
  const [second] = await Promise.all([
    sendDrafts(daemons, { clock, tokens: longTokens, leaving }),
    faults(),
  ]);
  const third = await sendDrafts(others, {
    clock,
    tokens: draftTokens,
    count: lastRound,
  });
  return {
    drafts: [...first, ...second, ...third],
    bookings,
    restartedEngine,
    stoppedNode: leaving.nodeId,
    revision,
  };
}

/** Applies the demo's sheet through the first node. */
export async function applyDemoSheet(
  { daemons, keyFile }: Installation,
  clock: Clock,
): Promise<number> {
  const keys = readKeyFile(keyFile).unsafeCoerce();
  const client = createOperatorClient({
    address: (daemons[0] as Daemon).peers,
    keyring: Keyring.create(keys),
    clock,
  });
  const adapters = listDemoAdapters().map((key, index) => {
    const [name, version] = key.split("@");
    return {
      name,
      versions: [version],
      busy: index < 10 ? [{ from: 0, to: 24 }] : [],
      weight: index < 10 ? 5 : 1,
    };
  });
  const applied = await client.applySheet.mutate({
    base: 0,
    sheet: { adapters },
    operator: "demo",
    attempt: "demo-1",
  });
  return applied.revision;
}

/** Waits until every node takes requests and the engines have owners. */
export async function waitUntilReady(
  daemons: readonly Daemon[],
  clock: Clock,
): Promise<void> {
  const end = clock.now() + readyTimeout;
  while (!daemons.every((daemon) => daemon.ready)) {
    if (clock.now() > end) throw new Error("Not every node became ready");
    await sleep(clock, millis(50));
  }
  // Ownership of the engines is taken within a few renewals.
  await sleep(clock, millis(3_000));
}

/** Sends one draft for each adapter, spread over the nodes, a few at a time. */
async function sendDrafts(
  daemons: readonly Daemon[],
  options: {
    clock: Clock;
    tokens: number;
    count?: number;
    leaving?: Daemon;
  },
): Promise<DraftResult[]> {
  const adapters = listDemoAdapters();
  const results: DraftResult[] = [];
  let next = 0;
  const runWorker = async (): Promise<void> => {
    while (next < (options.count ?? draftsPerRound)) {
      const index = next++;
      const node = selectNode(daemons, index, options.leaving);
      results.push(
        await sendDraft({
          origin: `http://${node.callers}`,
          adapter: adapters[index % adapters.length] as string,
          prompt: `Draft rental terms, case ${index}`,
          tokens: options.tokens,
          customer: customers[index % customers.length] as string,
        }),
      );
      await sleep(options.clock, millis(startDelay));
    }
  };
  await Promise.all(Array.from({ length: draftsInFlight }, runWorker));
  return results;
}

/** The next node in turn; the balancer sends nothing new to a node that is not ready. */
function selectNode(
  daemons: readonly Daemon[],
  index: number,
  leaving: Daemon | undefined,
): Daemon {
  const node = daemons[index % daemons.length] as Daemon;
  if (node !== leaving || node.ready) return node;
  return daemons[(index + 1) % daemons.length] as Daemon;
}

async function sendBookings(
  daemons: readonly Daemon[],
): Promise<BookingResult[]> {
  const origin = (index: number) =>
    `http://${(daemons[index % daemons.length] as Daemon).callers}`;
  return Promise.all(
    Array.from({ length: bookingCount }, (_, index) =>
      bookTwice({
        origins: [origin(index), origin(index + 4)],
        key: `booking-${index}`,
        customer: customers[index % customers.length] as string,
      }),
    ),
  );
}
