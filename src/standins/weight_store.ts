import { type Cancel, type Clock, millis } from "../core/clock.ts";

/** Load time while the store is not overloaded, in ms. */
const loadTime = 250;
/** Loads in flight beyond which each takes proportionally longer. */
const concurrency = 8;

/** Weight store that all engines share; records when loads start. */
export class WeightStore {
  inFlight = 0;
  peakInFlight = 0;
  /** Start times of all loads, in ms of the clock. */
  readonly loadStartTimes: number[] = [];
  readonly #clock: Clock;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): WeightStore {
    return new WeightStore(clock);
  }

  /** Starts a load; `done` runs at its end unless it is cancelled before. */
  load(done: () => void): Cancel {
    this.inFlight++;
    this.peakInFlight = Math.max(this.peakInFlight, this.inFlight);
    this.loadStartTimes.push(this.#clock.now());
    let open = true;
    const end = () => {
      if (open) this.inFlight--;
      open = false;
    };
    const overload = Math.max(1, this.inFlight / concurrency);
    const cancel = this.#clock.schedule(millis(loadTime * overload), () => {
      end();
      done();
    });
    return () => {
      cancel();
      end();
    };
  }

  /** Most loads that started within any window of one second. */
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
