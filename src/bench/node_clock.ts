import { type Cancel, type Clock, type Millis, millis } from "../core/clock.ts";

/** Clock of one simulated node; pausing it simulates a suspended process. */
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

  /** Runs the callback now, or after the pause in the order of the calls. */
  run(callback: () => void): void {
    if (this.#paused) this.#pending.push(callback);
    else callback();
  }

  /** Pauses the node for `duration` ms; no effect while it is paused. */
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
