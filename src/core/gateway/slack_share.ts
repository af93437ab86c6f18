import { type Millis, millis } from "../clock.ts";

/** Part of a number for all nodes that one node may use, and since when it may. */
export type SlackShare = {
  /** From 0, nothing, to 1. */
  readonly part: number;
  readonly since: Millis;
};

/** What a node has read of the list of nodes. */
export type NodeListRead = {
  /** Time at which the table service still held the list. */
  readonly confirmedAt: Millis;
  /** Number of nodes in the list. */
  readonly nodes: number;
  /** Whether the list has this node. */
  readonly isListed: boolean;
};

/** Number of nodes at a read, and when a node made it. */
type NodeCount = { readonly at: Millis; readonly nodes: number };

/**
 * Share of one node in a number for all. A read of the list counts for `validity`,
 * and a new node waits as long after it was listed: until then every node has
 * read its entry or uses no share. A node that has left the list divides the
 * number as long, since it may not have read that it has left.
 */
export class ShareTracker {
  readonly #validity: Millis;
  #read: NodeListRead | undefined;
  #listedSince: Millis | undefined;
  /** Reads of the last `validity` with more nodes than all later ones, the most first. */
  #counts: NodeCount[] = [];
  /** Time of the first read after a time without valid ones. */
  #confirmedSince = millis(Number.NEGATIVE_INFINITY);

  private constructor(validity: Millis) {
    this.#validity = validity;
  }

  static create(validity: Millis): ShareTracker {
    return new ShareTracker(validity);
  }

  /** Number of nodes that divide the number; undefined before the first read. */
  get nodes(): number | undefined {
    return this.#counts[0]?.nodes;
  }

  /** Records a read, or that the rows of the latest one were confirmed. */
  recordRead(read: NodeListRead, now: Millis): void {
    const known = this.#read;
    const isGap =
      known === undefined || now >= known.confirmedAt + this.#validity;
    if (isGap) this.#confirmedSince = now;
    this.#read = read;
    this.#count(read.nodes, now);
    if (read.isListed) this.#listedSince ??= now;
    else this.#listedSince = undefined;
  }

  /** Whether the latest read still counts. */
  isConfirmed(now: Millis): boolean {
    if (this.#read === undefined) return false;
    return now < this.#read.confirmedAt + this.#validity;
  }

  /** The share at a time; nothing while the list is not known. */
  find(now: Millis): SlackShare {
    const none = { part: 0, since: now };
    if (this.#listedSince === undefined || !this.isConfirmed(now)) return none;
    const usableFrom = millis(this.#listedSince + this.#validity);
    if (now < usableFrom) return none;
    const since = millis(Math.max(usableFrom, this.#confirmedSince));
    return { part: 1 / Math.max(1, this.nodes ?? 1), since };
  }

  #count(nodes: number, at: Millis): void {
    const isRecent = (count: NodeCount) => count.at + this.#validity > at;
    const more = this.#counts.filter((count) => count.nodes > nodes);
    this.#counts = [...more.filter(isRecent), { at, nodes }];
  }
}
