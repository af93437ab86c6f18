import { xoroshiro128plus } from "pure-rand";

/** Random numbers from 0 up to 1 that a seed determines. */
export function createSeededRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => (generator.unsafeNext() >>> 0) / 2 ** 32;
}
