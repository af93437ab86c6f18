import { type Millis, millis } from "../clock.ts";

/** Token bucket: `burst` calls at once, `rate` per second in the long run. */
export type Bucket = {
  readonly rate: number;
  readonly burst: number;
  tokens: number;
  filledAt: Millis;
};

/** Creates a full bucket. */
export function createBucket(
  limits: { readonly rate: number; readonly burst: number },
  now: Millis,
): Bucket {
  return { ...limits, tokens: limits.burst, filledAt: now };
}

/** Takes one token; false if there is none. */
export function takeToken(bucket: Bucket, now: Millis): boolean {
  const gained = ((now - bucket.filledAt) / 1000) * bucket.rate;
  bucket.tokens = Math.min(bucket.burst, bucket.tokens + gained);
  bucket.filledAt = millis(now);
  if (bucket.tokens < 1) return false;
  bucket.tokens--;
  return true;
}
