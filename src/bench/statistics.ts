import { build } from "hdr-histogram-js";

/** Resolution of recorded durations: 1 µs. */
const STEPS_PER_MS = 1_000;

/** Distribution of durations in ms. */
export class Distribution {
  readonly #histogram = build({
    numberOfSignificantValueDigits: 3,
    highestTrackableValue: 3_600_000 * STEPS_PER_MS,
  });

  static create(): Distribution {
    return new Distribution();
  }

  get count(): number {
    return this.#histogram.totalCount;
  }

  get mean(): number {
    return this.count === 0 ? 0 : this.#histogram.mean / STEPS_PER_MS;
  }

  record(value: number): void {
    this.#histogram.recordValue(Math.max(0, Math.round(value * STEPS_PER_MS)));
  }

  /** Duration at a percentile from 0 to 100, in ms. */
  percentile(percent: number): number {
    return this.#histogram.getValueAtPercentile(percent) / STEPS_PER_MS;
  }
}

/** Median and range of a figure over several runs. */
export type Spread = {
  readonly median: number;
  readonly least: number;
  readonly most: number;
};

/** Computes median and range of a non-empty list. */
export function summarize(values: readonly number[]): Spread {
  const sorted = [...values].sort((a, b) => a - b);
  const middle = sorted.length >> 1;
  const upper = sorted[middle] as number;
  const lower = sorted[(sorted.length - 1) >> 1] as number;
  return {
    median: (lower + upper) / 2,
    least: sorted[0] as number,
    most: sorted[sorted.length - 1] as number,
  };
}
