import type { Cancel, Clock, Millis } from "../../core/clock.ts";

/** Clock of one simulated node that can be paused; timers due meanwhile run at its resumption. */
export class PausableClock implements Clock {
  readonly #base: Clock;
  #paused = false;
  #waiting: (() => void)[] = [];

  private constructor(base: Clock) {
    this.#base = base;
  }

  static create(base: Clock): PausableClock {
    return new PausableClock(base);
  }

  now(): Millis {
    return this.#base.now();
  }

  wallNow(): Millis {
    return this.#base.wallNow();
  }

  schedule(delay: Millis, callback: () => void): Cancel {
    let isCancelled = false;
    this.#base.schedule(delay, () => {
      const run = () => {
        if (!isCancelled) callback();
      };
      if (this.#paused) this.#waiting.push(run);
      else run();
    });
    return () => {
      isCancelled = true;
    };
  }

  pause(): void {
    this.#paused = true;
  }

  resume(): void {
    this.#paused = false;
    for (const run of this.#waiting.splice(0)) run();
  }

  get paused(): boolean {
    return this.#paused;
  }
}
