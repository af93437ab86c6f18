import { type Clock, type Millis, millis, sleep } from "../../core/clock.ts";
import type { KnownNode } from "../../core/gateway/engine_lease.ts";
import {
  chooseReader,
  createReaderChoice,
  isFirstReader,
  type ReaderChoice,
  type ReaderFault,
  recordReaderFault,
  recordReaderSuccess,
  setReaderCandidates,
} from "../../core/gateway/reader_choice.ts";
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
  type VersionedRow,
} from "../../core/gateway/row_replica.ts";
import type { DataCentre, MachineName } from "../../core/ids.ts";
import type { Journal } from "../../ports/journal.ts";
import {
  type RowDelivery,
  type RowFailure,
  type RowFollower,
  type RowPeers,
  type RowRequest,
  type RowServer,
  type RowSnapshot,
  type RowSource,
  type RowTopic,
  type RowUpdate,
  rowTopics,
} from "../../ports/rows.ts";
import { type PollSchedule, TopicPoller } from "./topic_poller.ts";

const schedules: { readonly [topic in RowTopic]: PollSchedule } = {
  operator: { wait: millis(1_000), spacing: millis(200) },
  servers: { wait: millis(600), spacing: millis(900) },
  nodes: { wait: millis(700), spacing: millis(500) },
};
/** Delay before a failed call to the table service is repeated, in ms; the maximum is for nodes that are not first readers. */
const minRetryDelay = 300;
const maxRetryDelay = 2_400;
/**
 * Time without an answer of the table service from which rows count as
 * outdated, in ms; above the longest sum of wait and spacing.
 */
const maxSilence = 1_800;
/** Maximum time that a node holds the call of another until a row changes, in ms. */
const maxServeWait = 1_000;
/** Time beyond that wait in which the response must arrive, in ms. */
const peerResponseTime = 400;
/** Minimum time between two calls to the same node, so that changes arrive in batches, in ms. */
const peerSpacing = 100;
/** Interval at which a node that reads for itself looks for a node to read from, in ms. */
const reviewInterval = millis(500);
/** Maximum number of calls of other nodes that are held at a time. */
const maxWaitingCalls = 256;

/** Dependencies of a row relay. */
export type RowRelayOptions = {
  readonly machine: MachineName;
  readonly dataCentre: DataCentre;
  readonly clock: Clock;
  readonly random: () => number;
  readonly journal: Journal;
  readonly source: RowSource;
  readonly peers: RowPeers;
  readonly isUrgent: (topic: RowTopic) => UrgencyPolicy;
  /** Decodes the rows of the topic `nodes`. */
  readonly decodeNodes: (rows: readonly VersionedRow[]) => readonly KnownNode[];
};

type Listener = (update: RowUpdate) => void;

/**
 * Keeps copies of the rows that every node needs. One node of each data centre
 * reads them from the table service, the others read from it; a node that
 * finds no reader with recent rows reads the table service itself.
 */
export class RowRelay implements RowFollower, RowServer {
  readonly #options: RowRelayOptions;
  readonly #choice: ReaderChoice;
  readonly #replicas = new Map<RowTopic, RowReplica>();
  readonly #listeners = new Map<RowTopic, Listener[]>();
  readonly #pollers = new Map<RowTopic, TopicPoller>();
  readonly #waiting = new Set<() => void>();
  #addresses = new Map<MachineName, string>();
  /** The reader of the latest call, if it answered. */
  #reader: MachineName | undefined;
  #isDirect = true;
  /** Ends the wait of a node that reads for itself. */
  #review: () => void = () => {};
  #failures = 0;
  #stopped = false;

  private constructor(options: RowRelayOptions) {
    this.#options = options;
    this.#choice = createReaderChoice(options);
    for (const topic of rowTopics) {
      this.#replicas.set(topic, createRowReplica());
      this.#listeners.set(topic, []);
    }
  }

  /** Starts to read; listeners that subscribe in the same turn miss no rows. */
  static create(options: RowRelayOptions): RowRelay {
    const relay = new RowRelay(options);
    for (const topic of rowTopics) {
      relay.#pollers.set(topic, relay.#createPoller(topic));
    }
    void relay.#run();
    return relay;
  }

  /** Whether this node reads from the table service. */
  get isReading(): boolean {
    return this.#isDirect;
  }

  subscribe(topic: RowTopic, listener: Listener): void {
    this.#listeners.get(topic)?.push(listener);
  }

  snapshot(topic: RowTopic): RowSnapshot | undefined {
    const replica = this.#replica(topic);
    if (replica.newest === 0) return undefined;
    return {
      rows: listRows(replica),
      newest: replica.newest,
      confirmedAt: replica.confirmedAt.now,
    };
  }

  async refresh(topic: RowTopic): Promise<RowSnapshot | undefined> {
    await this.#pollers.get(topic)?.refresh();
    return this.snapshot(topic);
  }

  failedAt(topic: RowTopic): Millis {
    return this.#replica(topic).failedAt;
  }

  async serve({ versions, wait }: RowRequest): Promise<RowDelivery[]> {
    const { clock } = this.#options;
    const until = clock.now() + Math.min(wait, maxServeWait);
    for (;;) {
      const deliveries = this.#collectDeliveries(versions);
      const hasNews = deliveries.some(
        ({ isComplete, rows }) => isComplete || rows.length > 0,
      );
      const left = Math.min(until, this.#findOutdatedAt()) - clock.now();
      const isFull = this.#waiting.size >= maxWaitingCalls;
      if (hasNews || left <= 0 || isFull || this.#stopped) return deliveries;
      await this.#waitForNews(millis(left));
    }
  }

  stop(): void {
    this.#stopped = true;
    for (const poller of this.#pollers.values()) poller.stop();
    this.#announceNews();
  }

  #replica(topic: RowTopic): RowReplica {
    return this.#replicas.get(topic) as RowReplica;
  }

  #instant(): Instant {
    const { clock } = this.#options;
    return { now: clock.now(), wall: clock.wallNow() };
  }

  #createPoller(topic: RowTopic): TopicPoller {
    const { source, clock } = this.#options;
    const replica = this.#replica(topic);
    return TopicPoller.create({
      topic,
      source,
      clock,
      schedule: schedules[topic],
      newest: () => replica.newest,
      // While the table service fails, only one topic tries it.
      isActive: () =>
        this.#isDirect && (this.#failures === 0 || topic === "operator"),
      onRows: (batch, { isComplete, sentAt }) => {
        this.#recordAnswer(topic);
        return this.#apply(topic, batch, { isComplete, confirmedAt: sentAt });
      },
      onFailure: (failure) => this.#recordFailure(topic, failure),
      retryDelay: () => this.#computeRetryDelay(),
    });
  }

  #recordAnswer(topic: RowTopic): void {
    this.#replica(topic).answeredAt = this.#options.clock.now();
    if (this.#failures === 0) return;
    this.#failures = 0;
    this.#options.journal.record("storeRegained", { table: topic });
    this.#wakePollers();
  }

  #recordFailure(topic: RowTopic, { detail }: RowFailure): void {
    const now = this.#options.clock.now();
    for (const replica of this.#replicas.values()) replica.failedAt = now;
    if (this.#failures === 0)
      this.#options.journal.record("storeLost", { table: topic, detail });
    this.#failures++;
  }

  #computeRetryDelay(): Millis {
    if (isFirstReader(this.#choice)) return millis(minRetryDelay);
    const exponent = Math.max(0, this.#failures - 1);
    const longest = Math.min(maxRetryDelay, minRetryDelay * 2 ** exponent);
    return millis(longest * (0.5 + this.#options.random() / 2));
  }

  #apply(
    topic: RowTopic,
    batch: RowBatch,
    read: { readonly isComplete: boolean; readonly confirmedAt: Instant },
  ): boolean {
    const { clock, isUrgent } = this.#options;
    const applied = applyRows(this.#replica(topic), batch, {
      ...read,
      now: clock.now(),
      isUrgent: isUrgent(topic),
    });
    if (applied === undefined) return false;
    const { rows, newest } = batch;
    const { isComplete } = read;
    if (topic === "nodes" && (rows.length > 0 || isComplete))
      this.#updateNodes();
    for (const listener of this.#listeners.get(topic) ?? []) {
      listener({ rows, newest, isComplete });
    }
    if (applied.hasUrgent) this.#announceNews();
    return true;
  }

  #updateNodes(): void {
    const nodes = this.#options.decodeNodes(listRows(this.#replica("nodes")));
    this.#addresses = new Map(
      nodes.map(({ machine, address }) => [machine, address]),
    );
    const { dataCentre } = this.#options;
    const local = nodes.filter((node) => node.dataCentre === dataCentre);
    setReaderCandidates(
      this.#choice,
      local.map(({ machine }) => machine),
    );
    this.#review();
  }

  #waitForReview(): Promise<void> {
    return new Promise((resolve) => {
      const cancel = this.#options.clock.schedule(reviewInterval, resolve);
      this.#review = () => {
        cancel();
        resolve();
      };
    });
  }

  /** Chooses a reader and reads from it; while there is none, the pollers read. */
  async #run(): Promise<void> {
    const { clock } = this.#options;
    while (!this.#stopped) {
      const reader = chooseReader(this.#choice, clock.now());
      this.#setDirect(reader === undefined);
      if (reader === undefined) {
        this.#reader = undefined;
        await this.#waitForReview();
        continue;
      }
      const startedAt = clock.now();
      await this.#readFrom(reader);
      const left = startedAt + peerSpacing - clock.now();
      if (left > 0) await sleep(clock, millis(left));
    }
  }

  async #readFrom(reader: MachineName): Promise<void> {
    const { peers, journal } = this.#options;
    const sentAt = this.#instant();
    // The first call does not wait, so that an unresponsive node is noticed soon.
    const wait = this.#reader === reader ? maxServeWait : 0;
    const deliveries = await peers.followRows(
      this.#addresses.get(reader) ?? "",
      { versions: this.#listVersions(), wait },
      millis(wait + peerResponseTime),
    );
    if (this.#stopped) return;
    const fault = findFault(deliveries);
    if (fault !== undefined) {
      if (this.#reader === reader)
        journal.record("rowReaderLost", { machine: reader, detail: fault });
      this.#reader = undefined;
      this.#recordFault(reader, fault);
      return;
    }
    for (const delivery of deliveries ?? []) this.#accept(delivery, sentAt);
    if (this.#reader !== reader)
      journal.record("rowReaderChosen", { machine: reader });
    this.#reader = reader;
    this.#failures = 0;
    recordReaderSuccess(this.#choice, reader);
  }

  #recordFault(machine: MachineName, kind: ReaderFault): void {
    const { clock, random } = this.#options;
    recordReaderFault(
      this.#choice,
      { machine, kind },
      { now: clock.now(), spread: random() },
    );
  }

  #accept(delivery: RowDelivery, sentAt: Instant): void {
    const { topic, age, silence, failureAge, isComplete } = delivery;
    const replica = this.#replica(topic);
    const { now } = this.#instant();
    replica.answeredAt = latest(replica.answeredAt, now - silence);
    if (failureAge !== undefined)
      replica.failedAt = latest(replica.failedAt, now - failureAge);
    // The age was known when the response was sent, which was after the request.
    const confirmedAt = {
      now: millis(sentAt.now - age),
      wall: millis(sentAt.wall - age),
    };
    this.#apply(topic, delivery, { isComplete, confirmedAt });
  }

  #listVersions(): RowRequest["versions"] {
    const versions: { [topic in RowTopic]?: number } = {};
    for (const [topic, { newest }] of this.#replicas) {
      if (newest > 0) versions[topic] = newest;
    }
    return versions;
  }

  #setDirect(isDirect: boolean): void {
    if (isDirect === this.#isDirect) return;
    this.#isDirect = isDirect;
    this.#wakePollers();
  }

  #wakePollers(): void {
    for (const poller of this.#pollers.values()) poller.wake();
  }

  #collectDeliveries(versions: RowRequest["versions"]): RowDelivery[] {
    const deliveries: RowDelivery[] = [];
    const instant = this.#instant();
    for (const [topic, replica] of this.#replicas) {
      if (replica.newest === 0) continue;
      const { answeredAt, failedAt } = replica;
      deliveries.push({
        topic,
        ...selectRowsAfter(replica, versions[topic]),
        age: computeAge(replica, instant),
        silence: instant.now - answeredAt,
        failureAge: Number.isFinite(failedAt)
          ? instant.now - failedAt
          : undefined,
      });
    }
    return deliveries;
  }

  /** Time at which the rows of some topic become outdated. */
  #findOutdatedAt(): number {
    let earliest = Number.POSITIVE_INFINITY;
    for (const { answeredAt } of this.#replicas.values()) {
      earliest = Math.min(earliest, answeredAt + maxSilence);
    }
    return earliest;
  }

  #waitForNews(limit: Millis): Promise<void> {
    return new Promise((resolve) => {
      const finish = () => {
        cancel();
        this.#waiting.delete(finish);
        resolve();
      };
      const cancel = this.#options.clock.schedule(limit, finish);
      this.#waiting.add(finish);
    });
  }

  #announceNews(): void {
    for (const finish of [...this.#waiting]) finish();
  }
}

/** What keeps the response of a reader from being used; undefined if it is complete and recent. */
function findFault(
  deliveries: readonly RowDelivery[] | undefined,
): ReaderFault | undefined {
  if (deliveries === undefined) return "unreachable";
  const isRecent =
    deliveries.length === rowTopics.length &&
    deliveries.every(({ silence }) => silence < maxSilence);
  return isRecent ? undefined : "stale";
}

function latest(known: Millis, time: number): Millis {
  return millis(Math.max(known, time));
}
