import type { Clock, Millis } from "../../core/clock.ts";
import { boundPause, parseRetryAfter } from "../../core/gateway/retry_after.ts";
import {
  createServerPauses,
  findEarliestResumption,
  findResumption,
  isPaused,
  type Resumption,
  recordPause,
  recordSend,
  removeEndedPauses,
} from "../../core/gateway/server_pauses.ts";
import {
  acceptsRequests,
  type BackendServer,
  type ServerDirectory,
} from "../../core/gateway/servers.ts";
import type { Journal, Meter } from "../../ports/journal.ts";

type ServerAvailabilityOptions = {
  readonly clock: Clock;
  readonly directory: ServerDirectory;
  readonly journal: Journal;
  readonly meter: Meter;
};

/** Which servers take requests from this node now, by their registrations and the pauses they asked for. */
export class ServerAvailability {
  readonly #options: ServerAvailabilityOptions;
  readonly #pauses = createServerPauses();

  private constructor(options: ServerAvailabilityOptions) {
    this.#options = options;
  }

  static create(options: ServerAvailabilityOptions): ServerAvailability {
    return new ServerAvailability(options);
  }

  /** Records that a server asked for a pause with this Retry-After value. */
  recordPause(server: BackendServer, text: string): void {
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
  isPaused(server: BackendServer): boolean {
    return isPaused(this.#pauses, this.#findCurrent(server), this.#now());
  }

  /** Whether a request that was assigned to the server may be written to its connection. */
  accepts(server: BackendServer): boolean {
    const { directory } = this.#options;
    return acceptsRequests(directory, server) && !this.isPaused(server);
  }

  /** Whether a further request may be assigned to the server. */
  canTakeNext(server: BackendServer): boolean {
    const current = this.#findCurrent(server);
    return findResumption(this.#pauses, current, this.#now()) === undefined;
  }

  /** Earliest resumption of servers that all take no further request now; undefined if one of them does. */
  findResumption(servers: readonly BackendServer[]): Resumption | undefined {
    return findEarliestResumption(this.#pauses, servers, this.#now());
  }

  /** Counts a request that is sent to the server. */
  recordSend(server: BackendServer): void {
    recordSend(this.#pauses, server, this.#now());
  }

  /** Removes the state of servers that are gone. */
  removeEnded(): void {
    const { servers } = this.#options.directory;
    removeEndedPauses(this.#pauses, (id) => servers.has(id), this.#now());
  }

  /** The incarnation that has the id of a server now; the server may have started again. */
  #findCurrent(server: BackendServer): BackendServer {
    return this.#options.directory.servers.get(server.id) ?? server;
  }

  #now(): Millis {
    return this.#options.clock.now();
  }
}
