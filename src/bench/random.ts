import { mersenne } from "pure-rand";

/** Seeded source of numbers from 0 up to, but not including, 1. */
export function createRandom(seed: number): () => number {
  const generator = mersenne(seed);
  return () => (generator.unsafeNext() >>> 0) / 2 ** 32;
}

/** Draws a waiting time with the given mean, for independent arrivals. */
export function drawExponential(mean: number, random: () => number): number {
  return -mean * Math.log(1 - random());
}

/** Draws a whole number from `from` to `to`, both included. */
export function drawBetween(
  { from, to }: { from: number; to: number },
  random: () => number,
): number {
  return from + Math.floor(random() * (to - from + 1));
}

/** Draws ranks from 0 under a Zipf law, most frequent first. */
export function createZipf(
  { count, exponent }: { count: number; exponent: number },
  random: () => number,
): () => number {
  const cumulative = new Float64Array(count);
  let sum = 0;
  for (let rank = 0; rank < count; rank++) {
    sum += 1 / (rank + 1) ** exponent;
    cumulative[rank] = sum;
  }
  return () => findRank(cumulative, random() * sum);
}

function findRank(cumulative: Float64Array, target: number): number {
  let low = 0;
  let high = cumulative.length - 1;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((cumulative[middle] as number) < target) low = middle + 1;
    else high = middle;
  }
  return low;
}
