import { type Clock, millis } from "../../../core/clock.ts";
import {
  type BrittleServers,
  hasRoom,
  mayHaveRoom,
  parseTolerance,
  recordRejection,
  recordServed,
  recordTolerance,
} from "../../../core/gateway/brittle_servers.ts";
import type { ServerObstacle } from "../../../core/gateway/dry_run.ts";
import {
  countCalls,
  type ServerHealth,
} from "../../../core/gateway/server_health.ts";
import type { Resumption } from "../../../core/gateway/server_pauses.ts";
import {
  type FullServers,
  isFull,
  recordNoRoom,
  recordRoom,
} from "../../../core/gateway/server_room.ts";
import {
  acceptsRequests,
  type BackendServer,
  type ServerDirectory,
} from "../../../core/gateway/servers.ts";
import type { Journal, Meter } from "../../../ports/journal.ts";
import { PauseTracker } from "../../pause_tracker.ts";
import { LimitTracker } from "./limit_tracker.ts";
import type { Permit } from "./server_permits.ts";

type ServerAvailabilityOptions = {
  readonly clock: Clock;
  readonly directory: ServerDirectory;
  readonly health: ServerHealth;
  readonly random: () => number;
  readonly countNodes: () => number;
  readonly journal: Journal;
  readonly meter: Meter;
};

/** Which servers take requests from this node now, by their registrations, the pauses they asked for and their limits. */
export class ServerAvailability {
  /** Limits of the requests of all nodes together. */
  readonly limits: LimitTracker;
  readonly #clock: Clock;
  readonly #directory: ServerDirectory;
  readonly #pauses: PauseTracker;
  readonly #options: ServerAvailabilityOptions;
  readonly #brittle: BrittleServers = new Map();
  readonly #full: FullServers = new Map();

  private constructor(options: ServerAvailabilityOptions) {
    this.#options = options;
    this.#clock = options.clock;
    this.#directory = options.directory;
    this.#pauses = PauseTracker.create(options);
    this.limits = LimitTracker.create(options);
  }

  static create(options: ServerAvailabilityOptions): ServerAvailability {
    return new ServerAvailability(options);
  }

  /** Records that a server asked for a pause with this Retry-After value. */
  recordPause(server: BackendServer, retryAfter: string): void {
    this.#pauses.record(server, retryAfter);
  }

  /** Records that a server falls over if it has to reject more requests a second. */
  recordTolerance(server: BackendServer, value: string): void {
    const tolerance = parseTolerance(value);
    const { meter } = this.#options;
    if (tolerance === undefined)
      return meter.count("server_notices_ignored_total");
    const moment = this.#describeMoment(server);
    recordTolerance(this.#brittle, server, { tolerance, ...moment });
  }

  /** Records that a server is no longer brittle. */
  forgetTolerance({ id }: BackendServer): void {
    this.#brittle.delete(id);
  }

  /** Whether a server says that it falls over if it has to reject too many requests. */
  isBrittle({ id }: BackendServer): boolean {
    return this.#brittle.has(id);
  }

  /** Records that a server had no room for a request. */
  recordRejection(server: BackendServer): void {
    if (this.isBrittle(server)) return this.#recordBrittleRejection(server);
    const now = this.#clock.now();
    recordNoRoom(this.#full, server, { now, share: this.#options.random() });
  }

  #recordBrittleRejection(server: BackendServer): void {
    recordRejection(this.#brittle, server, this.#describeMoment(server));
    this.#options.meter.count("brittle_rejections_total");
  }

  /** Records that a server has served a request. */
  recordServed({ id }: BackendServer): void {
    recordServed(this.#brittle, id);
    recordRoom(this.#full, id);
  }

  /** Whether the server has asked this node to send it nothing for a time. */
  isPaused(server: BackendServer): boolean {
    return this.#pauses.isPaused(this.#findCurrent(server));
  }

  /** Whether the server limits the requests of all nodes together. */
  isLimited(server: BackendServer): boolean {
    return this.limits.find(this.#findCurrent(server)) !== undefined;
  }

  /** Whether a request that was assigned to the server under a permit may be written to its connection. */
  accepts(server: BackendServer, permit: Permit): boolean {
    if (!acceptsRequests(this.#directory, server) || this.isPaused(server))
      return false;
    // The limit may be younger than the permit, or the permit too old.
    if (!this.isLimited(server)) return true;
    return permit.kind === "granted" && this.#clock.now() <= permit.until;
  }

  /** Whether a further request may be assigned to the server; one with a permit may although later ones are denied. */
  canTakeNext(server: BackendServer, permit?: Permit): boolean {
    return this.#findObstacle(server, hasRoom, permit) === undefined;
  }

  /** What keeps a further request from the server; changes nothing, unlike `canTakeNext`. */
  findObstacle(server: BackendServer): ServerObstacle | undefined {
    return this.#findObstacle(server, mayHaveRoom);
  }

  #findObstacle(
    server: BackendServer,
    checkRoom: typeof hasRoom,
    permit?: Permit,
  ): ServerObstacle | undefined {
    const current = this.#findCurrent(server);
    if (!this.#pauses.canTakeNext(current)) return "paused";
    if (isFull(this.#full, current, this.#clock.now())) return "no-room";
    if (!checkRoom(this.#brittle, current, this.#describeMoment(current)))
      return "no-room";
    if (permit?.kind === "granted") return undefined;
    const isDenied = this.limits.findDenialEnd(current) !== undefined;
    return isDenied ? "limited" : undefined;
  }

  /** Earliest resumption of servers that all take no further request now; undefined if one of them does. */
  findResumption(servers: readonly BackendServer[]): Resumption | undefined {
    let earliest: Resumption | undefined;
    for (const server of servers) {
      const resumption = this.#findResumptionOf(server);
      if (resumption === undefined) return undefined;
      if (earliest === undefined || resumption.at < earliest.at)
        earliest = resumption;
    }
    return earliest;
  }

  /** Counts a request that is sent to the server. */
  recordSend(server: BackendServer): void {
    this.#pauses.recordSend(server);
  }

  /** Removes the state of servers that are gone. */
  removeEnded(): void {
    this.#pauses.removeEnded((id) => this.#directory.servers.has(id));
    this.limits.removeGone((id) => this.#directory.servers.has(id));
    for (const id of this.#full.keys())
      if (!this.#directory.servers.has(id)) this.#full.delete(id);
    for (const id of this.#brittle.keys())
      if (!this.#directory.servers.has(id)) this.#brittle.delete(id);
  }

  #describeMoment({ id }: BackendServer) {
    const { health, countNodes, random } = this.#options;
    const inFlight = countCalls(health, id);
    const now = this.#clock.now();
    return { now, nodes: countNodes(), inFlight, random };
  }

  /** The later one of the end of the pause and the next permit. */
  #findResumptionOf(server: BackendServer): Resumption | undefined {
    const current = this.#findCurrent(server);
    const pause = this.#pauses.findResumption([current]);
    const at = this.limits.findDenialEnd(current);
    if (at === undefined || (pause !== undefined && pause.at >= at))
      return pause;
    return { server: server.id, at, pauseLength: millis(0), isLimit: true };
  }

  /** The incarnation that has the id of a server now; the server may have started again. */
  #findCurrent(server: BackendServer): BackendServer {
    return this.#directory.servers.get(server.id) ?? server;
  }
}
