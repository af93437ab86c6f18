/**
 * Computes max-min fair shares of a capacity: no participant gets more than its
 * demand, and unused capacity is divided equally between the others.
 */
export function computeMaxMinShares(
  demands: ReadonlyMap<string, number>,
  capacity: number,
): Map<string, number> {
  const shares = new Map<string, number>();
  const ranked = [...demands].sort((a, b) => a[1] - b[1]);
  let remaining = capacity;
  ranked.forEach(([participant, amount], index) => {
    const share = Math.min(amount, remaining / (ranked.length - index));
    shares.set(participant, share);
    remaining -= share;
  });
  return shares;
}

/** Finds the smallest ratio of received capacity to fair share. */
export function findMinShareRatio(
  demands: ReadonlyMap<string, number>,
  received: ReadonlyMap<string, number>,
): number {
  const total = [...received.values()].reduce((sum, amount) => sum + amount, 0);
  const fair = computeMaxMinShares(demands, total);
  return Math.min(
    ...[...fair].map(
      ([participant, share]) => (received.get(participant) ?? 0) / share,
    ),
  );
}
