import { type Millis, millis } from "../clock.ts";
import type { MachineName, ServerId } from "../ids.ts";
import type { BackendServer, Incarnation } from "./servers.ts";

/** Requests beyond its slots from which a server is overloaded, and free slots from which it no longer is. */
const overloadExcess = 1;
const freeSlots = 2;
/** Change of the load of a overloaded server that is published. */
const loadStep = 3;
/** Minimum time between two publications of a overloaded server, in ms for each node that gets them. */
const intervalPerNode = 0.25;
/** Time after which the report of a node is ignored, in ms. */
const reportLifetime = 3_000;
/** Time after which a published load is ignored, and after which that of a overloaded server is repeated, in ms. */
const overloadLifetime = 1_200;
const repeatInterval = 500;

/** Requests of all nodes at a server, or 0 if it is not overloaded. */
export type ServerOverload = {
  readonly server: Incarnation;
  readonly load: number;
};

type CallReport = { readonly calls: number; readonly at: Millis };

/** Requests of each node at one server, and the load that was published last. */
type CallLedger = {
  readonly born: number | undefined;
  readonly reports: Map<MachineName, CallReport>;
  published: number;
  publishedAt: Millis;
};

/** Requests at the servers of which one node keeps count. */
export type CallLedgers = Map<ServerId, CallLedger>;

/** Records the requests that a node has at a server; returns what all nodes should hear of it. */
export function recordCalls(
  ledgers: CallLedgers,
  { id, born, slots }: Pick<BackendServer, "id" | "born" | "slots">,
  report: {
    readonly from: MachineName;
    readonly calls: number;
    readonly nodes: number;
    readonly now: Millis;
  },
): ServerOverload | undefined {
  const { from, calls, nodes, now } = report;
  let ledger = ledgers.get(id);
  if (ledger === undefined || ledger.born !== born) {
    const publishedAt = millis(Number.NEGATIVE_INFINITY);
    ledger = { born, reports: new Map(), published: 0, publishedAt };
    ledgers.set(id, ledger);
  }
  if (calls > 0) ledger.reports.set(from, { calls, at: now });
  else ledger.reports.delete(from);
  const load = sumCalls(ledger, now);
  const age = now - ledger.publishedAt;
  if (!isNews(ledger, { load, slots, age })) return undefined;
  const isFree = load <= slots - freeSlots;
  // Nodes that hear too late of free slots would all go elsewhere.
  if (!isFree && age < nodes * intervalPerNode) return undefined;
  ledger.published = isFree ? 0 : load;
  ledger.publishedAt = now;
  return { server: { id, born }, load: ledger.published };
}

function isNews(
  { published }: CallLedger,
  {
    load,
    slots,
    age,
  }: { readonly load: number; readonly slots: number; readonly age: number },
): boolean {
  if (published === 0) return load >= slots + overloadExcess;
  if (load <= slots - freeSlots || age >= repeatInterval) return true;
  return Math.abs(load - published) >= loadStep;
}

function sumCalls({ reports }: CallLedger, now: Millis): number {
  let sum = 0;
  for (const [machine, { calls, at }] of reports) {
    if (now > at + reportLifetime) reports.delete(machine);
    else sum += calls;
  }
  return sum;
}

/** Overloaded servers, as a node last heard of them. */
export type OverloadView = Map<
  ServerId,
  ServerOverload & { readonly at: Millis }
>;

/** Records a published load. */
export function recordOverload(
  view: OverloadView,
  overload: ServerOverload,
  now: Millis,
): void {
  if (overload.load === 0) view.delete(overload.server.id);
  else view.set(overload.server.id, { ...overload, at: now });
}

/** Requests of all nodes at a overloaded server; 0 if it is not known to be overloaded. */
export function findOverload(
  view: OverloadView,
  { id, born }: Incarnation,
  now: Millis,
): number {
  const overload = view.get(id);
  if (overload === undefined || overload.server.born !== born) return 0;
  return now < overload.at + overloadLifetime ? overload.load : 0;
}
