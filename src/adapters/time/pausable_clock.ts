import type { Cancel, Clock, Millis } from "../../core/clock.ts";

/** Clock of one simulated node; defers callbacks while the node is paused. */
export class PausableClock implements Clock {
  readonly #base: Clock;
  #paused = false;
  #stopped = false;
  #deferred: (() => void)[] = [];

  static create(base: Clock): PausableClock {
    return new PausableClock(base);
  }

  private constructor(base: Clock) {
    this.#base = base;
  }

  /** Whether callbacks are deferred. */
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
    let active = true;
    const run = () => {
      if (active) callback();
    };
    const cancel = this.#base.schedule(delay, () => this.#runOrDefer(run));
    return () => {
      active = false;
      cancel();
    };
  }

  /** Resolves once the node is running; for responses that arrive during a pause. */
  whenRunning(): Promise<void> {
    return new Promise((resolve) => this.#runOrDefer(resolve));
  }

  pause(): void {
    this.#paused = true;
  }

  resume(): void {
    this.#paused = false;
    const backlog = this.#deferred;
    this.#deferred = [];
    for (const callback of backlog) this.#runOrDefer(callback);
  }

  /** Drops all current and future callbacks, like the end of the process. */
  stop(): void {
    this.#stopped = true;
    this.#deferred = [];
  }

  #runOrDefer(callback: () => void): void {
    if (this.#stopped) return;
    if (this.#paused) this.#deferred.push(callback);
    else callback();
  }
}
