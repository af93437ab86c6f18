import { type Clock, type Millis, millis, sleep } from "../../../core/clock.ts";
import type { KnownNode } from "../../../core/gateway/engine_lease.ts";
import {
  chooseReader,
  createReaderChoice,
  isFirstReader,
  type ReaderChoice,
  type ReaderFault,
  rankOtherNodes,
  recordReaderFault,
  recordReaderSuccess,
  setReaderCandidates,
} from "../../../core/gateway/reader_choice.ts";
import {
  listRows,
  type UrgencyPolicy,
  type VersionedRow,
} from "../../../core/gateway/row_replica.ts";
import type { DataCentre, MachineName } from "../../../core/ids.ts";
import type { ReportFailure } from "../../../ports/failures.ts";
import type { Journal } from "../../../ports/journal.ts";
import {
  type RowDelivery,
  type RowFollower,
  type RowPeers,
  type RowRequest,
  type RowServer,
  type RowSnapshot,
  type RowSource,
  type RowTopic,
  rowTopics,
} from "../../../ports/rows.ts";
import { areRecent, RowCopies, type RowListener } from "./row_copies.ts";
import { maxServeWait, RowResponder } from "./row_responder.ts";
import { RowSearch } from "./row_search.ts";
import { TableContact } from "./table_contact.ts";
import { type PollSchedule, TopicPoller } from "./topic_poller.ts";

const schedules: { readonly [topic in RowTopic]: PollSchedule } = {
  operator: { wait: millis(1_000), spacing: millis(200) },
  servers: { wait: millis(600), spacing: millis(900) },
  nodes: { wait: millis(700), spacing: millis(500) },
};
/** Time beyond the wait for a change in which the response of a node must arrive, in ms. */
const peerResponseTime = 300;
/** Minimum time between two calls to the same node, so that changes arrive in batches, in ms. */
const peerSpacing = 100;
/** Time by which the answers that a node knows must be newer to count, in ms; above the time of a message. */
const minAnswerGain = 100;
/** Interval at which a node that reads for itself looks for a node to read from, in ms. */
const reviewInterval = 500;

/** Dependencies of a row relay. */
export type RowRelayOptions = {
  readonly machine: MachineName;
  /** Reports unexpected errors; they are discarded without it. */
  readonly reportFailure?: ReportFailure;
  readonly dataCentre: DataCentre;
  /** Shortest outage of the table service in which registrations can expire. */
  readonly minOutage: Millis;
  readonly clock: Clock;
  readonly random: () => number;
  readonly journal: Journal;
  readonly source: RowSource;
  readonly peers: RowPeers;
  readonly isUrgent: (topic: RowTopic) => UrgencyPolicy;
  /** Decodes the rows of the topic `nodes`. */
  readonly decodeNodes: (rows: readonly VersionedRow[]) => readonly KnownNode[];
};

/**
 * Keeps copies of the rows that every node needs. One node of each data centre
 * reads them from the table service, the others read from it; a node that
 * finds no reader with recent rows reads the table service itself, and while
 * that does not answer either, it searches for recent rows at all other nodes.
 */
export class RowRelay implements RowFollower, RowServer {
  readonly #options: RowRelayOptions;
  readonly #choice: ReaderChoice;
  readonly #copies: RowCopies;
  readonly #contact: TableContact;
  readonly #responder: RowResponder;
  readonly #search: RowSearch;
  readonly #pollers = new Map<RowTopic, TopicPoller>();
  #addresses = new Map<MachineName, string>();
  /** The reader of the latest call, if it answered. */
  #reader: MachineName | undefined;
  #isDirect = true;
  /** Ends the wait of a node that reads for itself. */
  #review: () => void = () => {};
  #stopped = false;

  private constructor(options: RowRelayOptions) {
    this.#options = options;
    this.#choice = createReaderChoice(options);
    const { clock, isUrgent } = options;
    this.#copies = RowCopies.create({
      clock,
      journal: options.journal,
      minOutage: options.minOutage,
      isUrgent,
      onUrgentChange: () => this.#responder.wakeWaitingCalls(),
    });
    this.#contact = TableContact.create({
      ...options,
      isFirstReader: () => isFirstReader(this.#choice),
      onLost: () => this.#review(),
      onRegained: () => this.#wakePollers(),
    });
    this.#responder = RowResponder.create({ clock, copies: this.#copies });
    this.#search = RowSearch.create({
      clock,
      journal: options.journal,
      listNodes: () => rankOtherNodes(this.#choice),
      fetchRows: (machine) => this.#searchAt(machine),
    });
    this.#copies.subscribe("nodes", ({ rows, isComplete }) => {
      if (rows.length > 0 || isComplete) this.#updateNodes();
    });
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

  subscribe(topic: RowTopic, listener: RowListener): void {
    this.#copies.subscribe(topic, listener);
  }

  snapshot(topic: RowTopic): RowSnapshot | undefined {
    return this.#copies.snapshot(topic);
  }

  async refresh(topic: RowTopic): Promise<RowSnapshot | undefined> {
    await this.#pollers.get(topic)?.refresh();
    return this.snapshot(topic);
  }

  get outageEndedAt(): Millis {
    return this.#copies.outageEndedAt;
  }

  serve(request: RowRequest): Promise<RowDelivery[]> {
    return this.#responder.serve(request);
  }

  stop(): void {
    this.#stopped = true;
    for (const poller of this.#pollers.values()) poller.stop();
    this.#responder.stop();
  }

  #createPoller(topic: RowTopic): TopicPoller {
    const { source, clock } = this.#options;
    const replica = this.#copies.replica(topic);
    return TopicPoller.create({
      topic,
      source,
      clock,
      schedule: schedules[topic],
      position: () => replica,
      // While the table service fails, only one topic tries it.
      isActive: () =>
        this.#isDirect && (!this.#contact.isFailing || topic === "operator"),
      onRows: (batch, { isComplete, sentAt: confirmedAt }) => {
        this.#recordAnswer(topic);
        return this.#copies.apply(topic, batch, { isComplete, confirmedAt });
      },
      onGone: () => this.#contact.recordAnswer(topic),
      onFailure: (failure) => this.#contact.recordFailure(topic, failure),
      retryDelay: () => this.#contact.computeRetryDelay(),
    });
  }

  #recordAnswer(topic: RowTopic): void {
    this.#copies.recordAnswer(topic, this.#options.clock.now());
    this.#contact.recordAnswer(topic);
  }

  #updateNodes(): void {
    const rows = listRows(this.#copies.replica("nodes"));
    const nodes = this.#options.decodeNodes(rows);
    this.#addresses = new Map(
      nodes.map(({ machine, address }) => [machine, address]),
    );
    setReaderCandidates(this.#choice, nodes);
    this.#review();
  }

  /** Time of the next search: once the rows are outdated, or at once while the table service fails. */
  #findSearchStart(): number {
    const { isFailing, failedAt } = this.#contact;
    const due = isFailing ? failedAt : this.#copies.findOutdatedAt();
    return this.#search.findStart(due);
  }

  /** Waits until there may be a reader, or the own rows are outdated. */
  #waitForReview(): Promise<void> {
    const { clock } = this.#options;
    const limit = Math.min(
      reviewInterval,
      this.#findSearchStart() - clock.now(),
    );
    return new Promise((resolve) => {
      const cancel = clock.schedule(millis(Math.max(0, limit)), resolve);
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
      const startedAt = clock.now();
      try {
        if (!(await this.#readOnce())) continue;
      } catch (error) {
        // Rows that one answer of a node brings must not end the reading of all later ones.
        this.#options.reportFailure?.("rows", error);
      }
      const left = startedAt + peerSpacing - clock.now();
      if (left > 0) await sleep(clock, millis(left));
    }
  }

  /** Reads from a node, or waits while there is none to read from; returns whether it read. */
  async #readOnce(): Promise<boolean> {
    const { clock } = this.#options;
    const reader = chooseReader(this.#choice, clock.now());
    this.#setDirect(reader === undefined);
    if (reader !== undefined) {
      await this.#readFrom(reader);
      return true;
    }
    this.#reader = undefined;
    await this.#waitForReview();
    if (clock.now() >= this.#findSearchStart()) await this.#search.run();
    return false;
  }

  /** Fetches the rows that a node has and this one lacks; returns why they were not used. */
  async #fetchRows(
    machine: MachineName,
    wait: number,
  ): Promise<ReaderFault | undefined> {
    const sentAt = this.#copies.instant();
    const deliveries = await this.#options.peers.followRows(
      this.#addresses.get(machine) ?? "",
      { positions: this.#copies.listPositions(), wait },
      millis(wait + peerResponseTime),
    );
    if (deliveries === undefined) return "unreachable";
    if (!areRecent(deliveries.map(({ answerAge }) => answerAge)))
      return "stale";
    // A node that has not seen a restore yet passes on rows that no longer exist.
    if (deliveries.some((delivery) => this.#copies.isOutdated(delivery)))
      return "stale";
    if (this.#stopped) return undefined;
    for (const delivery of deliveries)
      this.#copies.accept(delivery, { source: machine, sentAt });
    return undefined;
  }

  /** Fetches rows for a search; a node that has them from this one knows nothing newer. */
  async #searchAt(machine: MachineName): Promise<ReaderFault | undefined> {
    const known = this.#copies.latestAnswerAt;
    const fault = await this.#fetchRows(machine, 0);
    if (fault !== undefined) return fault;
    const isNewer = this.#copies.latestAnswerAt > known + minAnswerGain;
    return isNewer ? undefined : "stale";
  }

  async #readFrom(reader: MachineName): Promise<void> {
    const { journal } = this.#options;
    // The first call does not wait, so that an unresponsive node is noticed soon.
    const wait = this.#reader === reader ? maxServeWait : 0;
    const fault = await this.#fetchRows(reader, wait);
    if (this.#stopped) return;
    if (fault !== undefined) {
      if (this.#reader === reader)
        journal.record("rowReaderLost", { machine: reader, detail: fault });
      this.#reader = undefined;
      this.#recordFault(reader, fault);
      return;
    }
    if (this.#reader !== reader)
      journal.record("rowReaderChosen", { machine: reader });
    this.#reader = reader;
    this.#contact.reset();
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

  #setDirect(isDirect: boolean): void {
    if (isDirect === this.#isDirect) return;
    this.#isDirect = isDirect;
    this.#wakePollers();
  }

  #wakePollers(): void {
    for (const poller of this.#pollers.values()) poller.wake();
  }
}
