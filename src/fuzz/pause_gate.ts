import type { Cancel, Clock, Millis } from "../core/clock.ts";

/** Holds back what reaches a paused node until it goes on. */
export class PauseGate {
  #paused = false;
  #waiting: (() => void)[] = [];

  get paused(): boolean {
    return this.#paused;
  }

  /** Runs the callback now, or when the node goes on. */
  deliver(callback: () => void): void {
    if (this.#paused) this.#waiting.push(callback);
    else callback();
  }

  /** Resolves with the value now, or when the node goes on. */
  deliverValue<Value>(value: Value): Promise<Value> {
    return new Promise((resolve) => this.deliver(() => resolve(value)));
  }

  pause(): void {
    this.#paused = true;
  }

  resume(): void {
    this.#paused = false;
    for (const callback of this.#waiting.splice(0)) callback();
  }
}

/** Clock of one node: goes on while the node is paused, but runs no timers. */
export class NodeClock implements Clock {
  readonly #base: Clock;
  readonly #gate: PauseGate;

  constructor(base: Clock, gate: PauseGate) {
    this.#base = base;
    this.#gate = gate;
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
      this.#gate.deliver(() => {
        if (!cancelled) callback();
      }),
    );
    return () => {
      cancelled = true;
      cancel();
    };
  }
}
