import { type Clock, type Millis, millis, sleep } from "../../../core/clock.ts";
import type {
  Instant,
  RowBatch,
  RowPosition,
} from "../../../core/gateway/row_replica.ts";
import type { RowFailure, RowSource, RowTopic } from "../../../ports/rows.ts";

/** Timing of the calls for one topic, in ms. */
export type PollSchedule = {
  /** Maximum time that the table service holds a call until a row changes. */
  readonly wait: Millis;
  /** Minimum time between two calls, so that changes arrive in batches. */
  readonly spacing: Millis;
};

type TopicPollerOptions = {
  readonly topic: RowTopic;
  readonly source: RowSource;
  readonly clock: Clock;
  readonly schedule: PollSchedule;
  /** What the node has; version 0 if it has no rows. */
  readonly position: () => RowPosition;
  /** Whether the node reads this topic from the table service now. */
  readonly isActive: () => boolean;
  /** Called with rows; returns whether they were recent enough to be applied. */
  readonly onRows: (
    batch: RowBatch,
    read: { readonly isComplete: boolean; readonly sentAt: Instant },
  ) => boolean;
  /** Called when the table service answers that it no longer has the changes. */
  readonly onGone: () => void;
  readonly onFailure: (failure: RowFailure) => void;
  /** Delay before the next call after one that failed. */
  readonly retryDelay: () => Millis;
};

/** Task that reads one topic from the table service while it is active. */
export class TopicPoller {
  readonly #options: TopicPollerOptions;
  #needsCompleteRead = false;
  #wake: () => void = () => {};
  #stopped = false;

  private constructor(options: TopicPollerOptions) {
    this.#options = options;
  }

  static create(options: TopicPollerOptions): TopicPoller {
    const poller = new TopicPoller(options);
    void poller.#run();
    return poller;
  }

  /** Checks again whether the poller is active. */
  wake(): void {
    this.#wake();
  }

  stop(): void {
    this.#stopped = true;
    this.#wake();
  }

  /** Reads all rows once. */
  async refresh(): Promise<void> {
    await this.#call(true);
  }

  async #run(): Promise<void> {
    const { clock, isActive } = this.#options;
    while (!this.#stopped) {
      if (!isActive()) {
        await new Promise<void>((resolve) => {
          this.#wake = resolve;
        });
        continue;
      }
      const startedAt = clock.now();
      const delay = await this.#call(false).catch((error: Error) =>
        this.#recordError(error),
      );
      const left = startedAt + delay - clock.now();
      if (left > 0) await sleep(clock, millis(left));
    }
  }

  /** Handles an unexpected error of one call, after which the next one follows. */
  #recordError({ message }: Error): Millis {
    const detail = `Unexpected error: ${message}`;
    this.#options.onFailure({ kind: "unknown", detail });
    return this.#options.retryDelay();
  }

  /** Makes one call; returns the minimum time from its start to the next one. */
  async #call(mustBeComplete: boolean): Promise<Millis> {
    const { source, topic, schedule, clock, position } = this.#options;
    const { newest: after } = position();
    const isComplete = mustBeComplete || this.#needsCompleteRead || after === 0;
    const sentAt = { now: clock.now(), wall: clock.wallNow() };
    const result = isComplete
      ? await source.read(topic)
      : await source.follow(topic, { after, wait: schedule.wait });
    if (this.#stopped) return millis(0);
    return result.caseOf<Millis>({
      Left: (failure) => {
        const { kind, epoch = 0 } = failure;
        const isGone = kind === "gone";
        if (isGone || epoch > position().epoch) this.#needsCompleteRead = true;
        if (isGone) this.#options.onGone();
        else this.#options.onFailure(failure);
        return this.#options.retryDelay();
      },
      Right: (batch) => {
        const isApplied = this.#options.onRows(batch, { isComplete, sentAt });
        this.#needsCompleteRead = !isApplied;
        return isApplied ? schedule.spacing : this.#options.retryDelay();
      },
    });
  }
}
