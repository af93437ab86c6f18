import {
  type Cancel,
  type Clock,
  type Millis,
  millis,
} from "../../../core/clock.ts";
import { compareUrgency, type Urgency } from "../../../core/gateway/urgency.ts";
import type { ServiceName } from "../../../core/ids.ts";
import type { Meter } from "../../../ports/journal.ts";

/** Maximum time between two turns of a queue, in ms. */
const maxTurnInterval = 60;
/** Minimum time between two turns, in ms, however many events there are, and its extension for each request that waits. */
const minTurnInterval = 10;
const turnIntervalPerRequest = 0.01;
/** Maximum time for which the next request waits until the one before it is sent, in ms. */
const turnPatience = millis(5);
/** Maximum number of requests that wait for servers of one service. */
export const maxWaitingRequests = 2_000;

/** How a wait in the queue ended: the request may look for a server, is refused for more urgent ones, or has left. */
export type WaitEnd = "turn" | "outranked" | "left";

/** What a request waits for. */
export type Need = {
  /** Equal for requests that the same servers can take; undefined if no other request needs the same. */
  readonly key: string | undefined;
  /** Whether an event may have made a server available. */
  readonly mayProceed: () => boolean;
};

type WaitQueueOptions = {
  readonly clock: Clock;
  readonly meter: Meter;
  readonly service: ServiceName;
};

/**
 * The requests that wait for servers of one service. Events wake them in the
 * order of their urgency; the next one looks for a server once the one before it
 * is sent or waits again.
 */
export class WaitQueue {
  readonly #options: WaitQueueOptions;
  readonly #waiting = new Set<QueuePlace>();
  #cancelTimer: Cancel = () => {};
  #nextTurnAt = millis(Number.POSITIVE_INFINITY);
  #lastTurnAt = millis(Number.NEGATIVE_INFINITY);
  #isInTurn = false;

  private constructor(options: WaitQueueOptions) {
    this.#options = options;
  }

  static create(options: WaitQueueOptions): WaitQueue {
    return new WaitQueue(options);
  }

  /** Number of requests that wait. */
  get length(): number {
    return this.#waiting.size;
  }

  /** Creates the place of a request, which waits from its first `wait` on. */
  join(urgency: Urgency): QueuePlace {
    return QueuePlace.create(urgency, {
      clock: this.#options.clock,
      enter: (place, wakeAt) => this.#enter(place, wakeAt),
      leave: (place) => this.#remove(place),
      isBehind: (place, key) => this.#isBehind(place, key),
    });
  }

  /** Tells the queue that a server may have room. */
  notify(): void {
    if (this.#waiting.size > 0) this.#scheduleTurn(this.#now());
  }

  #now(): Millis {
    return this.#options.clock.now();
  }

  #isBehind(place: QueuePlace, key: string): boolean {
    const now = this.#now();
    for (const other of this.#waiting) {
      if (other === place || other.need?.key !== key) continue;
      if (compareUrgency(other.urgency, place.urgency, now) < 0) return true;
    }
    return false;
  }

  #enter(place: QueuePlace, wakeAt: Millis): void {
    this.#waiting.add(place);
    if (this.#waiting.size > maxWaitingRequests) this.#refuseLeastUrgent();
    this.#reportLength();
    const latest = millis(this.#now() + maxTurnInterval);
    this.#scheduleTurn(millis(Math.min(wakeAt, latest)));
  }

  #remove(place: QueuePlace): void {
    if (this.#waiting.delete(place)) this.#reportLength();
  }

  #refuseLeastUrgent(): void {
    const now = this.#now();
    let last: QueuePlace | undefined;
    for (const place of this.#waiting) {
      if (last === undefined) last = place;
      else if (compareUrgency(place.urgency, last.urgency, now) > 0)
        last = place;
    }
    if (last === undefined) return;
    this.#waiting.delete(last);
    last.end("outranked");
  }

  #listInOrder(): QueuePlace[] {
    const now = this.#now();
    return [...this.#waiting].sort((a, b) =>
      compareUrgency(a.urgency, b.urgency, now),
    );
  }

  #scheduleTurn(at: Millis): void {
    const minInterval =
      minTurnInterval + turnIntervalPerRequest * this.#waiting.size;
    const earliest = Math.max(at, this.#lastTurnAt + minInterval);
    if (this.#isInTurn || earliest >= this.#nextTurnAt) {
      this.#nextTurnAt = millis(Math.min(this.#nextTurnAt, earliest));
      return;
    }
    this.#cancelTimer();
    this.#nextTurnAt = millis(earliest);
    const delay = millis(Math.max(0, earliest - this.#now()));
    this.#cancelTimer = this.#options.clock.schedule(delay, () => {
      void this.#runTurn();
    });
  }

  async #runTurn(): Promise<void> {
    this.#isInTurn = true;
    this.#lastTurnAt = this.#now();
    this.#nextTurnAt = millis(Number.POSITIVE_INFINITY);
    try {
      await this.#wakeInOrder();
    } finally {
      this.#isInTurn = false;
      const next = this.#nextTurnAt;
      this.#nextTurnAt = millis(Number.POSITIVE_INFINITY);
      if (this.#waiting.size > 0)
        this.#scheduleTurn(
          millis(Math.min(next, this.#now() + maxTurnInterval)),
        );
    }
  }

  async #wakeInOrder(): Promise<void> {
    const now = this.#now();
    /** Needs for which no server was found in this turn. */
    const unmet = new Set<string>();
    for (const place of this.#listInOrder()) {
      if (!this.#waiting.has(place)) continue;
      const { need } = place;
      const isDue = now >= place.enteredAt + maxTurnInterval;
      if (!isDue && !mayBeMet(need, unmet)) continue;
      this.#waiting.delete(place);
      const waitsAgain = await place.takeTurn(turnPatience);
      if (waitsAgain && need?.key !== undefined) unmet.add(need.key);
    }
    this.#reportLength();
  }

  #reportLength(): void {
    const { meter, service } = this.#options;
    meter.gauge("gateway_queue_length", this.#waiting.size, { service });
  }
}

/** Whether an event may have met a need; what is found not to be met is not looked for again. */
function mayBeMet(need: Need | undefined, unmet: Set<string>): boolean {
  if (need?.key === undefined) return need?.mayProceed() ?? true;
  if (unmet.has(need.key)) return false;
  if (need.mayProceed()) return true;
  unmet.add(need.key);
  return false;
}

/** What a place needs of its queue. */
type PlaceQueue = {
  readonly clock: Clock;
  readonly enter: (place: QueuePlace, wakeAt: Millis) => void;
  readonly leave: (place: QueuePlace) => void;
  readonly isBehind: (place: QueuePlace, key: string) => boolean;
};

/** The place of one request in the queue of its service. */
export class QueuePlace {
  readonly urgency: Urgency;
  readonly joinedAt: Millis;
  readonly #queue: PlaceQueue;
  #need: Need | undefined;
  #enteredAt = millis(0);
  #resolve: ((end: WaitEnd) => void) | undefined;
  #onTurnEnd: ((waitsAgain: boolean) => void) | undefined;

  private constructor(urgency: Urgency, queue: PlaceQueue) {
    this.urgency = urgency;
    this.#queue = queue;
    this.joinedAt = queue.clock.now();
  }

  static create(urgency: Urgency, queue: PlaceQueue): QueuePlace {
    return new QueuePlace(urgency, queue);
  }

  get need(): Need | undefined {
    return this.#need;
  }

  /** Time since which the request waits for its next turn. */
  get enteredAt(): Millis {
    return this.#enteredAt;
  }

  /** Whether a more urgent request waits for the same servers. */
  isBehindOthers(key: string | undefined): boolean {
    return key !== undefined && this.#queue.isBehind(this, key);
  }

  /** Waits for the next turn, which begins at `wakeAt` at the latest. */
  wait(need: Need, wakeAt: Millis): Promise<WaitEnd> {
    this.#need = need;
    this.#enteredAt = this.#queue.clock.now();
    return new Promise((resolve) => {
      this.#resolve = resolve;
      this.#queue.enter(this, wakeAt);
      this.#endTurn(true);
    });
  }

  /** Lets the next request look for a server, though this one is not sent yet. */
  passTurn(): void {
    this.#endTurn(false);
  }

  /** Leaves the queue, since the request is sent or has ended. */
  leave(): void {
    this.#queue.leave(this);
    this.end("left");
    this.#endTurn(false);
  }

  /** Ends the wait. */
  end(end: WaitEnd): void {
    this.#resolve?.(end);
    this.#resolve = undefined;
  }

  /** Has the request look for a server; resolves to whether it waits again, at the latest after `patience` ms. */
  takeTurn(patience: Millis): Promise<boolean> {
    return new Promise((resolve) => {
      const cancel = this.#queue.clock.schedule(patience, () =>
        this.#endTurn(false),
      );
      this.#onTurnEnd = (waitsAgain) => {
        cancel();
        resolve(waitsAgain);
      };
      this.end("turn");
    });
  }

  #endTurn(waitsAgain: boolean): void {
    this.#onTurnEnd?.(waitsAgain);
    this.#onTurnEnd = undefined;
  }
}
