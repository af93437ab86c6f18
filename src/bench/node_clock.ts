import { type Cancel, type Clock, type Millis, millis } from "../core/clock.ts";

/** Clock of one simulated node, which can be paused like a stopped process. */
export class NodeClock implements Clock {
  readonly #base: Clock;
  #paused = false;
  #pending: (() => void)[] = [];

  private constructor(base: Clock) {
    this.#base = base;
  }

  static create(base: Clock): NodeClock {
    return new NodeClock(base);
  }

  get paused(): boolean {
    return this.#paused;
  }

  now(): Millis {
    return this.#base.now();
  }

  wallNow(): Millis {
    return this.#base.wallNow();
  }

  schedule(delay: Millis, callback: () => void): Cancel {
    let cancelled = false;
    const cancel = this.#base.schedule(delay, () =>
      this.run(() => {
        if (!cancelled) callback();
      }),
    );
    return () => {
      cancelled = true;
      cancel();
    };
  }

  /** Runs now, or in order after the pause. */
  run(callback: () => void): void {
    if (this.#paused) this.#pending.push(callback);
    else callback();
  }

  /** Stops the node for `duration` ms. */
  pause(duration: number): void {
    if (this.#paused) return;
    this.#paused = true;
    this.#base.schedule(millis(duration), () => {
      this.#paused = false;
      const pending = this.#pending;
      this.#pending = [];
      for (const callback of pending) callback();
    });
  }
}
