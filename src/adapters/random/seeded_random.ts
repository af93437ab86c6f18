import { xoroshiro128plus } from "pure-rand";

/** Deterministic generator of random numbers in [0, 1). */
export function createSeededRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => (generator.unsafeNext() >>> 0) / 2 ** 32;
}
