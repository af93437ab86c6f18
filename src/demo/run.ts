import { Keyring, readKeyFile } from "../adapters/keys/keyring.ts";
import { createOperatorClient } from "../adapters/peers/operator_client.ts";
import { type Clock, millis, sleep } from "../core/clock.ts";
import type { Daemon } from "../node/daemon.ts";
import { type BookingResult, bookTwice } from "./booking_client.ts";
import { type DraftResult, sendDraft } from "./draft_client.ts";
import type { Installation } from "./installation.ts";

/** Number of adapters in the demo's sheet. */
export const demoAdapterCount = 60;
/** Drafts in each of the first two rounds. */
const draftsPerRound = 60;
/** Drafts in the last round. */
const draftsInLastRound = 18;
/** Total number of bookings. */
const bookingCount = 12;
/** Tokens of an ordinary draft. */
const draftTokens = 12;
/** Tokens of the long drafts during which the faults occur. */
const longTokens = 120;
/** Maximum number of drafts in flight. */
const draftsInFlight = 12;
/** Delay of each worker between two drafts, in ms. */
const draftDelay = 50;
/** Timeout for all nodes to become ready, in ms. */
const readyTimeout = 30_000;

const customers = ["giewont", "rysy", "babia", "tarnica"];

/** Results of a demo run. */
export type DemoResult = {
  readonly drafts: readonly DraftResult[];
  readonly bookings: readonly BookingResult[];
  /** Engine that restarted without adapters. */
  readonly restartedEngine: string;
  /** Node that was drained and stopped. */
  readonly stoppedNode: string;
  readonly revision: number;
};

/** Lists the adapter versions in the demo's sheet. */
export function listDemoAdapters(): string[] {
  return Array.from(
    { length: demoAdapterCount },
    (_, index) =>
      `rental-${String(index).padStart(2, "0")}@v${1 + (index % 2)}`,
  );
}

/** Applies a sheet, sends drafts and bookings, and meanwhile crashes an engine and drains a node. */
export async function runDemo(
  installation: Installation,
  clock: Clock,
): Promise<DemoResult> {
  const { daemons, site } = installation;
  const revision = await applyDemoSheet(installation, clock);
  await waitUntilReady(daemons, clock);
  const first = await sendDrafts(daemons, { clock, tokens: draftTokens });
  const bookings = await sendBookings(daemons);
  const [restartedEngine, engine] = [...site.engines][0] as [
    string,
    { crash(): void },
  ];
  const leaving = daemons[1] as Daemon;
  const others = daemons.filter((daemon) => daemon !== leaving);
  const injectFaults = async (): Promise<void> => {
    await sleep(clock, millis(400));
    engine.crash();
    await sleep(clock, millis(400));
    leaving.drain();
    await leaving.stopped;
  };
  const [second] = await Promise.all([
    sendDrafts(daemons, { clock, tokens: longTokens, leaving }),
    injectFaults(),
  ]);
  const third = await sendDrafts(others, {
    clock,
    tokens: draftTokens,
    count: draftsInLastRound,
  });
  return {
    drafts: [...first, ...second, ...third],
    bookings,
    restartedEngine,
    stoppedNode: leaving.nodeId,
    revision,
  };
}

/** Applies the demo's sheet through the first node and returns its revision. */
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

/** Waits until every node accepts requests and the engines have owners. */
export async function waitUntilReady(
  daemons: readonly Daemon[],
  clock: Clock,
): Promise<void> {
  const deadlineAt = clock.now() + readyTimeout;
  while (!daemons.every((daemon) => daemon.ready)) {
    if (clock.now() > deadlineAt)
      throw new Error("Not every node became ready in time");
    await sleep(clock, millis(50));
  }
  // Nodes acquire the engines within a few lease renewals.
  await sleep(clock, millis(3_000));
}

/** Sends drafts for the adapters in turn, distributed over the nodes, with bounded concurrency. */
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
      await sleep(options.clock, millis(draftDelay));
    }
  };
  await Promise.all(Array.from({ length: draftsInFlight }, runWorker));
  return results;
}

/** Selects nodes round robin; like a load balancer it skips a draining node that is no longer ready. */
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
