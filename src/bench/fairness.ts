/**
 * Fair shares of a capacity: nobody gets more than asked for, and what some
 * leave is divided equally between the others.
 */
export function computeMaxMinShares(
  asked: ReadonlyMap<string, number>,
  capacity: number,
): Map<string, number> {
  const shares = new Map<string, number>();
  const ranked = [...asked].sort((a, b) => a[1] - b[1]);
  let left = capacity;
  ranked.forEach(([party, amount], index) => {
    const share = Math.min(amount, left / (ranked.length - index));
    shares.set(party, share);
    left -= share;
  });
  return shares;
}

/** Smallest ratio of what a party got to its fair share. */
export function findMinShareRatio(
  asked: ReadonlyMap<string, number>,
  got: ReadonlyMap<string, number>,
): number {
  const total = [...got.values()].reduce((sum, amount) => sum + amount, 0);
  const fair = computeMaxMinShares(asked, total);
  return Math.min(
    ...[...fair].map(([party, share]) => (got.get(party) ?? 0) / share),
  );
}
