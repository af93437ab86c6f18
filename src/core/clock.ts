import type { Branded } from "./ids.ts";

/** A time or a duration in milliseconds. */
export type Millis = Branded<number, "Millis">;

/** Brands a plain number of milliseconds. */
export function millis(value: number): Millis {
  return value as Millis;
}

/** Cancels a scheduled callback; does nothing once it has run. */
export type Cancel = () => void;

/** Source of monotonic time and timers. */
export type Clock = {
  /** Monotonic time in ms; only differences are meaningful. */
  now(): Millis;
  /** Wall-clock time in ms since the epoch, for display only. */
  wallNow(): Millis;
  /** Runs the callback once after `delay` ms. */
  schedule(delay: Millis, callback: () => void): Cancel;
};

/** Resolves after `delay` ms of the given clock. */
export function sleep(clock: Clock, delay: Millis): Promise<void> {
  return new Promise((resolve) => {
    clock.schedule(delay, resolve);
  });
}
