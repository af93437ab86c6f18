import { type Millis, millis } from "../../core/clock.ts";

/** Time between two regular checks above which the process was paused or busy, in ms. */
const pauseThreshold = 250;
/** Time after a pause in which events that came during it are still being handled, in ms. */
const backlogTime = 250;

type Pause = { readonly from: Millis; readonly until: Millis };

/** Watches by regular checks whether the process runs, on a clock that goes on during a pause. */
export class PauseWatch {
  readonly #now: () => Millis;
  #checkedAt: Millis;
  #pause: Pause;

  private constructor(now: () => Millis) {
    this.#now = now;
    this.#checkedAt = now();
    const never = millis(Number.NEGATIVE_INFINITY);
    this.#pause = { from: never, until: never };
  }

  static create(now: () => Millis): PauseWatch {
    return new PauseWatch(now);
  }

  /** Records a regular check. */
  recordCheck(): void {
    const from = this.#checkedAt;
    const until = this.#now();
    this.#checkedAt = until;
    if (until > from + pauseThreshold) this.#pause = { from, until };
  }

  /** Earliest time of an event that is handled now: the start of the pause, if one has just ended. */
  findEventTime(): Millis {
    const { from, until } = this.#pause;
    const hasJustEnded = this.#now() <= until + backlogTime;
    return hasJustEnded ? from : this.#checkedAt;
  }
}
