import { type Millis, millis } from "../clock.ts";
import type { AdapterKey } from "../ids.ts";

/** Request counts of one adapter, decayed over a short and a long time. */
type DemandEntry = { short: number; long: number; at: Millis };

/** Observed demand; holds adapters with recent demand only. */
export type Demand = {
  readonly entries: Map<AdapterKey, DemandEntry>;
  /** Time from which requests were counted. */
  readonly since: Millis;
  /** Number of updates dropped because `entries` was full. */
  dropped: number;
};

/** Decay times of the two counts, in ms: the short one follows a step within seconds, the long one keeps adapters with a request every few minutes. */
const shortDecayTime = 10_000;
const longDecayTime = 180_000;
/** Maximum number of adapters tracked at once. */
export const demandLimit = 20_000;
/** Decayed short count from which it indicates a surge. */
const surgeThreshold = 4;
/** Rate expected of adapters that are not in the sheet, in requests a second. */
const defaultRate = 0.0005;
/** Number of requests at which the observed rate has the same weight as the expected one. */
const priorRequests = 3;
/** Decayed long count below which an adapter is no longer tracked. */
const minLongCount = 0.05;

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

/** Drops adapters without recent demand and lists the observed rates of the others, in requests a second. */
export function listRates(
  demand: Demand,
  now: Millis,
): Map<AdapterKey, number> {
  const rates = new Map<AdapterKey, number>();
  const observed = millis(now - demand.since);
  for (const [adapter, entry] of demand.entries) {
    decay(entry, now);
    if (entry.long < minLongCount) demand.entries.delete(adapter);
    else rates.set(adapter, estimateObservedRate(entry, observed));
  }
  return rates;
}

/** Lists the rates of the adapters with the most demand, to be sent to other nodes. */
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
  entry.short *= Math.exp(-passed / shortDecayTime);
  entry.long *= Math.exp(-passed / longDecayTime);
  entry.at = now;
}

/** Returns the period that the long count covers, in seconds. */
export function coveredSeconds(demand: Demand, now: Millis): number {
  return Math.max(1000, Math.min(longDecayTime, now - demand.since)) / 1000;
}

/** Estimates the observed rate; the short count applies only to surges, since fewer requests may be a random fluctuation. */
function estimateObservedRate(entry: DemandEntry, observed: Millis): number {
  const covered = Math.max(1000, observed);
  const longTermRate = (1000 * entry.long) / Math.min(longDecayTime, covered);
  if (entry.short < surgeThreshold) return longTermRate;
  return Math.max(
    longTermRate,
    (1000 * entry.short) / Math.min(shortDecayTime, covered),
  );
}

/**
 * Combines the observed and the expected rate into the rate to plan for. Since
 * a few requests may be chance, the weight of the observed rate grows with
 * their number; the expected rate decays when its requests do not arrive.
 */
export function estimateRate(options: {
  observed: number;
  expected: number;
  covered: number;
}): number {
  const { observed, covered } = options;
  const expected = Math.max(options.expected, defaultRate);
  const faded = expected / (1 + expected * covered);
  const requests = observed * covered;
  const weight = requests / (requests + priorRequests);
  return weight * observed + (1 - weight) * faded;
}
