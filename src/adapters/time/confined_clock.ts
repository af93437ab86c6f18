import type { Cancel, Clock, Millis } from "../../core/clock.ts";
import type { ReportFailure } from "../../ports/failures.ts";

/** Clock whose timers report an error of their callbacks instead of throwing it. */
export class ConfinedClock implements Clock {
  readonly #clock: Clock;
  readonly #report: ReportFailure;

  private constructor(clock: Clock, report: ReportFailure) {
    this.#clock = clock;
    this.#report = report;
  }

  static create(clock: Clock, report: ReportFailure): ConfinedClock {
    return new ConfinedClock(clock, report);
  }

  now(): Millis {
    return this.#clock.now();
  }

  wallNow(): Millis {
    return this.#clock.wallNow();
  }

  schedule(delay: Millis, callback: () => void): Cancel {
    return this.#clock.schedule(delay, () => {
      try {
        callback();
      } catch (error) {
        this.#report("timer", error);
      }
    });
  }
}
