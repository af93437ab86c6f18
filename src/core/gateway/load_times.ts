/** Weight of the latest load in the mean. */
const latestWeight = 0.08;
/** Bounds of the mean time of a load, in ms. */
const minLoadTime = 20;
const maxLoadTime = 2_000;

/** Where an engine loads an adapter from. */
export type LoadSource = "store" | "host-memory";

/** Mean times from the request for an adapter until an engine has it, in ms; owned by one task and updated in place. */
export type LoadTimes = Record<LoadSource, number>;

/** Creates the load times that are expected before any has been measured. */
export function createLoadTimes(): LoadTimes {
  return { store: 320, "host-memory": 70 };
}

/** Records how long a load took, from the request for it until the adapter is ready. */
export function recordLoad(
  times: LoadTimes,
  source: LoadSource,
  duration: number,
): void {
  const bounded = Math.max(minLoadTime, Math.min(maxLoadTime, duration));
  times[source] += latestWeight * (bounded - times[source]);
}
