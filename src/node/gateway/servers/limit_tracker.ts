import { type Clock, type Millis, millis } from "../../../core/clock.ts";
import {
  boundLimit,
  parseRequestLimit,
} from "../../../core/gateway/request_limit.ts";
import {
  createServerLimits,
  findDenialEnd,
  findLastLimit,
  findLimit,
  type ObservedLimit,
  planReturn,
  recordDenial,
  recordLimit,
  removeLimitsOfGone,
} from "../../../core/gateway/server_limits.ts";
import type { Incarnation } from "../../../core/gateway/servers.ts";
import type { ServerId } from "../../../core/ids.ts";
import type { Journal, Meter } from "../../../ports/journal.ts";

type LimitTrackerOptions = {
  readonly clock: Clock;
  readonly journal: Journal;
  readonly meter: Meter;
};

/** The limits that servers named for the requests of all nodes, with their log events and counts. */
export class LimitTracker {
  readonly #options: LimitTrackerOptions;
  readonly #limits = createServerLimits();

  private constructor(options: LimitTrackerOptions) {
    this.#options = options;
  }

  static create(options: LimitTrackerOptions): LimitTracker {
    return new LimitTracker(options);
  }

  /** Records the value that a server has just named; true if it changes the limit. */
  recordValue(server: Incarnation, value: string): boolean {
    const { journal, meter } = this.#options;
    const limit = parseRequestLimit(value);
    meter.count("server_limits_total", { value: limit.kind });
    if (limit.kind !== "rate") {
      const form = limit.kind;
      journal.record("serverLimitUnusual", { server: server.id, value, form });
    }
    const rate = boundLimit(limit);
    // No limit at all is what an endless one says; any other value says nothing.
    if (rate === undefined && limit.kind !== "endless") return false;
    return this.recordNews(server, { rate, observedAt: this.#now() }, "answer");
  }

  /** Records that a server answered a request of `sentAt` without a limit; true if it had one. */
  recordAbsence(server: Incarnation, sentAt: Millis): boolean {
    const known = this.find(server);
    // The answer may have left the server before the limit was named.
    if (known === undefined || sentAt <= known.observedAt) return false;
    const news = { rate: undefined, observedAt: sentAt };
    return this.recordNews(server, news, "answer");
  }

  /** Records what the server, or another node, says of its limit; true if it changes the limit. */
  recordNews(
    server: Incarnation,
    news: ObservedLimit,
    source: string,
  ): boolean {
    if (!recordLimit(this.#limits, server, news)) return false;
    const { rate, observedAt } = news;
    const age = Math.round(this.#now() - observedAt);
    const event = rate === undefined ? "serverLimitEnded" : "serverLimited";
    const fields = { server: server.id, rate, source, age };
    this.#options.journal.record(event, fields);
    return true;
  }

  /** The limit that a server keeps now; undefined without one. */
  find(server: Incarnation) {
    return findLimit(this.#limits, server);
  }

  /** What is last known of the limit of a server, its end included. */
  findLast(server: Incarnation): ObservedLimit | undefined {
    return findLastLimit(this.#limits, server);
  }

  /** Records that the node gets no permit for a server for a time. */
  recordDenial(server: Incarnation, duration: Millis): void {
    recordDenial(this.#limits, server, millis(this.#now() + duration));
  }

  /** Time before which the node gets no permit for a server; undefined if it may ask for one. */
  findDenialEnd(server: Incarnation): Millis | undefined {
    return findDenialEnd(this.#limits, server, this.#now());
  }

  /** Time at which the next caller that is refused may return, with `nodes` nodes that share the limit. */
  planReturn(server: Incarnation, nodes: number): Millis {
    return planReturn(this.#limits, server, { now: this.#now(), nodes });
  }

  /** Removes the limits of servers that are gone. */
  removeGone(isKnown: (id: ServerId) => boolean): void {
    removeLimitsOfGone(this.#limits, isKnown);
  }

  #now(): Millis {
    return this.#options.clock.now();
  }
}
