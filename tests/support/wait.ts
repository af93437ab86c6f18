import assert from "node:assert/strict";

/** Interval at which a condition is checked, in ms. */
const checkInterval = 5;
/** Time within which a condition must hold, in ms. */
const waitBound = 2_000;

/** Waits until a condition holds; fails if it does not within the bound. */
export async function waitUntil(
  condition: () => boolean,
  bound = waitBound,
): Promise<void> {
  const end = performance.now() + bound;
  while (!condition()) {
    assert.ok(performance.now() < end, `condition not met within ${bound} ms`);
    await new Promise((resolve) => setTimeout(resolve, checkInterval));
  }
}
