import {
  type Cancel,
  type Clock,
  type Millis,
  millis,
} from "../../core/clock.ts";

/** Longest delay of a timer of Node, in ms; one with a longer delay runs at once. */
const maxTimerDelay = 2 ** 31 - 1;

/** System clock. */
export class RealClock implements Clock {
  static create(): RealClock {
    return new RealClock();
  }

  now(): Millis {
    return millis(performance.now());
  }

  wallNow(): Millis {
    return millis(Date.now());
  }

  schedule(delay: Millis, callback: () => void): Cancel {
    let timer: NodeJS.Timeout;
    const start = (left: number) => {
      const step = Math.min(left, maxTimerDelay);
      const next = () => (step < left ? start(left - step) : callback());
      timer = setTimeout(next, step);
    };
    start(Math.max(0, delay));
    return () => clearTimeout(timer);
  }
}
