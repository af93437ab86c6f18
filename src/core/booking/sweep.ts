import type { Millis } from "../clock.ts";
import type { ServiceName } from "../ids.ts";
import { isExpiredClaim, parseClaim } from "./claim.ts";

/** Hex digits of a claim digest that select the rows of one sweep step. */
const prefixDigits = 3;
/** Maximum number of rows that one sweep step removes. */
export const maxSweptRows = 500;
/** Maximum number of rows that one transaction of the sweep removes. */
export const maxSweptBatch = 100;

/** Key prefix of a random part of the claims of one service. */
export function chooseSweepPrefix(
  services: readonly ServiceName[],
  random: () => number,
): string | undefined {
  const service = services[Math.floor(random() * services.length)];
  if (service === undefined) return undefined;
  const part = Math.floor(random() * 16 ** prefixDigits);
  const digits = part.toString(16).padStart(prefixDigits, "0");
  return `claim/${service}/${digits}`;
}

/** Rows to remove, in batches of one transaction each. */
export function selectExpired<Found extends { readonly value: unknown }>(
  rows: readonly Found[],
  wallNow: Millis,
): readonly (readonly Found[])[] {
  const expired = rows
    .filter(({ value }) => {
      const claim = parseClaim(value);
      return claim !== undefined && isExpiredClaim(claim, wallNow);
    })
    .slice(0, maxSweptRows);
  const batches: Found[][] = [];
  for (let start = 0; start < expired.length; start += maxSweptBatch) {
    batches.push(expired.slice(start, start + maxSweptBatch));
  }
  return batches;
}
