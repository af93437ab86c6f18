import {
  type Cancel,
  type Clock,
  type Millis,
  millis,
} from "../../core/clock.ts";

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
    const timer = setTimeout(callback, Math.max(0, delay));
    return () => clearTimeout(timer);
  }
}
