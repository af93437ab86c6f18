import { type Cancel, type Clock, millis } from "../core/clock.ts";

/** Duration of a load while the store is not overloaded, in ms. */
const loadDuration = 250;
/** Loads in flight above which the duration of a load grows in proportion to their number. */
const maxFullSpeedLoads = 8;

/** Weight store shared by all engines; records the start times of loads. */
export class WeightStore {
  inFlight = 0;
  peakInFlight = 0;
  /** Start times of all loads, in ms on the clock. */
  readonly loadStartTimes: number[] = [];
  readonly #clock: Clock;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): WeightStore {
    return new WeightStore(clock);
  }

  /** Starts a load; `done` is called at its end unless it is cancelled first. */
  load(done: () => void): Cancel {
    this.inFlight++;
    this.peakInFlight = Math.max(this.peakInFlight, this.inFlight);
    this.loadStartTimes.push(this.#clock.now());
    let isLoading = true;
    const finish = () => {
      if (isLoading) this.inFlight--;
      isLoading = false;
    };
    const overload = Math.max(1, this.inFlight / maxFullSpeedLoads);
    const cancel = this.#clock.schedule(millis(loadDuration * overload), () => {
      finish();
      done();
    });
    return () => {
      cancel();
      finish();
    };
  }

  /** Largest number of loads that started within one second. */
  peakStartsPerSecond(): number {
    let first = 0;
    let peak = 0;
    this.loadStartTimes.forEach((at, last) => {
      while ((this.loadStartTimes[first] as number) <= at - 1000) first++;
      peak = Math.max(peak, last - first + 1);
    });
    return peak;
  }
}
