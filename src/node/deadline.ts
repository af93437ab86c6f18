import type { Clock, Millis } from "../core/clock.ts";

/** Gives `late` when the promise has not settled after `delay` ms. */
export function answerWithin<Value>(
  clock: Clock,
  promise: Promise<Value>,
  options: { delay: Millis; late: Value },
): Promise<Value> {
  return new Promise((resolve, reject) => {
    const cancel = clock.schedule(options.delay, () => resolve(options.late));
    promise.then(resolve, reject).finally(cancel);
  });
}
