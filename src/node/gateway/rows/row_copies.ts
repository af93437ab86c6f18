import { type Clock, type Millis, millis } from "../../../core/clock.ts";
import {
  createOutageWatch,
  type OutageWatch,
  recordTableAnswer,
  recordTableRestore,
} from "../../../core/gateway/outage_watch.ts";
import {
  applyRows,
  computeAge,
  createRowReplica,
  type Instant,
  listRows,
  type RowBatch,
  type RowPosition,
  type RowReplica,
  selectRowsAfter,
  type UrgencyPolicy,
} from "../../../core/gateway/row_replica.ts";
import type { MachineName } from "../../../core/ids.ts";
import type { Journal } from "../../../ports/journal.ts";
import {
  type RowChange,
  type RowDelivery,
  type RowRequest,
  type RowSnapshot,
  type RowTopic,
  rowTopics,
} from "../../../ports/rows.ts";

/**
 * Time without an answer of the table service from which rows count as
 * outdated, in ms: without one for their topic, and without one for any topic.
 * Both are above the longest time between two answers to the polls.
 */
const maxAnswerAge = 1_800;
const maxSilence = 1_400;

/** Whether answers with these ages in ms, one for each topic, are recent enough to rely on the rows. */
export function areRecent(answerAges: readonly number[]): boolean {
  return (
    answerAges.length === rowTopics.length &&
    Math.max(...answerAges) < maxAnswerAge &&
    Math.min(...answerAges) < maxSilence
  );
}

/** Called with the rows of a topic that changed. */
export type RowListener = (change: RowChange) => void;

type RowCopiesOptions = {
  readonly clock: Clock;
  readonly journal: Journal;
  /** Shortest outage in which registrations can expire. */
  readonly minOutage: Millis;
  readonly isUrgent: (topic: RowTopic) => UrgencyPolicy;
  /** Called when followers need a change at once. */
  readonly onUrgentChange: () => void;
};

/** The copies of all topics that a node keeps, and their listeners. */
export class RowCopies {
  readonly #options: RowCopiesOptions;
  readonly #replicas = new Map<RowTopic, RowReplica>();
  readonly #listeners = new Map<RowTopic, RowListener[]>();
  readonly #outages: OutageWatch;

  private constructor(options: RowCopiesOptions) {
    this.#options = options;
    this.#outages = createOutageWatch(options.minOutage);
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
      epoch: replica.epoch,
      newest: replica.newest,
      confirmedAt: replica.confirmedAt.now,
    };
  }

  /** What the node has of each topic. */
  listPositions(): RowRequest["positions"] {
    const positions: { [topic in RowTopic]?: RowPosition } = {};
    for (const [topic, { epoch, newest }] of this.#replicas) {
      if (newest > 0) positions[topic] = { epoch, newest };
    }
    return positions;
  }

  /** Applies rows that were read; false if they were older than the copy and ignored. */
  apply(
    topic: RowTopic,
    batch: RowBatch,
    read: {
      readonly isComplete: boolean;
      readonly confirmedAt: Instant;
      /** Node that delivered the rows, and the base that it knows; omitted if this node read them. */
      readonly source?: MachineName;
      readonly base?: number;
    },
  ): boolean {
    const { clock, isUrgent, onUrgentChange } = this.#options;
    const replica = this.replica(topic);
    const isRestored = replica.newest > 0 && batch.epoch > replica.epoch;
    if (isRestored) recordTableRestore(this.#outages, clock.now());
    this.#recordEpoch(topic, batch, read.source);
    const maxAge = computeAge(replica, this.instant());
    const applied = applyRows(replica, batch, {
      ...read,
      now: clock.now(),
      isUrgent: isUrgent(topic),
    });
    if (applied === undefined) return false;
    const { rows, epoch, newest } = batch;
    const { isComplete, source } = read;
    const { base } = replica;
    for (const listener of this.#listeners.get(topic) ?? []) {
      const change = { rows, epoch, newest, base, isComplete, source, maxAge };
      this.#notify(listener, topic, change);
    }
    if (applied.hasUrgent) onUrgentChange();
    return true;
  }

  #recordEpoch(
    topic: RowTopic,
    { epoch, newest }: RowPosition,
    source: MachineName | undefined,
  ): void {
    const known = this.replica(topic);
    if (known.newest === 0 || known.epoch === epoch) return;
    this.#options.journal.record("storeRestored", {
      table: topic,
      epoch,
      newest,
      knownEpoch: known.epoch,
      knownNewest: known.newest,
      source: source ?? "store",
    });
  }

  /** Whether a delivery is of an earlier epoch than the rows that the node has. */
  isOutdated({ topic, epoch }: RowDelivery): boolean {
    const known = this.replica(topic);
    return known.newest > 0 && epoch < known.epoch;
  }

  /** Calls a listener; its failure must end neither the other listeners nor the reading. */
  #notify(listener: RowListener, topic: RowTopic, change: RowChange): void {
    try {
      listener(change);
    } catch (error) {
      const detail = (error as Error).message;
      this.#options.journal.record("rowsNotApplied", { table: topic, detail });
    }
  }

  /** Applies rows that another node delivered in response to a request sent at `sentAt`. */
  accept(
    delivery: RowDelivery,
    { source, sentAt }: { source: MachineName; sentAt: Instant },
  ): void {
    const { topic, age, answerAge, isComplete, base } = delivery;
    const { now } = this.instant();
    this.recordAnswer(topic, millis(now - answerAge));
    // The age was known when the response was sent, which was after the request.
    const confirmedAt = {
      now: millis(sentAt.now - age),
      wall: millis(sentAt.wall - age),
    };
    this.apply(topic, delivery, { isComplete, base, confirmedAt, source });
  }

  /** Rows for a node that has these. */
  collectDeliveries(positions: RowRequest["positions"]): RowDelivery[] {
    const deliveries: RowDelivery[] = [];
    const instant = this.instant();
    for (const [topic, replica] of this.#replicas) {
      if (replica.newest === 0) continue;
      deliveries.push({
        topic,
        ...selectRowsAfter(replica, positions[topic]),
        age: computeAge(replica, instant),
        answerAge: instant.now - replica.answeredAt,
      });
    }
    return deliveries;
  }

  /** Records an answer of the table service to this node or to another. */
  recordAnswer(topic: RowTopic, at: Millis): void {
    const replica = this.replica(topic);
    replica.answeredAt = millis(Math.max(replica.answeredAt, at));
    recordTableAnswer(this.#outages, at);
  }

  /** End of the latest outage in which registrations can have expired. */
  get outageEndedAt(): Millis {
    return this.#outages.endedAt;
  }

  /** Time of the latest answer of the table service for any topic. */
  get latestAnswerAt(): number {
    const replicas = [...this.#replicas.values()];
    return Math.max(...replicas.map(({ answeredAt }) => answeredAt));
  }

  /** Time at which the rows become outdated. */
  findOutdatedAt(): number {
    const times = [...this.#replicas.values()].map(
      ({ answeredAt }) => answeredAt,
    );
    return Math.min(
      Math.min(...times) + maxAnswerAge,
      Math.max(...times) + maxSilence,
    );
  }
}
