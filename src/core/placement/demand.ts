import { type Millis, millis } from "../clock.ts";
import type { AdapterKey } from "../ids.ts";

/** Request counts of one adapter, decayed over a short and a long time. */
type DemandEntry = { short: number; long: number; at: Millis };

/** Observed demand; holds adapters with recent demand only. */
export type Demand = {
  readonly entries: Map<AdapterKey, DemandEntry>;
  /** Time from which requests were counted. */
  readonly since: Millis;
  /** Adapters that were not counted since the table was full. */
  dropped: number;
};

/** Decay times of the two counts, in ms: the short one follows a step within seconds, the long one keeps adapters with a request every few minutes. */
const shortTime = 10_000;
const longTime = 180_000;
/** Adapters with demand that are tracked at once. */
export const demandLimit = 20_000;
/** Decayed long count below which an adapter is forgotten. */
const forgetBelow = 0.05;

export function createDemand(now: Millis): Demand {
  return { entries: new Map(), since: now, dropped: 0 };
}

/** Counts requests for an adapter. */
export function addDemand(
  demand: Demand,
  options: { adapter: AdapterKey; now: Millis; amount?: number },
): void {
  const { adapter, now, amount = 1 } = options;
  const entry = demand.entries.get(adapter);
  if (entry === undefined) {
    if (demand.entries.size >= demandLimit) {
      demand.dropped++;
      return;
    }
    demand.entries.set(adapter, { short: amount, long: amount, at: now });
    return;
  }
  decay(entry, now);
  entry.short += amount;
  entry.long += amount;
}

/** Requests a second for an adapter: the higher of the recent and the long-term rate. */
export function rateOf(
  demand: Demand,
  options: { adapter: AdapterKey; now: Millis },
): number {
  const entry = demand.entries.get(options.adapter);
  if (entry === undefined) return 0;
  decay(entry, options.now);
  return readRate(entry, millis(options.now - demand.since));
}

/** Drops adapters without recent demand and lists the rates of the others. */
export function listRates(
  demand: Demand,
  now: Millis,
): Map<AdapterKey, number> {
  const rates = new Map<AdapterKey, number>();
  const observed = millis(now - demand.since);
  for (const [adapter, entry] of demand.entries) {
    decay(entry, now);
    if (entry.long < forgetBelow) demand.entries.delete(adapter);
    else rates.set(adapter, readRate(entry, observed));
  }
  return rates;
}

/** Rates of the adapters with the most demand, for other nodes. */
export function summarizeDemand(
  demand: Demand,
  options: { now: Millis; limit: number },
): [AdapterKey, number][] {
  return [...listRates(demand, options.now)]
    .sort((a, b) => b[1] - a[1])
    .slice(0, options.limit);
}

function decay(entry: DemandEntry, now: Millis): void {
  const passed = now - entry.at;
  if (passed <= 0) return;
  entry.short *= Math.exp(-passed / shortTime);
  entry.long *= Math.exp(-passed / longTime);
  entry.at = now;
}

/** The counts cover less than their decay time while the node is young. */
function readRate(entry: DemandEntry, observed: Millis): number {
  const covered = Math.max(1000, observed);
  return Math.max(
    (1000 * entry.short) / Math.min(shortTime, covered),
    (1000 * entry.long) / Math.min(longTime, covered),
  );
}
