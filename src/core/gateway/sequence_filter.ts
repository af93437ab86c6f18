import type { Millis } from "../clock.ts";

/** Sequence numbers below the newest that may still arrive. */
const windowSize = 64;
/** Time after its last message at which a sender is forgotten, in ms. */
const senderLifetime = 120_000;

type Sender = { newest: number; readonly seen: Set<number>; at: Millis };

/** Drops messages that were duplicated on the way, or come too late to tell. */
export class SequenceFilter {
  readonly #senders = new Map<string, Sender>();
  #prunedAt = Number.NEGATIVE_INFINITY;

  private constructor() {}

  static create(): SequenceFilter {
    return new SequenceFilter();
  }

  /** Whether the message is the first one with its number; `sender` differs at each start of a process. */
  accept(sender: string, sequence: number, now: Millis): boolean {
    this.#prune(now);
    let known = this.#senders.get(sender);
    if (known === undefined) {
      known = { newest: sequence, seen: new Set(), at: now };
      this.#senders.set(sender, known);
    }
    known.at = now;
    const { seen } = known;
    if (sequence <= known.newest - windowSize || seen.has(sequence))
      return false;
    seen.add(sequence);
    known.newest = Math.max(known.newest, sequence);
    if (seen.size > 2 * windowSize)
      for (const old of seen)
        if (old <= known.newest - windowSize) seen.delete(old);
    return true;
  }

  #prune(now: Millis): void {
    if (now < this.#prunedAt + senderLifetime) return;
    this.#prunedAt = now;
    for (const [sender, { at }] of this.#senders)
      if (now > at + senderLifetime) this.#senders.delete(sender);
  }
}
