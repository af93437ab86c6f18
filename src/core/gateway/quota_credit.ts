import type { Millis } from "../clock.ts";

/** Credit of one organisation that was earned at about the same time. */
export type CreditLot = {
  readonly amount: number;
  /** Time at which the oldest part of it was earned. */
  readonly born: Millis;
};

/** Number of lots that a full lifetime is divided into. */
const lotsPerLifetime = 16;

/**
 * Credit of one organisation in one place. Credit expires a lifetime after it
 * was earned, wherever it is by then, so that all nodes together never hold
 * more than the rate brings in a lifetime.
 */
export class CreditLots {
  /** Oldest first. */
  #lots: { amount: number; born: Millis }[] = [];
  #debt = 0;

  private constructor() {}

  static create(): CreditLots {
    return new CreditLots();
  }

  /** Units that may be used; negative while a debt is open. */
  get balance(): number {
    let sum = -this.#debt;
    for (const { amount } of this.#lots) sum += amount;
    return sum;
  }

  /** Adds credit, which pays off the debt first. */
  add({ amount, born }: CreditLot, lifetime: Millis): void {
    const paid = Math.min(this.#debt, amount);
    this.#debt -= paid;
    const rest = amount - paid;
    if (rest <= 0) return;
    const next = this.#lots.findIndex((lot) => lot.born > born);
    const at = next < 0 ? this.#lots.length : next;
    const older = this.#lots[at - 1];
    if (older !== undefined && born - older.born < lifetime / lotsPerLifetime)
      older.amount += rest;
    else this.#lots.splice(at, 0, { amount: rest, born });
  }

  /** Takes up to `amount` units, those that expire first. */
  takeOldest(amount: number): CreditLot[] {
    const taken: CreditLot[] = [];
    let missing = amount;
    while (missing > 0) {
      const oldest = this.#lots[0];
      if (oldest === undefined) break;
      const part = Math.min(missing, oldest.amount);
      missing -= part;
      taken.push({ amount: part, born: oldest.born });
      if (oldest.amount > part) oldest.amount -= part;
      else this.#lots.shift();
    }
    return taken;
  }

  /** Adds to the debt. */
  borrow(amount: number): void {
    this.#debt += amount;
  }

  /** Removes what was earned at `time` or before. */
  expire(time: number): void {
    while ((this.#lots[0]?.born ?? Number.POSITIVE_INFINITY) <= time)
      this.#lots.shift();
  }

  /** Multiplies all credit by a factor; a debt stays. */
  scale(factor: number): void {
    for (const lot of this.#lots) lot.amount *= factor;
  }
}

/** Units of several lots together. */
export function sumLots(lots: readonly CreditLot[]): number {
  return lots.reduce((sum, { amount }) => sum + amount, 0);
}
