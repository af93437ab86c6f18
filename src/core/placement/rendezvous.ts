import type { EngineId } from "../ids.ts";

/** Engine or region with its relative weight in the placement. */
export type WeightedEngine<Id extends string = EngineId> = {
  readonly engine: Id;
  readonly weight: number;
};

const fnvOffset = 0x811c9dc5;
const fnvPrime = 0x01000193;

/** Computes the 32-bit FNV-1a hash. */
function hashText(text: string): number {
  let hash = fnvOffset;
  for (let index = 0; index < text.length; index++)
    hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime);
  return hash;
}

/** Mixes two hashes; without the final avalanche, similar names would get similar scores. */
function mixHashes(first: number, second: number): number {
  let hash = Math.imul(first, fnvPrime) ^ second;
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * Selects the `count` engines with the highest rendezvous scores for a key,
 * home first. Adding or removing an engine does not reorder the others.
 */
export function selectHomes<Id extends string>(
  key: string,
  options: { engines: Iterable<WeightedEngine<Id>>; count: number },
): Id[] {
  const keyHash = hashText(key);
  const best: { engine: Id; score: number }[] = [];
  for (const { engine, weight } of options.engines) {
    const uniform = (mixHashes(keyHash, hashText(engine)) + 0.5) / 2 ** 32;
    const score = -weight / Math.log(uniform);
    const last = best[options.count - 1];
    if (last !== undefined && score <= last.score) continue;
    const at = best.findIndex((entry) => entry.score < score);
    best.splice(at < 0 ? best.length : at, 0, { engine, score });
    if (best.length > options.count) best.pop();
  }
  return best.map((entry) => entry.engine);
}
