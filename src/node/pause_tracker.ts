import type { Clock, Millis } from "../core/clock.ts";
import { boundPause, parseRetryAfter } from "../core/gateway/retry_after.ts";
import {
  createServerPauses,
  findEarliestResumption,
  findResumption,
  isPaused,
  type Resumption,
  recordPause,
  recordSend,
  removeEndedPauses,
} from "../core/gateway/server_pauses.ts";
import type { Incarnation } from "../core/gateway/servers.ts";
import type { ServerId } from "../core/ids.ts";
import type { Journal, Meter } from "../ports/journal.ts";

type PauseTrackerOptions = {
  readonly clock: Clock;
  readonly journal: Journal;
  readonly meter: Meter;
};

/** The pauses that servers asked this node for, with their log events and counts. */
export class PauseTracker {
  readonly #options: PauseTrackerOptions;
  readonly #pauses = createServerPauses();

  private constructor(options: PauseTrackerOptions) {
    this.#options = options;
  }

  static create(options: PauseTrackerOptions): PauseTracker {
    return new PauseTracker(options);
  }

  /** Records that a server asked for a pause with this Retry-After value. */
  record(server: Incarnation, text: string): void {
    const { clock, journal, meter } = this.#options;
    const value = parseRetryAfter(text, clock.wallNow());
    const duration = boundPause(value);
    meter.count("server_pauses_total", { value: value.kind });
    const fields = { server: server.id, value: text, duration };
    const isBounded = value.delay > duration;
    if (value.kind !== "seconds" || isBounded)
      journal.record("retryAfterUnusual", { ...fields, form: value.kind });
    const now = this.#now();
    if (recordPause(this.#pauses, server, { duration, now }))
      journal.record("serverPaused", fields);
  }

  /** Whether the server has asked this node to send it nothing for a time. */
  isPaused(server: Incarnation): boolean {
    return isPaused(this.#pauses, server, this.#now());
  }

  /** Whether a further request may be assigned to the server. */
  canTakeNext(server: Incarnation): boolean {
    return findResumption(this.#pauses, server, this.#now()) === undefined;
  }

  /** Earliest resumption of servers that all take no further request now; undefined if one of them does. */
  findResumption(servers: readonly Incarnation[]): Resumption | undefined {
    return findEarliestResumption(this.#pauses, servers, this.#now());
  }

  /** Counts a request that is sent to the server. */
  recordSend(server: Incarnation): void {
    recordSend(this.#pauses, server, this.#now());
  }

  /** Removes the state of servers that are gone, except pauses that have not ended. */
  removeEnded(isKnown: (id: ServerId) => boolean): void {
    removeEndedPauses(this.#pauses, isKnown, this.#now());
  }

  #now(): Millis {
    return this.#options.clock.now();
  }
}
