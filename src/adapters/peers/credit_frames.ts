import { z } from "zod";
import { millis } from "../../core/clock.ts";
import {
  type CreditState,
  creditStates,
  type QuotaLevel,
  quotaLevels,
} from "../../core/gateway/quota_account.ts";
import { brandString } from "../../core/ids.ts";
import type { CreditEntry, CreditMessage } from "../../ports/quotas.ts";

/** Units are sent as whole numbers of this part. */
const unitScale = 100;
/** Bounds on what one message may hold. */
const maxEntries = 64;
const maxLots = 8;

const name = z.string().min(1).max(256);
const count = z.number().int().min(0);
const lotFrame = z.tuple([count, count]);
/** Organisation, lots, need, ahead, state. */
const entryFrame = z.tuple([
  name,
  z.array(lotFrame).max(maxLots),
  count,
  count,
  count.max(creditStates.length - 1),
]);

/** Type, sender, its session, sequence number, session of the addressee, level, whether it asks, entries. */
export const creditFrame = z.tuple([
  z.literal("credit"),
  name,
  count,
  count,
  count,
  count.max(quotaLevels.length - 1),
  z.boolean(),
  z.array(entryFrame).max(maxEntries),
]);

/** Encodes a message as an array; amounts are rounded down, so that no credit is created. */
export function encodeCredit(message: CreditMessage): unknown[] {
  const { type, from, session, sequence, to, level, isAsk, entries } = message;
  const frames = entries.map(encodeEntry);
  const levelIndex = quotaLevels.indexOf(level);
  return [type, from, session, sequence, to, levelIndex, isAsk, frames];
}

/** Decodes an array that has the form of a message. */
export function decodeCredit(
  frame: z.infer<typeof creditFrame>,
): CreditMessage {
  const [type, from, session, sequence, to, level, isAsk, entries] = frame;
  return {
    type,
    from: brandString(from),
    session,
    sequence,
    to,
    level: quotaLevels[level] as QuotaLevel,
    isAsk,
    entries: entries.map(decodeEntry),
  };
}

function encodeEntry(entry: CreditEntry): unknown[] {
  const { organisation, lots, need, ahead, state } = entry;
  const lotFrames = lots.map(({ amount, age }) => [
    Math.floor(amount * unitScale),
    Math.max(0, Math.ceil(age)),
  ]);
  return [
    organisation,
    lotFrames,
    Math.ceil(need * unitScale),
    Math.ceil(ahead),
    creditStates.indexOf(state),
  ];
}

function decodeEntry([organisation, lots, need, ahead, state]: z.infer<
  typeof entryFrame
>): CreditEntry {
  return {
    organisation: brandString(organisation),
    lots: lots.map(([amount, age]) => ({
      amount: amount / unitScale,
      age: millis(age),
    })),
    need: need / unitScale,
    ahead,
    state: creditStates[state] as CreditState,
  };
}
