import type { Clock } from "../../core/clock.ts";
import type { NodeId } from "../../core/ids.ts";
import type { EventEntry } from "../../core/observe/event_entry.ts";
import { type EventName, eventCatalogue } from "../../core/observe/events.ts";
import {
  type HybridTime,
  mergeHybridTime,
  tickHybridTime,
} from "../../core/observe/hybrid_clock.ts";
import type { EventFields, Journal } from "../../ports/journal.ts";
import type { TimelineEntry } from "../../ports/operators.ts";

/** Maximum number of events that one node keeps; the oldest are overwritten. */
export const timelineCapacity = 20_000;

/** Receives each event with its timestamp and log level. */
export type EntryListener = (
  entry: TimelineEntry,
  level: EventEntry["level"],
) => void;

/** Ring buffer of one node's timestamped events. */
export class Timeline implements Journal {
  readonly #node: NodeId;
  readonly #clock: Clock;
  readonly #listener: EntryListener | undefined;
  readonly #entries: TimelineEntry[] = [];
  #next = 0;
  #overwritten = 0;
  #time: HybridTime = { wall: 0, counter: 0 };

  static create(options: {
    node: NodeId;
    clock: Clock;
    listener?: EntryListener;
  }): Timeline {
    return new Timeline(options);
  }

  private constructor(options: {
    node: NodeId;
    clock: Clock;
    listener?: EntryListener;
  }) {
    this.#node = options.node;
    this.#clock = options.clock;
    this.#listener = options.listener;
  }

  /** Number of events overwritten so far. */
  get overwritten(): number {
    return this.#overwritten;
  }

  record(event: EventName, fields: EventFields = {}): void {
    const { number, level } = eventCatalogue[event];
    this.#time = tickHybridTime(this.#time, this.#clock.wallNow());
    const entry: TimelineEntry = {
      time: this.#time,
      node: this.#node,
      number,
      event,
      fields,
    };
    if (this.#entries.length === timelineCapacity) this.#overwritten++;
    this.#entries[this.#next] = entry;
    this.#next = (this.#next + 1) % timelineCapacity;
    this.#listener?.(entry, level);
  }

  /** Advances the hybrid clock and returns the timestamp for an outgoing message. */
  stamp(): HybridTime {
    this.#time = tickHybridTime(this.#time, this.#clock.wallNow());
    return this.#time;
  }

  /** Merges the timestamp of an incoming message into the hybrid clock. */
  mergeTime(time: HybridTime): void {
    this.#time = mergeHybridTime(this.#time, time, this.#clock.wallNow());
  }

  /** Returns the kept events, oldest first. */
  read(): TimelineEntry[] {
    const entries = this.#entries;
    return entries.length < timelineCapacity
      ? [...entries]
      : [...entries.slice(this.#next), ...entries.slice(0, this.#next)];
  }
}
