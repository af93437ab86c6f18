import { PausableClock } from "../../src/adapters/time/pausable_clock.ts";
import {
  type Cancel,
  type Clock,
  type Millis,
  millis,
} from "../../src/core/clock.ts";

/** Clock of a simulated machine; its monotonic time stands still while it is paused, the wall clock does not. */
export class MachineClock implements Clock {
  readonly #base: Clock;
  readonly #pausable: PausableClock;
  #pausedAt = 0;
  #pausedTime = 0;
  #resumedAt = Number.NEGATIVE_INFINITY;

  constructor(base: Clock) {
    this.#base = base;
    this.#pausable = PausableClock.create(base);
  }

  get paused(): boolean {
    return this.#pausable.paused;
  }

  now(): Millis {
    const end = this.paused ? this.#pausedAt : this.#base.now();
    return millis(end - this.#pausedTime);
  }

  wallNow(): Millis {
    return this.#base.wallNow();
  }

  schedule(delay: Millis, callback: () => void): Cancel {
    return this.#pausable.schedule(delay, callback);
  }

  whenRunning(): Promise<void> {
    return this.#pausable.whenRunning();
  }

  pause(): void {
    this.#pausedAt = this.#base.now();
    this.#pausable.pause();
  }

  resume(): void {
    this.#resumedAt = this.now();
    this.#pausedTime += this.#base.now() - this.#pausedAt;
    this.#pausable.resume();
  }

  /** Real time of a local monotonic time; undefined if a pause followed it. */
  toRealTime(local: number): number | undefined {
    return local < this.#resumedAt ? undefined : local + this.#pausedTime;
  }
}
