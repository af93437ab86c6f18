import type { Clock } from "../../core/clock.ts";
import type { Journal, Meter } from "../../ports/journal.ts";
import type { CloseReason } from "./connection_limiter.ts";

/** Interval at which closed connections are logged, in ms; each is counted. */
const reportInterval = 10_000;

/** Collaborators of {@link TurnedAwayCallers}. */
export type TurnedAwayOptions = {
  readonly clock: Clock;
  readonly journal: Journal;
  readonly meter: Meter;
};

/** Counts and logs the connections of callers that are closed at a limit. */
export class TurnedAwayCallers {
  readonly #options: TurnedAwayOptions;
  /** Number of connections since the last report. */
  #closed = 0;
  #reportAt = Number.NEGATIVE_INFINITY;

  private constructor(options: TurnedAwayOptions) {
    this.#options = options;
  }

  static create(options: TurnedAwayOptions): TurnedAwayCallers {
    return new TurnedAwayCallers(options);
  }

  /** Records a connection that was closed; `ahead`: for the requests that it had sent ahead. */
  record(reason: CloseReason | "ahead"): void {
    const { clock, journal, meter } = this.#options;
    meter.count("callers_turned_away_total", { reason });
    this.#closed++;
    const now = clock.now();
    if (now < this.#reportAt) return;
    this.#reportAt = now + reportInterval;
    journal.record("callersTurnedAway", { reason, closed: this.#closed });
    this.#closed = 0;
  }
}
