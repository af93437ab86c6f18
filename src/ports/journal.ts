import type { AdapterKey, EngineId, RequestId } from "../core/ids.ts";
import type { EventName } from "../core/observe/events.ts";
import type { MetricName } from "../core/observe/metrics.ts";

/** Fields of an event; they must never contain secrets or bodies. */
export type EventFields = {
  readonly requestId?: RequestId;
  readonly engine?: EngineId;
  readonly adapter?: AdapterKey;
  readonly [field: string]: string | number | boolean | undefined;
};

/** Receives events for the log and the timeline. */
export type Journal = {
  record(event: EventName, fields?: EventFields): void;
};

/** Receives counts, durations and gauge values for the metrics. */
export type Meter = {
  /** Adds to a counter. */
  count(
    name: MetricName,
    labels?: Record<string, string>,
    amount?: number,
  ): void;
  /** Records a duration in ms. */
  observe(
    name: MetricName,
    value: number,
    labels?: Record<string, string>,
  ): void;
  /** Sets a gauge. */
  gauge(name: MetricName, value: number, labels?: Record<string, string>): void;
};

/** Journal that discards all events. */
export const silentJournal: Journal = { record() {} };

/** Meter that discards all values. */
export const silentMeter: Meter = { count() {}, observe() {}, gauge() {} };
