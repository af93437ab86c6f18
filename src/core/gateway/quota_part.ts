import { type Millis, millis } from "../clock.ts";
import { type NodeListRead, ShareTracker } from "./slack_share.ts";

/** Time for which a read of the list of nodes counts, in ms. */
const listValidity = millis(3_000);
/** Part that stays while the list cannot be confirmed, since nodes may have joined. */
const unconfirmedFactor = 0.75;

/** Part of the rate of each organisation that a node earns. */
export class QuotaPart {
  readonly #tracker = ShareTracker.create(listValidity);
  #hasRead = false;
  /** The other nodes count this one when they divide the rate. */
  #isCounted = false;
  #unlistedSince: Millis | undefined;

  private constructor() {}

  static create(): QuotaPart {
    return new QuotaPart();
  }

  /** Records a read of the list, or that the latest one was confirmed. */
  recordRead(read: NodeListRead, now: Millis): void {
    // A row that was there before the process started has been read by all.
    if (!this.#hasRead && read.isListed) this.#isCounted = true;
    this.#hasRead = true;
    if (read.isListed) this.#unlistedSince = undefined;
    else this.#unlistedSince ??= now;
    this.#tracker.recordRead(read, now);
  }

  /** The part at a time, from 0 to 1. */
  find(now: Millis): number {
    const isLeft =
      this.#unlistedSince !== undefined &&
      now >= this.#unlistedSince + listValidity;
    if (isLeft) this.#isCounted = false;
    if (this.#tracker.find(now).part > 0) this.#isCounted = true;
    if (!this.#isCounted) return 0;
    const whole = 1 / Math.max(1, this.#tracker.nodes ?? 1);
    return this.#tracker.isConfirmed(now) ? whole : whole * unconfirmedFactor;
  }
}
