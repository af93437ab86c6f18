import { Counter, Gauge, Histogram, Registry } from "prom-client";
import {
  type MetricName,
  metricCatalogue,
} from "../../core/observe/metrics.ts";
import type { Meter } from "../../ports/journal.ts";

/** Bucket bounds of duration histograms, in ms. */
const durationBuckets = [
  1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 30_000,
];

type Labels = Record<string, string>;

/** Metrics of one node in their own registry. */
export class Metrics implements Meter {
  readonly registry = new Registry();
  readonly #counters = new Map<string, Counter>();
  readonly #histograms = new Map<string, Histogram>();
  readonly #gauges = new Map<string, Gauge>();

  static create(): Metrics {
    return new Metrics();
  }

  count(name: MetricName, labels: Labels = {}, amount = 1): void {
    let counter = this.#counters.get(name);
    if (counter === undefined) {
      counter = new Counter(this.#describe(name, labels));
      this.#counters.set(name, counter);
    }
    counter.inc(labels, amount);
  }

  observe(name: MetricName, value: number, labels: Labels = {}): void {
    let histogram = this.#histograms.get(name);
    if (histogram === undefined) {
      histogram = new Histogram({
        ...this.#describe(name, labels),
        buckets: durationBuckets,
      });
      this.#histograms.set(name, histogram);
    }
    histogram.observe(labels, value);
  }

  gauge(name: MetricName, value: number, labels: Labels = {}): void {
    let gauge = this.#gauges.get(name);
    if (gauge === undefined) {
      gauge = new Gauge(this.#describe(name, labels));
      this.#gauges.set(name, gauge);
    }
    gauge.set(labels, value);
  }

  #describe(name: MetricName, labels: Labels) {
    return {
      name: `goldcrestwinch_${name}`,
      help: metricCatalogue[name],
      labelNames: Object.keys(labels),
      registers: [this.registry],
    };
  }
}
