import type { Cancel, Clock, Millis } from "../core/clock.ts";

/** Defers deliveries to a paused node until it resumes. */
export class PauseGate {
  #paused = false;
  #deferred: (() => void)[] = [];

  get paused(): boolean {
    return this.#paused;
  }

  /** Runs the callback now, or when the node resumes. */
  deliver(callback: () => void): void {
    if (this.#paused) this.#deferred.push(callback);
    else callback();
  }

  /** Resolves with the value now, or when the node resumes. */
  deliverValue<Value>(value: Value): Promise<Value> {
    return new Promise((resolve) => this.deliver(() => resolve(value)));
  }

  pause(): void {
    this.#paused = true;
  }

  resume(): void {
    this.#paused = false;
    for (const callback of this.#deferred.splice(0)) callback();
  }
}

/** Clock of one node: time advances while the node is paused, but timers fire only when it resumes. */
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
