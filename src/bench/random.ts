import { unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";

/** Seeded source of numbers from 0 to 1, the same in every run. */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () =>
    unsafeUniformIntDistribution(0, 0x7fffffff, generator) / 0x80000000;
}

/** Exponentially distributed gap with the given mean. */
export function drawGap(random: () => number, mean: number): number {
  return -Math.log(1 - random()) * mean;
}

/** Middle value of a list of numbers. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? Number.NaN;
}

/** Value below which the given share of a list lies. */
export function percentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.min(
    sorted.length - 1,
    Math.ceil(share * sorted.length) - 1,
  );
  return sorted[Math.max(0, index)] ?? Number.NaN;
}
