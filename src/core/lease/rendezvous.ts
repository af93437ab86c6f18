const fnvOffset = 0x811c9dc5;
const fnvPrime = 0x01000193;

/** FNV-1a over two strings with a final mix, since plain FNV spreads short keys badly. */
function hashPair(key: string, candidate: string): number {
  let hash = fnvOffset;
  for (let i = 0; i < key.length; i++) {
    hash = Math.imul(hash ^ key.charCodeAt(i), fnvPrime);
  }
  hash = Math.imul(hash ^ 0xff, fnvPrime);
  for (let i = 0; i < candidate.length; i++) {
    hash = Math.imul(hash ^ candidate.charCodeAt(i), fnvPrime);
  }
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** The candidate with the highest hash for a key; ties go to the lower name. */
export function chooseByRendezvous<Name extends string>(
  key: string,
  candidates: Iterable<Name>,
): Name | undefined {
  let best: Name | undefined;
  let bestHash = -1;
  for (const candidate of candidates) {
    const hash = hashPair(key, candidate);
    if (hash > bestHash || (hash === bestHash && candidate < (best ?? ""))) {
      best = candidate;
      bestHash = hash;
    }
  }
  return best;
}
