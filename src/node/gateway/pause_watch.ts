import { type Clock, type Millis, millis } from "../../core/clock.ts";
import type { Journal, Meter } from "../../ports/journal.ts";

/** Time between two regular checks above which the process was paused or busy, in ms. */
const pauseThreshold = 250;
/** Time after a pause in which events that came during it are still being handled, in ms. */
const backlogTime = 250;

type Pause = { readonly from: Millis; readonly until: Millis };

/** Reads the processor time that the process has used so far, in ms. */
export type ReadProcessorTime = () => Millis;

type PauseWatchOptions = {
  readonly clock: Clock;
  readonly journal: Journal;
  readonly meter: Meter;
  /** Tells a busy process from a paused one in the log; neither is told without it. */
  readonly readProcessorTime?: ReadProcessorTime;
};

/** One regular check. */
type Check = {
  readonly at: Millis;
  readonly processorTime: Millis | undefined;
};

/** Watches by regular checks whether the process runs, on a clock that goes on during a pause. */
export class PauseWatch {
  readonly #options: PauseWatchOptions;
  #check: Check;
  #pause: Pause;

  private constructor(options: PauseWatchOptions) {
    this.#options = options;
    this.#check = this.#createCheck();
    const never = millis(Number.NEGATIVE_INFINITY);
    this.#pause = { from: never, until: never };
  }

  static create(options: PauseWatchOptions): PauseWatch {
    return new PauseWatch(options);
  }

  /** Records a regular check. */
  recordCheck(): void {
    const from = this.#check;
    const until = this.#createCheck();
    this.#check = until;
    if (until.at <= from.at + pauseThreshold) return;
    this.#pause = { from: from.at, until: until.at };
    this.#report(from, until);
  }

  /** Earliest time of an event that is handled now: the start of the pause, if one has just ended. */
  findEventTime(): Millis {
    const { from, until } = this.#pause;
    const hasJustEnded = this.#options.clock.now() <= until + backlogTime;
    return hasJustEnded ? from : this.#check.at;
  }

  #createCheck(): Check {
    const { clock, readProcessorTime } = this.#options;
    return { at: clock.now(), processorTime: readProcessorTime?.() };
  }

  #report(from: Check, until: Check): void {
    const { journal, meter } = this.#options;
    const gap = until.at - from.at;
    meter.observe("process_stall_ms", gap);
    journal.record("processStalled", {
      gap: Math.round(gap),
      processorTime: computeUsedTime(from, until),
    });
  }
}

/** Processor time between two checks, in whole ms; undefined if it is not read. */
function computeUsedTime(from: Check, until: Check): number | undefined {
  if (from.processorTime === undefined) return undefined;
  if (until.processorTime === undefined) return undefined;
  return Math.round(until.processorTime - from.processorTime);
}
