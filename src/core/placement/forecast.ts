import type { Catalog, CatalogEntry } from "../config/catalog.ts";
import { type AdapterKey, formatAdapterKey } from "../ids.ts";

/** Length of the steps that the day is divided into, in hours. */
const stepHours = 1 / 6;
const stepsPerDay = 24 / stepHours;
/** Range of drifts, in steps: from 1 hour early to 3 hours late. */
const minDrift = -6;
const maxDrift = 18;
/** Number of requests after which the weight of older evidence is 1/e. */
const decayRequests = 500;
/** Advantage in log-likelihood that a new drift needs, so that noise does not change the drift. */
const minAdvantage = 10;
/** Assumed share of demand that the sheet does not explain. */
const unexplainedShare = 0.1;

/** Demand forecast of the sheet, shifted by the learned drift. */
export type Forecast = {
  readonly catalog: Catalog | undefined;
  /** Total weight of the busy adapters by step of the day. */
  readonly totals: readonly number[];
  /** Decayed log-likelihood of each drift. */
  readonly logLikelihoods: number[];
  /** Drift in steps; positive when demand comes later than the sheet says. */
  drift: number;
  /** Cached shares of the step they were last computed for. */
  expected: { step: number; shares: Map<AdapterKey, number> } | undefined;
};

/** Creates the forecast of a sheet; the drift learned with an earlier one is kept. */
export function createForecast(
  catalog: Catalog | undefined,
  earlier?: Forecast,
): Forecast {
  const totals = sumWeights(catalog);
  return {
    catalog,
    totals,
    logLikelihoods:
      earlier?.logLikelihoods ??
      new Array<number>(maxDrift - minDrift + 1).fill(0),
    drift: earlier?.drift ?? 0,
    expected: undefined,
  };
}

/** Sums the weights of busy adapters by step, from the starts and ends of their hours. */
function sumWeights(catalog: Catalog | undefined): number[] {
  const changes = new Array<number>(stepsPerDay + 1).fill(0);
  const add = (from: number, to: number, weight: number) => {
    const first = firstStep(from);
    const end = firstStep(to);
    changes[first] = (changes[first] as number) + weight;
    changes[end] = (changes[end] as number) - weight;
  };
  for (const { busy, weight } of catalog?.adapters.values() ?? [])
    for (const { from, to } of busy) {
      if (from <= to) add(from, to, weight);
      else {
        add(from, 24, weight);
        add(0, to, weight);
      }
    }
  let sum = 0;
  return changes.slice(0, stepsPerDay).map((change) => {
    sum += change;
    return sum;
  });
}

/** Returns the first step whose middle is at or after an hour. */
function firstStep(hour: number): number {
  return Math.min(stepsPerDay, Math.max(0, Math.ceil(hour / stepHours - 0.5)));
}

/** Returns the drift in hours. */
export function getDriftHours(forecast: Forecast): number {
  return forecast.drift * stepHours;
}

/** Updates the log-likelihood of each drift with one request: how well it explains demand for this adapter now. */
export function learnDrift(
  forecast: Forecast,
  options: { entry: CatalogEntry | undefined; hour: number },
): void {
  const { entry, hour } = options;
  if (entry === undefined || entry.busy.length === 0) return;
  const { logLikelihoods, totals } = forecast;
  const now = Math.floor(hour / stepHours);
  for (let index = 0; index < logLikelihoods.length; index++) {
    const step = wrapStep(now - (minDrift + index));
    const total = totals[step] as number;
    const explained =
      total > 0 && isBusyAt(entry, step) ? entry.weight / total : 0;
    const likelihood =
      unexplainedShare / Math.max(1, forecast.catalog?.adapters.size ?? 1) +
      (1 - unexplainedShare) * explained;
    logLikelihoods[index] =
      (logLikelihoods[index] as number) * (1 - 1 / decayRequests) +
      Math.log(likelihood);
  }
  adoptDrift(forecast);
}

/** Selects the drift with the highest log-likelihood; on a tie, the one nearest to the present one. */
function adoptDrift(forecast: Forecast): void {
  const { logLikelihoods } = forecast;
  const present = logLikelihoods[forecast.drift - minDrift] as number;
  let best = forecast.drift;
  let most = present + minAdvantage;
  for (let drift = minDrift; drift <= maxDrift; drift++) {
    const value = logLikelihoods[drift - minDrift] as number;
    const nearer =
      Math.abs(drift - forecast.drift) < Math.abs(best - forecast.drift);
    if (value > most + 1e-9 || (value >= most - 1e-9 && nearer)) {
      most = value;
      best = drift;
    }
  }
  forecast.drift = best;
}

/** Lists the expected shares of demand of the adapters busy at this hour, the `limit` largest ones. */
export function listExpected(
  forecast: Forecast,
  options: { hour: number; limit: number },
): ReadonlyMap<AdapterKey, number> {
  const step = wrapStep(Math.floor(options.hour / stepHours) - forecast.drift);
  if (forecast.expected?.step !== step)
    forecast.expected = {
      step,
      shares: listShares(forecast, { step, limit: options.limit }),
    };
  return forecast.expected.shares;
}

function listShares(
  forecast: Forecast,
  { step, limit }: { step: number; limit: number },
): Map<AdapterKey, number> {
  const total = forecast.totals[step] as number;
  const busy: CatalogEntry[] = [];
  for (const entry of forecast.catalog?.adapters.values() ?? [])
    if (isBusyAt(entry, step)) busy.push(entry);
  busy.sort((a, b) => b.weight - a.weight);
  const shares = new Map<AdapterKey, number>();
  for (const { name, versions, weight } of busy.slice(0, limit)) {
    const [version] = versions;
    if (version === undefined) continue;
    shares.set(formatAdapterKey(name, version), weight / total);
  }
  return shares;
}

/** Whether an adapter is expected to be busy in a step of the day; hours may pass midnight. */
function isBusyAt(entry: CatalogEntry, step: number): boolean {
  const hour = (step + 0.5) * stepHours;
  return entry.busy.some(({ from, to }) =>
    from <= to ? hour >= from && hour < to : hour >= from || hour < to,
  );
}

function wrapStep(step: number): number {
  return ((step % stepsPerDay) + stepsPerDay) % stepsPerDay;
}
