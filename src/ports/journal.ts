import type { AdapterKey, EngineId, RequestId } from "../core/ids.ts";
import type { EventName } from "../core/observe/events.ts";
import type { MetricName } from "../core/observe/metrics.ts";

/** Fields of an event; secrets and bodies never belong here. */
export type EventFields = {
  readonly requestId?: RequestId;
  readonly engine?: EngineId;
  readonly adapter?: AdapterKey;
  readonly [field: string]: string | number | boolean | undefined;
};

/** Receives events for the log and the time line. */
export type Journal = {
  record(event: EventName, fields?: EventFields): void;
};

/** Receives counts and observations for the metrics. */
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

/** Journal that drops everything, for code that runs without observers. */
export const silentJournal: Journal = { record() {} };

/** Meter that drops everything. */
export const silentMeter: Meter = { count() {}, observe() {}, gauge() {} };
