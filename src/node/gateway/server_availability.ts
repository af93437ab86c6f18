import type { Clock } from "../../core/clock.ts";
import type { Resumption } from "../../core/gateway/server_pauses.ts";
import {
  acceptsRequests,
  type BackendServer,
  type ServerDirectory,
} from "../../core/gateway/servers.ts";
import type { Journal, Meter } from "../../ports/journal.ts";
import { PauseTracker } from "../pause_tracker.ts";

type ServerAvailabilityOptions = {
  readonly clock: Clock;
  readonly directory: ServerDirectory;
  readonly journal: Journal;
  readonly meter: Meter;
};

/** Which servers take requests from this node now, by their registrations and the pauses they asked for. */
export class ServerAvailability {
  readonly #directory: ServerDirectory;
  readonly #pauses: PauseTracker;

  private constructor(options: ServerAvailabilityOptions) {
    this.#directory = options.directory;
    this.#pauses = PauseTracker.create(options);
  }

  static create(options: ServerAvailabilityOptions): ServerAvailability {
    return new ServerAvailability(options);
  }

  /** Records that a server asked for a pause with this Retry-After value. */
  recordPause(server: BackendServer, retryAfter: string): void {
    this.#pauses.record(server, retryAfter);
  }

  /** Whether the server has asked this node to send it nothing for a time. */
  isPaused(server: BackendServer): boolean {
    return this.#pauses.isPaused(this.#findCurrent(server));
  }

  /** Whether a request that was assigned to the server may be written to its connection. */
  accepts(server: BackendServer): boolean {
    return acceptsRequests(this.#directory, server) && !this.isPaused(server);
  }

  /** Whether a further request may be assigned to the server. */
  canTakeNext(server: BackendServer): boolean {
    return this.#pauses.canTakeNext(this.#findCurrent(server));
  }

  /** Earliest resumption of servers that all take no further request now; undefined if one of them does. */
  findResumption(servers: readonly BackendServer[]): Resumption | undefined {
    return this.#pauses.findResumption(servers);
  }

  /** Counts a request that is sent to the server. */
  recordSend(server: BackendServer): void {
    this.#pauses.recordSend(server);
  }

  /** Removes the state of servers that are gone. */
  removeEnded(): void {
    this.#pauses.removeEnded((id) => this.#directory.servers.has(id));
  }

  /** The incarnation that has the id of a server now; the server may have started again. */
  #findCurrent(server: BackendServer): BackendServer {
    return this.#directory.servers.get(server.id) ?? server;
  }
}
