const fnvOffset = 0x811c9dc5;
const fnvPrime = 0x01000193;

/** FNV-1a over two strings with a final mix, since plain FNV distributes short keys unevenly. */
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

/** The candidates by descending hash for a key; ties go to the lower name. */
export function rankByRendezvous<Name extends string>(
  key: string,
  candidates: Iterable<Name>,
): Name[] {
  return [...candidates]
    .map((name) => ({ name, hash: hashPair(key, name) }))
    .sort((a, b) => b.hash - a.hash || compareText(a.name, b.name))
    .map(({ name }) => name);
}

/** Number of values of a hash. */
const hashRange = 2 ** 32;

/**
 * The candidates in rendezvous order, each as likely to come first as its
 * weight is part of the sum; with equal weights as `rankByRendezvous`.
 */
export function rankByWeight<Name extends string>(
  key: string,
  weights: ReadonlyMap<Name, number>,
): Name[] {
  return [...weights]
    .map(([name, weight]) => {
      const draw = (hashPair(key, name) + 0.5) / hashRange;
      return { name, cost: -Math.log(draw) / weight };
    })
    .sort((a, b) => a.cost - b.cost || compareText(a.name, b.name))
    .map(({ name }) => name);
}

/**
 * Assigns each key to the candidate with the highest hash that has capacity
 * left; no candidate gets more than its even share, rounded up. Without the
 * bound, two of three nodes often own all engines, and the loss of one of them
 * stops everything.
 */
export function assignByRendezvous<Key extends string, Name extends string>(
  keys: Iterable<Key>,
  candidates: readonly Name[],
): Map<Key, Name> {
  const ranked = [...keys].flatMap((key) =>
    candidates.map((name) => ({ key, name, hash: hashPair(key, name) })),
  );
  ranked.sort(
    (a, b) =>
      b.hash - a.hash ||
      compareText(a.key, b.key) ||
      compareText(a.name, b.name),
  );
  const keyCount =
    candidates.length === 0 ? 0 : ranked.length / candidates.length;
  const capacity = Math.ceil(keyCount / Math.max(1, candidates.length));
  const assigned = new Map<Key, Name>();
  const counts = new Map<Name, number>();
  for (const { key, name } of ranked) {
    const count = counts.get(name) ?? 0;
    if (assigned.has(key) || count >= capacity) continue;
    assigned.set(key, name);
    counts.set(name, count + 1);
  }
  return assigned;
}

function compareText(a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0;
}
