import { type Cancel, type Clock, millis } from "../../core/clock.ts";
import type { Journal, Meter } from "../../ports/journal.ts";
import { PauseWatch, type ReadProcessorTime } from "./pause_watch.ts";

/** Interval of the checks, in ms. */
const checkInterval = millis(100);
/** Drift between the monotonic clock and the wall clock that indicates a pause, in ms. */
const maxDrift = 250;

type ProcessChecksOptions = {
  readonly clock: Clock;
  readonly journal: Journal;
  readonly meter: Meter;
  readonly readProcessorTime?: ReadProcessorTime;
  /** Called when the clocks have drifted apart, before the check. */
  readonly onDrift: () => void;
  readonly onCheck: () => void;
};

/** Task that runs regular checks, and notices pauses of the process and jumps of its clocks by them. */
export class ProcessChecks {
  readonly pauses: PauseWatch;
  readonly #options: ProcessChecksOptions;
  #clockOffset: number;
  #cancel: Cancel = () => {};

  private constructor(options: ProcessChecksOptions) {
    this.#options = options;
    this.#clockOffset = this.#readOffset();
    this.pauses = PauseWatch.create(options);
  }

  static create(options: ProcessChecksOptions): ProcessChecks {
    return new ProcessChecks(options);
  }

  /** Runs a check now, and further ones until `stop`. */
  run(): void {
    const { clock, onCheck } = this.#options;
    // Scheduled first, so that a check that fails does not end the checks.
    this.#cancel = clock.schedule(checkInterval, () => this.run());
    this.#checkDrift();
    this.pauses.recordCheck();
    onCheck();
  }

  stop(): void {
    this.#cancel();
  }

  #checkDrift(): void {
    const { journal, onDrift } = this.#options;
    const clockOffset = this.#readOffset();
    const drift = clockOffset - this.#clockOffset;
    if (Math.abs(drift) > maxDrift) {
      journal.record("processPaused", { gap: Math.round(drift) });
      onDrift();
    }
    this.#clockOffset = clockOffset;
  }

  #readOffset(): number {
    const { clock } = this.#options;
    return clock.wallNow() - clock.now();
  }
}
