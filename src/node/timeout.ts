import type { Clock, Millis } from "../core/clock.ts";

/** Gives `late` when the promise has not settled after `delay` ms. */
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
