import type { Clock } from "../../../core/clock.ts";
import type { ServiceName } from "../../../core/ids.ts";
import type { Meter } from "../../../ports/journal.ts";
import { WaitingLine } from "./waiting_line.ts";

/** The lines of waiting requests of one node, by service. */
export class WaitingLines {
  readonly #options: { readonly clock: Clock; readonly meter: Meter };
  readonly #lines = new Map<ServiceName, WaitingLine>();

  private constructor(options: {
    readonly clock: Clock;
    readonly meter: Meter;
  }) {
    this.#options = options;
  }

  static create(options: {
    readonly clock: Clock;
    readonly meter: Meter;
  }): WaitingLines {
    return new WaitingLines(options);
  }

  /** The line of a service. */
  obtain(service: ServiceName): WaitingLine {
    const known = this.#lines.get(service);
    if (known !== undefined) return known;
    const line = WaitingLine.create({ ...this.#options, service });
    this.#lines.set(service, line);
    return line;
  }

  /** The line of a service, if any request has waited for it. */
  find(service: ServiceName): WaitingLine | undefined {
    return this.#lines.get(service);
  }

  /** Tells the line of a service that a server may have room. */
  notify(service: ServiceName): void {
    this.#lines.get(service)?.notify();
  }

  /** Tells all lines that a server may have room. */
  notifyAll(): void {
    for (const line of this.#lines.values()) line.notify();
  }
}
