import {
  type Cancel,
  type Clock,
  type Millis,
  millis,
} from "../../core/clock.ts";

type Timer = {
  dueAt: number;
  sequence: number;
  callback: (() => void) | undefined;
};

/** Lets pending promise callbacks run before the next timer fires. */
function drainMicrotasks(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/** Clock that only advances when a test or benchmark advances it. */
export class VirtualClock implements Clock {
  #now = 0;
  #nextSequence = 0;
  /** Binary heap ordered by due time, then by scheduling order. */
  #heap: Timer[] = [];

  static create(): VirtualClock {
    return new VirtualClock();
  }

  now(): Millis {
    return millis(this.#now);
  }

  wallNow(): Millis {
    return millis(this.#now);
  }

  schedule(delay: Millis, callback: () => void): Cancel {
    const timer: Timer = {
      dueAt: this.#now + Math.max(0, delay),
      sequence: this.#nextSequence++,
      callback,
    };
    this.#push(timer);
    return () => {
      timer.callback = undefined;
    };
  }

  /** Advances by `duration` ms, running due timers and the callbacks of promises that they settle. */
  async advance(duration: Millis): Promise<void> {
    const end = this.#now + duration;
    await drainMicrotasks();
    while (this.#runNext(end)) await drainMicrotasks();
    this.#now = end;
  }

  /** Advances by `duration` ms without running promise callbacks; for synchronous simulations. */
  advanceSync(duration: Millis): void {
    const end = this.#now + duration;
    while (this.#runNext(end)) {}
    this.#now = end;
  }

  #runNext(end: number): boolean {
    for (;;) {
      const next = this.#heap[0];
      if (next === undefined || next.dueAt > end) return false;
      this.#pop();
      if (next.callback === undefined) continue;
      this.#now = Math.max(this.#now, next.dueAt);
      next.callback();
      return true;
    }
  }

  #push(timer: Timer): void {
    const heap = this.#heap;
    let index = heap.length;
    heap.push(timer);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      const parentTimer = heap[parent] as Timer;
      if (!isEarlier(timer, parentTimer)) break;
      heap[index] = parentTimer;
      index = parent;
    }
    heap[index] = timer;
  }

  #pop(): void {
    const heap = this.#heap;
    const last = heap.pop();
    if (last === undefined || heap.length === 0) return;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      const right = heap[child + 1];
      if (right !== undefined && isEarlier(right, heap[child] as Timer))
        child++;
      const childTimer = heap[child];
      if (childTimer === undefined || !isEarlier(childTimer, last)) break;
      heap[index] = childTimer;
      index = child;
    }
    heap[index] = last;
  }
}

function isEarlier(a: Timer, b: Timer): boolean {
  return a.dueAt < b.dueAt || (a.dueAt === b.dueAt && a.sequence < b.sequence);
}
