import { type Millis, millis } from "../clock.ts";

/** Requests that may follow one another at once, at low rates and as a share of a second at high ones. */
const minBurst = 2;
const burstTime = 0.1;
/** Shortest time until a refused node asks again, in ms. */
const minRetryDelay = 50;

/**
 * Requests of all nodes to one server, as its allocator gives them out: a
 * bucket that fills at the rate of the limit and lends what a short wait brings.
 */
export type RateAllocation = {
  /** Requests that may be sent now; negative while earlier ones have yet to be sent. */
  credit: number;
  refilledAt: Millis;
};

/** Answer to one request for a permit. */
export type RateGrant =
  /** The request may be sent `inMs` ms from now. */
  | { readonly kind: "granted"; readonly inMs: Millis }
  /** Nothing is free within the patience; ask again after `retryIn` ms. */
  | { readonly kind: "denied"; readonly retryIn: Millis };

/** Creates an allocation without credit, since requests sent before are not known. */
export function createRateAllocation(now: Millis): RateAllocation {
  return { credit: 0, refilledAt: now };
}

/** Takes one request from the allocation if it may be sent within `patience` ms. */
export function takeFromAllocation(
  allocation: RateAllocation,
  { rate, patience }: { readonly rate: number; readonly patience: Millis },
  now: Millis,
): RateGrant {
  refill(allocation, rate, now);
  const missing = Math.max(0, 1 - allocation.credit);
  const wait = (missing / rate) * 1_000;
  if (wait > patience) {
    const retryIn = millis(Math.max(minRetryDelay, wait - patience));
    return { kind: "denied", retryIn };
  }
  allocation.credit--;
  return { kind: "granted", inMs: millis(wait) };
}

function refill(allocation: RateAllocation, rate: number, now: Millis): void {
  const elapsed = now - allocation.refilledAt;
  const maxCredit = Math.max(minBurst, rate * burstTime);
  const credit = allocation.credit + (rate * elapsed) / 1_000;
  allocation.credit = Math.min(maxCredit, credit);
  allocation.refilledAt = now;
}
