import type { Clock } from "../../core/clock.ts";
import type { NodeId } from "../../core/ids.ts";
import { type EventName, eventCatalogue } from "../../core/observe/events.ts";
import type { EventFields, Journal } from "../../ports/journal.ts";
import type { EntryListener } from "./timeline.ts";

/** Journal that passes events on to the log and keeps none, for a program without a timeline to read. */
export class LogJournal implements Journal {
  readonly #node: NodeId;
  readonly #clock: Clock;
  readonly #listener: EntryListener;

  private constructor(options: {
    node: NodeId;
    clock: Clock;
    listener: EntryListener;
  }) {
    this.#node = options.node;
    this.#clock = options.clock;
    this.#listener = options.listener;
  }

  static create(options: {
    node: NodeId;
    clock: Clock;
    listener: EntryListener;
  }): LogJournal {
    return new LogJournal(options);
  }

  record(event: EventName, fields: EventFields = {}): void {
    const { number, level } = eventCatalogue[event];
    const time = { wall: this.#clock.wallNow(), counter: 0 };
    this.#listener({ time, node: this.#node, number, event, fields }, level);
  }
}
