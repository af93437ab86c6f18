import { build } from "hdr-histogram-js";

/** Steps per ms in which durations are counted. */
const RESOLUTION = 1_000;

/** Distribution of durations in ms. */
export class Distribution {
  readonly #histogram = build({
    numberOfSignificantValueDigits: 3,
    highestTrackableValue: 3_600_000 * RESOLUTION,
  });

  static create(): Distribution {
    return new Distribution();
  }

  get count(): number {
    return this.#histogram.totalCount;
  }

  get mean(): number {
    return this.count === 0 ? 0 : this.#histogram.mean / RESOLUTION;
  }

  record(value: number): void {
    this.#histogram.recordValue(Math.max(0, Math.round(value * RESOLUTION)));
  }

  /** Duration in ms below which `percent` of 100 lie. */
  percentile(percent: number): number {
    return this.#histogram.getValueAtPercentile(percent) / RESOLUTION;
  }
}

/** Median and range of the figures of several runs. */
export type Spread = {
  readonly median: number;
  readonly least: number;
  readonly most: number;
};

/** Median and range; the list must not be empty. */
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
