import { type Millis, millis } from "../clock.ts";
import { type CreditLot, CreditLots, sumLots } from "./quota_credit.ts";
import type { QuotaTerms } from "./quota_terms.ts";

/** Places of accounts: at each node, at the pool of a data centre, at the pool of all. */
export const quotaLevels = ["node", "pool", "root"] as const;

/** Place of an account. */
export type QuotaLevel = (typeof quotaLevels)[number];

/** States of the credit at an account that was asked: no more for now, some, or so much that nothing need be lent to it. */
export const creditStates = ["dry", "some", "ample"] as const;

/** State of the credit at an account that was asked. */
export type CreditState = (typeof creditStates)[number];

/** Units that an account asks for: for what waits, and ahead of what is expected. */
export type CreditDemand = {
  readonly need: number;
  readonly ahead: number;
};

/** Answer to a demand. */
export type CreditGrant = {
  readonly lots: readonly CreditLot[];
  /** Units of the need that were not granted. */
  readonly unmet: number;
  readonly state: CreditState;
};

/** What an account sends to the one above it in an exchange, apart from the need of what waits. */
export type ExchangePlan = {
  readonly lent: readonly CreditLot[];
  readonly ahead: number;
  /** There is credit to lend, and the account above may not get it. */
  readonly isHeldBack: boolean;
};

/** Time over which demand and inflow are averaged, in ms. */
const averageTime = 1_000;
/** Time of the expected demand that an account holds credit for, in ms. */
const holdTime: Record<QuotaLevel, number> = { node: 400, pool: 600, root: 0 };
/** Smallest part of a request that is held for the next one. */
const minHeldRequest = 0.5;
/** An account lends above, and asks below, these multiples of what it holds. */
const lendFactor = 1.25;
const askFactor = 0.7;
/** Share of the balance that is granted ahead at most, so that one account does not get all. */
const aheadShare = 0.5;
/** Part of its lifetime that granted credit has left at least, so that it reaches the one who asks. */
const minGrantedLife = 0.06;
/** Time without lending after the account above has enough, in ms, and as a part of the lifetime. */
const maxAmpleTime = 2_000;
const ampleLifetimeShare = 0.25;
/** Smallest amount that is lent, and least demand for which credit is asked ahead, as a part of all that can be held. */
const minLentShare = 0.000_5;
/** Time for which the account above counts as dry, in ms. */
const dryTime = 200;
/** Least pace at which credit comes in where it is asked for, as a part of the rate. */
const minPaceShare = 0.05;
/** Share of the refused units that is asked for again before a later request. */
const refusedShare = 0.5;
/** Share of all that can be held that a request larger than that waits for. */
const oversizeShare = 0.8;

/** Average of units per second that fades with time. */
class RateAverage {
  #perSecond = 0;
  #at: Millis;

  constructor(now: Millis) {
    this.#at = now;
  }

  add(units: number, now: Millis): void {
    this.#perSecond = this.find(now) + (units * 1_000) / averageTime;
    this.#at = now;
  }

  find(now: Millis): number {
    return this.#perSecond * Math.exp((this.#at - now) / averageTime);
  }
}

/** Credit of one organisation at one node, pool or the pool of all. */
export class QuotaAccount {
  readonly #level: QuotaLevel;
  readonly #lots = CreditLots.create();
  readonly #demand: RateAverage;
  readonly #inflow: RateAverage;
  #terms: QuotaTerms;
  #earnedAt: Millis;
  #hasEarned = false;
  /** Units of the latest request. */
  #lastUnits = 0;
  #ampleUntil = Number.NEGATIVE_INFINITY;
  #dryUntil = Number.NEGATIVE_INFINITY;

  private constructor(level: QuotaLevel, terms: QuotaTerms, now: Millis) {
    this.#level = level;
    this.#terms = terms;
    this.#earnedAt = now;
    this.#demand = new RateAverage(now);
    this.#inflow = new RateAverage(now);
  }

  /** Creates an account without credit. */
  static create(
    level: QuotaLevel,
    terms: QuotaTerms,
    now: Millis,
  ): QuotaAccount {
    return new QuotaAccount(level, terms, now);
  }

  get terms(): QuotaTerms {
    return this.#terms;
  }

  /** Applies other terms at once; credit is cut down to what lower ones allow. */
  update(terms: QuotaTerms): void {
    const before = this.#capacity();
    this.#terms = terms;
    const after = this.#capacity();
    if (after < before) this.#lots.scale(after / before);
    this.#ampleUntil = Number.NEGATIVE_INFINITY;
  }

  /** Adds the part of the rate of the time since the last call, and at first that of the credit to begin with. */
  earn(part: number, now: Millis): void {
    if (part > 0) this.#begin(part, now);
    const { rate } = this.#terms.quota;
    const { lifetime } = this.#terms;
    const elapsed = Math.min(now - this.#earnedAt, lifetime);
    this.#earnedAt = now;
    this.#lots.expire(now - lifetime);
    const amount = (rate * part * elapsed) / 1_000;
    // The middle of the time in which it was earned.
    const born = millis(now - elapsed / 2);
    if (amount > 0) this.receive([{ amount, born }], now);
  }

  #begin(part: number, now: Millis): void {
    if (this.#hasEarned) return;
    this.#hasEarned = true;
    const amount = this.#terms.startCredit * part;
    if (amount > 0) this.receive([{ amount, born: now }], now);
  }

  /** Units that may be used now; negative while a debt is open. */
  balance(now: Millis): number {
    this.#lots.expire(now - this.#terms.lifetime);
    return this.#lots.balance;
  }

  /** Records units that are asked for, whether they are had or not. */
  recordDemand(units: number, now: Millis): void {
    this.#lastUnits = units;
    this.#demand.add(units, now);
  }

  /** Takes the credit of one request; undefined if it does not suffice. */
  take(units: number, now: Millis): CreditLot[] | undefined {
    if (this.balance(now) < this.findThreshold(units)) return undefined;
    const lots = this.#lots.takeOldest(units);
    const missing = units - sumLots(lots);
    if (missing > 0) this.#lots.borrow(missing);
    return lots;
  }

  /** Balance with which a request passes: its units, or most of what can ever be held. */
  findThreshold(units: number): number {
    return Math.min(units, this.#capacity() * oversizeShare);
  }

  /** Takes credit that was lent, granted or given back. */
  receive(lots: readonly CreditLot[], now: Millis): void {
    const { lifetime } = this.#terms;
    for (const lot of lots) {
      // A clock that was set forward elsewhere must not prolong the lifetime.
      const born = millis(Math.min(lot.born, now));
      this.#lots.add({ amount: lot.amount, born }, lifetime);
    }
    this.#inflow.add(sumLots(lots), now);
    this.#lots.expire(now - lifetime);
  }

  /** Grants what another account asks for, as far as there is credit. */
  grant({ need, ahead }: CreditDemand, now: Millis): CreditGrant {
    const balance = Math.max(0, this.balance(now));
    const free = Math.max(0, balance - need) * aheadShare;
    const wanted = need + Math.min(ahead, free);
    const { lifetime } = this.#terms;
    this.#lots.expire(now - lifetime * (1 - minGrantedLife));
    const lots = this.#lots.takeOldest(Math.min(wanted, balance));
    this.#demand.add(need + Math.min(ahead, need + free), now);
    const missing = Math.max(0, need - sumLots(lots));
    const lent = this.#borrow(missing, now);
    const unmet = missing - (lent?.amount ?? 0);
    return {
      lots: lent === undefined ? lots : [...lots, lent],
      unmet,
      state: this.#describe(unmet, now),
    };
  }

  /** What to send to the account above, apart from the need of what waits. */
  plan(now: Millis, mayLend: boolean): ExchangePlan {
    const balance = this.balance(now);
    const held = this.#findHeld(now);
    const smallest = this.#capacity() * minLentShare;
    if (balance > held * lendFactor) {
      const surplus = balance - held;
      const isLent = surplus >= smallest && now >= this.#ampleUntil;
      const lent = isLent && mayLend ? this.#lots.takeOldest(surplus) : [];
      return { lent, ahead: 0, isHeldBack: isLent && !mayLend };
    }
    const isUsed = this.#demand.find(now) >= smallest;
    const isShort = isUsed && balance < held * askFactor;
    const ahead = isShort ? held - balance : 0;
    return { lent: [], ahead, isHeldBack: false };
  }

  /** Records the state of the account above. */
  recordState(state: CreditState, now: Millis): void {
    const time = Math.min(
      maxAmpleTime,
      this.#terms.lifetime * ampleLifetimeShare,
    );
    this.#ampleUntil =
      state === "ample" ? now + time : Number.NEGATIVE_INFINITY;
    this.#dryUntil = state === "dry" ? now + dryTime : Number.NEGATIVE_INFINITY;
  }

  /** Whether the account above had nothing of late, so that a wait for it is in vain. */
  isDry(now: Millis): boolean {
    return now < this.#dryUntil;
  }

  /** Time in which the units of a refused request come in, behind those that were refused of late. */
  estimateWait(units: number, now: Millis): Millis {
    const { rate } = this.#terms.quota;
    const pace = Math.max(this.#inflow.find(now), rate * minPaceShare);
    const missing = Math.max(0, units - Math.max(0, this.balance(now)));
    const refused = Math.max(0, this.#demand.find(now) - pace);
    const ahead = refused * refusedShare * (averageTime / 1_000);
    return millis(((missing + ahead) * 1_000) / pace);
  }

  #capacity(): number {
    const { quota, lifetime } = this.#terms;
    return (quota.rate * lifetime) / 1_000;
  }

  #findHeld(now: Millis): number {
    const demand = this.#demand.find(now);
    const { quota, poolReserve } = this.#terms;
    const time = holdTime[this.#level];
    const expected = (Math.min(demand, quota.rate) * time) / 1_000;
    // A node with few requests has no use for a part of one.
    if (expected < this.#lastUnits * minHeldRequest) return 0;
    return this.#level === "pool" ? expected + poolReserve : expected;
  }

  #borrow(missing: number, now: Millis): CreditLot | undefined {
    if (this.#level !== "pool" || missing <= 0) return undefined;
    const debt = Math.max(0, -this.#lots.balance);
    const amount = Math.floor(Math.min(missing, this.#terms.poolDebt - debt));
    if (amount <= 0) return undefined;
    this.#lots.borrow(amount);
    return { amount, born: now };
  }

  #describe(unmet: number, now: Millis): CreditState {
    const { ample, poolReserve } = this.#terms;
    const balance = this.balance(now);
    if (this.#level === "root") {
      if (balance >= ample) return "ample";
      return unmet > 0 ? "dry" : "some";
    }
    if (now < this.#ampleUntil && balance >= poolReserve) return "ample";
    return unmet > 0 && this.isDry(now) ? "dry" : "some";
  }
}
