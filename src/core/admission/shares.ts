import type { Millis } from "../clock.ts";

/** Decayed amounts of admitted work by party; updated in place. */
export type ShareTable = Map<string, ShareEntry>;

type ShareEntry = { readonly used: number; readonly at: Millis };

/** Decay time of the amounts, in ms, so that shares are balanced over a few seconds. */
const decayTime = 5000;
/** Maximum number of parties tracked at once; those with the least recent work are dropped. */
export const partyLimit = 1024;

/** Adds work that was admitted for a party. */
export function addUse(
  table: ShareTable,
  options: { party: string; tokens: number; now: Millis },
): void {
  const { party, tokens, now } = options;
  const used = readUse(table, { party, now }) + tokens;
  table.set(party, { used, at: now });
  if (table.size > partyLimit) dropLeastUsed(table, now);
}

/** Returns the recent work of a party, in tokens. */
export function readUse(
  table: ShareTable,
  options: { party: string; now: Millis },
): number {
  const entry = table.get(options.party);
  if (entry === undefined) return 0;
  return entry.used * Math.exp(-(options.now - entry.at) / decayTime);
}

/** Returns the highest recent work of any party. */
export function findHighestUse(table: ShareTable, now: Millis): number {
  let highest = 0;
  for (const party of table.keys())
    highest = Math.max(highest, readUse(table, { party, now }));
  return highest;
}

function dropLeastUsed(table: ShareTable, now: Millis): void {
  const ranked = [...table.keys()]
    .map((party) => ({ party, use: readUse(table, { party, now }) }))
    .sort((a, b) => a.use - b.use);
  for (const { party } of ranked.slice(0, partyLimit / 2)) table.delete(party);
}
