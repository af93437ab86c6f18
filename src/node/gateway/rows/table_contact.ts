import { type Clock, type Millis, millis } from "../../../core/clock.ts";
import type { Journal } from "../../../ports/journal.ts";
import type { RowFailure, RowTopic } from "../../../ports/rows.ts";

/** Delay before a failed call to the table service is repeated, in ms; the maximum is for nodes that are not first readers. */
const minRetryDelay = 300;
const maxRetryDelay = 2_400;

/** Dependencies of a table contact. */
export type TableContactOptions = {
  readonly clock: Clock;
  readonly random: () => number;
  readonly journal: Journal;
  /** Whether this node is the first of its data centre to read. */
  readonly isFirstReader: () => boolean;
  /** Called when the table service stops answering, and when it answers again. */
  readonly onLost: () => void;
  readonly onRegained: () => void;
};

/** Tracks whether the table service answers this node, and when to call it again. */
export class TableContact {
  readonly #options: TableContactOptions;
  /** Calls that failed since the last answer. */
  #failures = 0;
  #failedAt = millis(0);

  private constructor(options: TableContactOptions) {
    this.#options = options;
  }

  static create(options: TableContactOptions): TableContact {
    return new TableContact(options);
  }

  get isFailing(): boolean {
    return this.#failures > 0;
  }

  /** Time of the first failure since the last answer. */
  get failedAt(): Millis {
    return this.#failedAt;
  }

  recordAnswer(topic: RowTopic): void {
    if (this.#failures === 0) return;
    this.#failures = 0;
    this.#options.journal.record("storeRegained", { table: topic });
    this.#options.onRegained();
  }

  recordFailure(topic: RowTopic, { detail }: RowFailure): void {
    const { clock, journal, onLost } = this.#options;
    this.#failures++;
    if (this.#failures > 1) return;
    journal.record("storeLost", { table: topic, detail });
    this.#failedAt = clock.now();
    onLost();
  }

  /** Forgets the failures, since another node delivers the rows. */
  reset(): void {
    this.#failures = 0;
  }

  computeRetryDelay(): Millis {
    if (this.#options.isFirstReader()) return millis(minRetryDelay);
    const exponent = Math.max(0, this.#failures - 1);
    const longest = Math.min(maxRetryDelay, minRetryDelay * 2 ** exponent);
    return millis(longest * (0.5 + this.#options.random() / 2));
  }
}
