import { type Millis, millis } from "../clock.ts";
import type { ServerId } from "../ids.ts";

/** Why the owner of an engine gave no adapter, as far as it matters for the next request. */
export type OwnerRefusal = {
  readonly engine: ServerId;
  /** Whether the call failed, so that it is not known when the owner answers again. */
  readonly isUnanswered: boolean;
  /** Maximum wait for the start of a load that the request allowed, in ms. */
  readonly patience: number;
  /** Time after which the owner expects to start a load in time, if it says so, in ms. */
  readonly retryIn: number | undefined;
};

type Hold = {
  readonly until: Millis;
  /** Requests that would wait longer are sent all the same. */
  readonly patience: number;
  readonly refusals: number;
};

/**
 * Recent refusals by the owners of engines; owned by one task and updated in
 * place. It answers the load of many requests that wait for adapters of engines
 * whose loads are queued: each would ask the same owners again at each attempt,
 * until the owners spend their processor time on refusals.
 */
export type OwnerRefusals = { readonly holds: Map<ServerId, Hold> };

/** First and longest time for which an owner is not asked again, in ms; it doubles with each refusal in a row. */
const minHold = 80;
const maxHold = 640;
/** The same after a call that failed. */
const minUnansweredHold = 400;
const maxUnansweredHold = 3_200;
/** Time after its end until which a hold counts as the one before the next, in ms. */
const holdMemory = 1_000;

/** Creates the state without refusals. */
export function createOwnerRefusals(): OwnerRefusals {
  return { holds: new Map() };
}

/** Whether the owner of an engine would refuse a request for a load again. */
export function isHeldOff(
  { holds }: OwnerRefusals,
  engine: ServerId,
  { patience, now }: { readonly patience: number; readonly now: Millis },
): boolean {
  const hold = holds.get(engine);
  return hold !== undefined && now < hold.until && patience <= hold.patience;
}

/** Records a refusal; `spread` in [0, 1) keeps nodes from asking again at the same time. */
export function recordRefusal(
  { holds }: OwnerRefusals,
  { engine, isUnanswered, patience, retryIn }: OwnerRefusal,
  { now, spread }: { readonly now: Millis; readonly spread: number },
): void {
  const last = holds.get(engine);
  const isInARow = last !== undefined && now < last.until + holdMemory;
  const refusals = isInARow ? last.refusals + 1 : 1;
  const [shortest, longest] = isUnanswered
    ? [minUnansweredHold, maxUnansweredHold]
    : [minHold, maxHold];
  const grown = Math.min(longest, shortest * 2 ** (refusals - 1));
  const duration = Math.min(longest, Math.max(retryIn ?? 0, grown));
  const until = millis(now + duration * (1 + spread / 2));
  const isLonger = isInARow && now < last.until && last.patience > patience;
  holds.set(engine, {
    until,
    patience: isUnanswered
      ? Number.POSITIVE_INFINITY
      : isLonger
        ? last.patience
        : patience,
    refusals,
  });
}

/** Records that the owner of an engine gave an adapter. */
export function clearRefusals({ holds }: OwnerRefusals, engine: ServerId) {
  holds.delete(engine);
}
