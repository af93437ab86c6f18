import type { EngineId } from "../ids.ts";

/** Engine with its share of the placement, relative to the other engines. */
export type WeightedEngine = {
  readonly engine: EngineId;
  readonly weight: number;
};

const fnvOffset = 0x811c9dc5;
const fnvPrime = 0x01000193;

/** Hash of 32 bits: FNV-1a with a final avalanche, since FNV-1a alone leaves the high bits of short keys alike. */
function hashPair(key: string, engine: string): number {
  let hash = fnvOffset;
  for (let index = 0; index < key.length; index++)
    hash = Math.imul(hash ^ key.charCodeAt(index), fnvPrime);
  hash = Math.imul(hash ^ 0x2f, fnvPrime);
  for (let index = 0; index < engine.length; index++)
    hash = Math.imul(hash ^ engine.charCodeAt(index), fnvPrime);
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** Rendezvous score of an engine for a key; the highest score is the home. */
export function scoreEngine(key: string, candidate: WeightedEngine): number {
  const uniform = (hashPair(key, candidate.engine) + 0.5) / 2 ** 32;
  return -candidate.weight / Math.log(uniform);
}

/** The `count` engines with the highest scores for a key, home first. */
export function selectHomes(
  key: string,
  options: { engines: Iterable<WeightedEngine>; count: number },
): EngineId[] {
  const best: { engine: EngineId; score: number }[] = [];
  for (const candidate of options.engines) {
    const score = scoreEngine(key, candidate);
    const last = best[options.count - 1];
    if (last !== undefined && score <= last.score) continue;
    const at = best.findIndex((entry) => entry.score < score);
    best.splice(at < 0 ? best.length : at, 0, {
      engine: candidate.engine,
      score,
    });
    if (best.length > options.count) best.pop();
  }
  return best.map((entry) => entry.engine);
}
