import { mersenne } from "pure-rand";

/** Creates a seeded generator of numbers in [0, 1). */
export function createRandom(seed: number): () => number {
  const generator = mersenne(seed);
  return () => (generator.unsafeNext() >>> 0) / 2 ** 32;
}

/** Draws from an exponential distribution with the given mean, as for the gaps of independent arrivals. */
export function drawExponential(mean: number, random: () => number): number {
  return -mean * Math.log(1 - random());
}

/** Draws an integer from `from` to `to`, both inclusive. */
export function drawBetween(
  { from, to }: { from: number; to: number },
  random: () => number,
): number {
  return from + Math.floor(random() * (to - from + 1));
}

/** Creates a generator of Zipf-distributed ranks; 0 is the most frequent. */
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
  return () => searchRank(cumulative, random() * sum);
}

function searchRank(cumulative: Float64Array, target: number): number {
  let low = 0;
  let high = cumulative.length - 1;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((cumulative[middle] as number) < target) low = middle + 1;
    else high = middle;
  }
  return low;
}
