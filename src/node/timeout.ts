import type { Clock, Millis } from "../core/clock.ts";

/** Resolves with `fallback` if the promise has not settled within `timeout` ms. */
export function withTimeout<Value>(
  clock: Clock,
  promise: Promise<Value>,
  options: { timeout: Millis; fallback: Value },
): Promise<Value> {
  return new Promise((resolve, reject) => {
    const cancel = clock.schedule(options.timeout, () =>
      resolve(options.fallback),
    );
    promise.then(resolve, reject).finally(cancel);
  });
}
