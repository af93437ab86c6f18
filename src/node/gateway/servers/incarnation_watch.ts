import type { Either } from "purify-ts";
import { type Millis, millis, sleep } from "../../../core/clock.ts";
import {
  findProof,
  findRegistrationTime,
  recordSighting,
  type Sighting,
  type SightingSource,
  type Sightings,
} from "../../../core/gateway/incarnation_sightings.ts";
import type { BackendServer } from "../../../core/gateway/servers.ts";
import type { ServerId } from "../../../core/ids.ts";
import type {
  AttemptTimes,
  EngineOrders,
  EngineStatus,
  StatusFailure,
} from "../../../ports/gateway.ts";
import type { GatewayContext } from "../context.ts";
import type { TakePermit } from "./server_permits.ts";

/** Minimum time between two reports that this task asks one server for, in ms; they are priced as probes. */
const reportInterval = 400;

/** Maximum wait for the permit of a report from a server that limits its requests, in ms. */
const permitPatience = millis(1_000);

/** Asks a server for its report. */
export type FetchStatus = EngineOrders["fetchStatus"];

/** Called when a server, or the entry of one, has shown which incarnation runs. */
export type SightingListener = (server: ServerId) => void;

type IncarnationWatchOptions = {
  readonly fetchStatus: FetchStatus;
  readonly takePermit: TakePermit;
};

type ReportState = { askedAt: Millis; next: Promise<void> | undefined };

/**
 * Knows when which incarnation of a server ran. An entry that was read before
 * says nothing of the process that answers on a connection that was opened
 * later: the server may have started again under its id.
 */
export class IncarnationWatch {
  readonly #context: GatewayContext;
  readonly #options: IncarnationWatchOptions;
  readonly #sightings: Sightings = new Map();
  readonly #reports = new Map<ServerId, ReportState>();
  /** Servers whose latest report did not state their start. */
  readonly #silent = new Set<ServerId>();
  /** Servers that have stated their start in a report; one that fails says nothing. */
  readonly #stating = new Set<ServerId>();
  readonly #listeners: SightingListener[] = [];

  private constructor(
    context: GatewayContext,
    options: IncarnationWatchOptions,
  ) {
    this.#context = context;
    this.#options = options;
  }

  static create(
    context: GatewayContext,
    options: IncarnationWatchOptions,
  ): IncarnationWatch {
    return new IncarnationWatch(context, options);
  }

  follow(listener: SightingListener): void {
    this.#listeners.push(listener);
  }

  /** Asks a server for its report, and records which incarnation answers. */
  readonly fetchStatus = async (
    server: BackendServer,
  ): Promise<Either<StatusFailure, EngineStatus>> => {
    const aliveAt = this.#context.now();
    const answer = await this.#options.fetchStatus(server);
    answer
      .ifLeft(({ hasAnswered }) => {
        const hasStated = this.#stating.has(server.id);
        if (hasAnswered && !hasStated) this.#silent.add(server.id);
      })
      .ifRight(({ born }) => {
        if (born === undefined) this.#silent.add(server.id);
        else this.#recordReport(server.id, born, aliveAt);
      });
    return answer;
  };

  /** Records a registration; it was written at most `maxAge` ms ago. */
  recordRegistration({ id, born }: BackendServer, maxAge: number): void {
    if (this.#sightings.get(id)?.born !== born) this.#silent.delete(id);
    if (born !== undefined) {
      const aliveAt = findRegistrationTime(this.#context.now(), maxAge);
      this.#record(id, { born, aliveAt, source: "registration" });
    }
    this.#notify(id);
  }

  /** Records that the process at the other end of a connection answered a request. */
  recordAnswer({ id, born }: BackendServer, times: AttemptTimes): void {
    if (born === undefined) return;
    const { openedAt, sentAt: aliveAt } = times;
    if (findProof(this.#sightings, { id, born }, openedAt) === undefined)
      return;
    this.#record(id, { born, aliveAt, source: "answer" });
    this.#notify(id);
  }

  /** How it is known that a connection leads to an incarnation; undefined if a later one may answer on it. */
  findProof(
    server: BackendServer,
    openedAt: Millis,
  ): SightingSource | undefined {
    return findProof(this.#sightings, server, openedAt);
  }

  /** Incarnation of a server that was heard of last. */
  findSighting(id: ServerId): Sighting | undefined {
    return this.#sightings.get(id);
  }

  /** Whether nothing but its entry tells which incarnation of a server runs. */
  isSilent({ id, born }: BackendServer): boolean {
    return born === undefined || this.#silent.has(id);
  }

  /** Asks a server which incarnation runs, at most once in an interval; calls that wait for their turn share the report. */
  ask(server: BackendServer): Promise<void> {
    const state = this.#reports.get(server.id) ?? {
      askedAt: millis(Number.NEGATIVE_INFINITY),
      next: undefined,
    };
    this.#reports.set(server.id, state);
    // A call that fails unexpectedly is one without an answer.
    state.next ??= this.#askInTurn(server, state).catch(() => {});
    return state.next;
  }

  /** Forgets a server that is gone. */
  forget(id: ServerId): void {
    this.#sightings.delete(id);
    this.#reports.delete(id);
    this.#silent.delete(id);
    this.#stating.delete(id);
  }

  async #askInTurn(server: BackendServer, state: ReportState): Promise<void> {
    const { clock } = this.#context.dependencies;
    const wait = state.askedAt + reportInterval - this.#context.now();
    await sleep(clock, millis(Math.max(0, wait)));
    state.askedAt = this.#context.now();
    state.next = undefined;
    const { availability } = this.#context;
    const permit = await this.#options.takePermit(server, permitPatience);
    if (permit.kind === "denied" || availability.isPaused(server)) return;
    await this.fetchStatus(server);
  }

  #recordReport(id: ServerId, born: number, aliveAt: Millis): void {
    this.#silent.delete(id);
    this.#stating.add(id);
    this.#record(id, { born, aliveAt, source: "report" });
    this.#notify(id);
  }

  #record(id: ServerId, sighting: Omit<Sighting, "seenAt">): void {
    const seenAt = this.#context.now();
    recordSighting(this.#sightings, { id, seenAt, ...sighting });
  }

  #notify(id: ServerId): void {
    for (const listener of this.#listeners) listener(id);
  }
}
