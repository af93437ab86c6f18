const numberPattern = /^[+-]?(\d+\.?\d*|\.\d+)(e[+-]?\d+)?$/i;
const infinityPattern = /^\+?inf(inity)?$/i;

/** Parses a number in a header, with fractions and exponents; infinite beyond all numbers, undefined if it is none. */
export function parseHeaderNumber(text: string): number | undefined {
  const trimmed = text.trim();
  if (infinityPattern.test(trimmed)) return Number.POSITIVE_INFINITY;
  return numberPattern.test(trimmed) ? Number(trimmed) : undefined;
}
