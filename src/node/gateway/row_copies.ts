import { type Clock, type Millis, millis } from "../../core/clock.ts";
import {
  applyRows,
  computeAge,
  createRowReplica,
  type Instant,
  listRows,
  type RowBatch,
  type RowReplica,
  selectRowsAfter,
  type UrgencyPolicy,
} from "../../core/gateway/row_replica.ts";
import type { MachineName } from "../../core/ids.ts";
import {
  type RowDelivery,
  type RowNews,
  type RowRequest,
  type RowSnapshot,
  type RowTopic,
  rowTopics,
} from "../../ports/rows.ts";

/**
 * Time without an answer of the table service from which rows count as
 * outdated, in ms; above the longest sum of wait and spacing of the polls.
 */
export const maxAnswerAge = 1_800;

/** Called with the rows of a topic that changed. */
export type RowListener = (news: RowNews) => void;

type RowCopiesOptions = {
  readonly clock: Clock;
  readonly isUrgent: (topic: RowTopic) => UrgencyPolicy;
  /** Called when followers need a change at once. */
  readonly onUrgentChange: () => void;
};

/** The copies of all topics that a node keeps, and their listeners. */
export class RowCopies {
  readonly #options: RowCopiesOptions;
  readonly #replicas = new Map<RowTopic, RowReplica>();
  readonly #listeners = new Map<RowTopic, RowListener[]>();

  private constructor(options: RowCopiesOptions) {
    this.#options = options;
    for (const topic of rowTopics) {
      this.#replicas.set(topic, createRowReplica());
      this.#listeners.set(topic, []);
    }
  }

  static create(options: RowCopiesOptions): RowCopies {
    return new RowCopies(options);
  }

  /** Monotonic and wall-clock time now. */
  instant(): Instant {
    const { clock } = this.#options;
    return { now: clock.now(), wall: clock.wallNow() };
  }

  replica(topic: RowTopic): RowReplica {
    return this.#replicas.get(topic) as RowReplica;
  }

  subscribe(topic: RowTopic, listener: RowListener): void {
    this.#listeners.get(topic)?.push(listener);
  }

  /** The current copy; undefined before the first complete read. */
  snapshot(topic: RowTopic): RowSnapshot | undefined {
    const replica = this.replica(topic);
    if (replica.newest === 0) return undefined;
    return {
      rows: listRows(replica),
      newest: replica.newest,
      confirmedAt: replica.confirmedAt.now,
    };
  }

  /** Newest version of each topic that the node has. */
  listVersions(): RowRequest["versions"] {
    const versions: { [topic in RowTopic]?: number } = {};
    for (const [topic, { newest }] of this.#replicas) {
      if (newest > 0) versions[topic] = newest;
    }
    return versions;
  }

  /** Applies rows that were read; false if they were older than the copy and ignored. */
  apply(
    topic: RowTopic,
    batch: RowBatch,
    read: {
      readonly isComplete: boolean;
      readonly confirmedAt: Instant;
      /** Node that delivered the rows; omitted if this node read them. */
      readonly source?: MachineName;
    },
  ): boolean {
    const { clock, isUrgent, onUrgentChange } = this.#options;
    const maxAge = computeAge(this.replica(topic), this.instant());
    const applied = applyRows(this.replica(topic), batch, {
      ...read,
      now: clock.now(),
      isUrgent: isUrgent(topic),
    });
    if (applied === undefined) return false;
    const { rows, newest } = batch;
    const { isComplete, source } = read;
    for (const listener of this.#listeners.get(topic) ?? []) {
      listener({ rows, newest, isComplete, source, maxAge });
    }
    if (applied.hasUrgent) onUrgentChange();
    return true;
  }

  /** Applies rows that another node delivered in response to a request sent at `sentAt`. */
  accept(
    delivery: RowDelivery,
    { source, sentAt }: { source: MachineName; sentAt: Instant },
  ): void {
    const { topic, age, answerAge, failureAge, isComplete } = delivery;
    const replica = this.replica(topic);
    const { now } = this.instant();
    replica.answeredAt = latest(replica.answeredAt, now - answerAge);
    if (failureAge !== undefined)
      replica.failedAt = latest(replica.failedAt, now - failureAge);
    // The age was known when the response was sent, which was after the request.
    const confirmedAt = {
      now: millis(sentAt.now - age),
      wall: millis(sentAt.wall - age),
    };
    this.apply(topic, delivery, { isComplete, confirmedAt, source });
  }

  /** Rows for a node that has these versions. */
  collectDeliveries(versions: RowRequest["versions"]): RowDelivery[] {
    const deliveries: RowDelivery[] = [];
    const instant = this.instant();
    for (const [topic, replica] of this.#replicas) {
      if (replica.newest === 0) continue;
      const { answeredAt, failedAt } = replica;
      deliveries.push({
        topic,
        ...selectRowsAfter(replica, versions[topic]),
        age: computeAge(replica, instant),
        answerAge: instant.now - answeredAt,
        failureAge: Number.isFinite(failedAt)
          ? instant.now - failedAt
          : undefined,
      });
    }
    return deliveries;
  }

  /** Records an answer of the table service. */
  recordAnswer(topic: RowTopic): void {
    this.replica(topic).answeredAt = this.#options.clock.now();
  }

  /** Records a failed call to the table service. */
  recordFailure(): void {
    const now = this.#options.clock.now();
    for (const replica of this.#replicas.values()) replica.failedAt = now;
  }

  /** Time at which the rows of some topic become outdated. */
  findOutdatedAt(): number {
    let earliest = Number.POSITIVE_INFINITY;
    for (const { answeredAt } of this.#replicas.values()) {
      earliest = Math.min(earliest, answeredAt + maxAnswerAge);
    }
    return earliest;
  }
}

function latest(known: Millis, time: number): Millis {
  return millis(Math.max(known, time));
}
