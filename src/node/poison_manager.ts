import { createActor } from "xstate";
import { type Cancel, type Clock, millis } from "../core/clock.ts";
import {
  type AttemptToken,
  brandString,
  type Digest,
  type RowKey,
} from "../core/ids.ts";
import { assessUnits, isAmbiguous } from "../core/poison/assessment.ts";
import {
  deriveStatus,
  emptyRecord,
  formatCrashId,
  mergeRecords,
  type PoisonRecord,
  type PoisonStatus,
  parsePoisonRecord,
  poisonRowKey,
} from "../core/poison/record.ts";
import {
  createPoisonState,
  decidePoison,
  type PoisonCommand,
  type PoisonEvent,
  type PoisonState,
  type PublishCommand,
  statusOf,
} from "../core/poison/registry.ts";
import { isRequestDigest } from "../core/poison/units.ts";
import type { Journal, Meter } from "../ports/journal.ts";
import type { Row, TableService } from "../ports/table.ts";
import { createDecisionLogic, type DecisionActor } from "./decision_actor.ts";
import type { Suspicion } from "./draft_manager.ts";
import type { PoisonDetector } from "./node.ts";
import type { EngineCrash } from "./suspect_listener.ts";

/** Key prefix of the rows of convicted content. */
const poisonRowPrefix = "poison/";
/** Interval between two removals of expired records, in ms. */
const sweepIntervalMillis = 300_000;
/** Maximum number of attempts to write the row of convicted content. */
const maxWriteAttempts = 20;
/** Minimum time between two write attempts, in ms; a random delay of up to the same length is added. */
const writeRetryMillis = 3_000;

/** Time over which nodes spread the writes of convictions that a restore removed, in ms. */
const rewriteSpread = 10_000;
/** Maximum number of convictions that a node writes again after a restore. */
const maxRewrites = 100;

/** Receives the rows under a key prefix. */
export type TableRowListener = {
  /** Called with each row that is read or changes. */
  readonly onRow: (row: Row) => void;
  /** Called with all rows after the table service came back from a copy. */
  readonly onRestore: (rows: readonly Row[]) => void;
};

/** Delivers the rows under a key prefix. */
export type FollowTableRows = (
  prefix: string,
  listener: TableRowListener,
) => void;

/** Options of the poison manager. */
export type PoisonManagerOptions = {
  readonly clock: Clock;
  readonly table: TableService;
  readonly random: () => number;
  readonly createToken: () => AttemptToken;
  readonly journal: Journal;
  readonly meter: Meter;
  readonly publish: (command: PublishCommand) => void;
  /** Delivers the rows of the table and their changes; if omitted, the rows are read once. */
  readonly followRows?: FollowTableRows;
  /** Called when content has been convicted. */
  readonly onConviction?: () => void;
};

/** Tracks content that may crash engines; publishes records to other nodes and stores convictions in the table. */
export class PoisonManager implements PoisonDetector {
  readonly #options: PoisonManagerOptions;
  readonly #actor: DecisionActor<PoisonState, PoisonEvent>;
  /** Convictions that a restore of the table service removed. */
  readonly #missing = new Set<Digest>();
  #cancelSweep: Cancel | undefined;
  #stopped = false;

  /** Creates the manager and loads the stored records if the table is available. */
  static create(options: PoisonManagerOptions): PoisonManager {
    const manager = new PoisonManager(options);
    if (options.followRows === undefined) void manager.#readRows();
    else
      options.followRows(poisonRowPrefix, {
        onRow: (row) => manager.#receiveRow(row, "row"),
        onRestore: (rows) => manager.#rewriteMissing(rows),
      });
    manager.#scheduleSweep();
    return manager;
  }

  private constructor(options: PoisonManagerOptions) {
    this.#options = options;
    this.#actor = createActor(
      createDecisionLogic<PoisonState, PoisonEvent, PoisonCommand>({
        initial: createPoisonState(),
        decide: decidePoison,
        clock: options.clock,
        perform: (command) => this.#perform(command),
      }),
    );
    this.#actor.start();
  }

  findSuspicion(digest: Digest): Suspicion {
    const status = statusOf(this.#state, digest);
    return status === "unknown" ? "none" : status;
  }

  /** Status of a request by its units. */
  assess(
    units: readonly Digest[],
    isKnownSound: (unit: Digest) => boolean,
  ): PoisonStatus {
    const now = this.#options.clock.now();
    return assessUnits(this.#state, units, { now, isKnownSound });
  }

  /** Whether a crash under a request would not tell which of its units caused those before. */
  isAmbiguous(
    units: readonly Digest[],
    isKnownSound: (unit: Digest) => boolean,
  ): boolean {
    const now = this.#options.clock.now();
    return isAmbiguous(this.#state, units, { now, isKnownSound });
  }

  get #state(): PoisonState {
    return this.#actor.getSnapshot().context;
  }

  /** Whether the record of the content goes to all nodes. */
  isKnownToAll(digest: Digest): boolean {
    return (
      !isRequestDigest(digest) || this.findSuspicion(digest) === "convicted"
    );
  }

  /** Whether content has crashes of which it may be the cause. */
  isSuspected(digest: Digest): boolean {
    return this.findSuspicion(digest) !== "none";
  }

  /** Records that content which crashes every engine would have run without a crash. */
  proveSound(digest: Digest): void {
    if (this.isSuspected(digest))
      this.#actor.send({ type: "proven-sound", digest });
  }

  suspect({ engine, boot, digests }: EngineCrash): void {
    const crash = formatCrashId(engine, boot);
    this.#actor.send({ type: "crashed", crash, digests });
  }

  clear(digest: Digest): void {
    this.#actor.send({ type: "completed-alone", digest });
  }

  /** Handles a record that another node has sent to all. */
  receiveBroadcast(digest: Digest, record: PoisonRecord): void {
    const from = "broadcast";
    this.#actor.send({ type: "record-received", digest, record, from });
  }

  /** Handles a record published by another node. */
  receiveRecord(digest: Digest, record: PoisonRecord): void {
    this.#actor.send({
      type: "record-received",
      digest,
      record,
      from: "gossip",
    });
  }

  stop(): void {
    this.#stopped = true;
    this.#cancelSweep?.();
    this.#actor.stop();
  }

  #perform(command: PoisonCommand): void {
    const { journal, meter, publish, onConviction } = this.#options;
    switch (command.type) {
      case "publish-record":
        return publish(command);
      case "write-row":
        void this.#writeRow(command.digest, command.record);
        return;
      case "remove-row":
        void this.#removeRow(poisonRowKey(command.digest));
        return;
      case "count":
        return meter.count(command.name);
      case "record":
        journal.record(command.event, {
          digest: command.detail,
          requestId: command.requestId,
        });
        if (command.event === "poisonConvicted") onConviction?.();
        return;
    }
  }

  async #readRows(): Promise<void> {
    const rows = await this.#options.table.scan(poisonRowPrefix);
    if (this.#stopped) return;
    for (const row of rows.orDefault([])) this.#receiveRow(row, "table");
  }

  #receiveRow({ key, value }: Row, from: "table" | "row"): void {
    if (this.#stopped) return;
    const digest = brandString<Digest>(key.slice(poisonRowPrefix.length));
    parsePoisonRecord(value).ifRight((record) => {
      const { entries } = this.#state;
      const known = entries.get(digest)?.record ?? emptyRecord;
      if (mergeRecords(record, known) === record) this.#missing.delete(digest);
      this.#actor.send({ type: "record-received", digest, record, from });
    });
  }

  /** Writes the convictions again that a restored table lacks, unless another node does so first. */
  #rewriteMissing(rows: readonly Row[]): void {
    const { clock, random } = this.#options;
    const { entries } = this.#state;
    const stored = new Map(
      rows.map(({ key, value }) => [key, parsePoisonRecord(value)]),
    );
    const missing = [...entries].filter(([digest, { record }]) => {
      const found = stored.get(poisonRowKey(digest))?.orDefault(emptyRecord);
      return (
        deriveStatus(record) === "convicted" &&
        (found === undefined || mergeRecords(found, record) !== found)
      );
    });
    for (const [digest] of missing.slice(-maxRewrites)) {
      this.#missing.add(digest);
      clock.schedule(millis(random() * rewriteSpread), () => {
        const record = entries.get(digest)?.record;
        if (!this.#missing.delete(digest) || record === undefined) return;
        void this.#writeRow(digest, record);
      });
    }
  }

  /** Merges the record into its row; retries, since other nodes may write the same row. */
  async #writeRow(digest: Digest, record: PoisonRecord): Promise<void> {
    const key = poisonRowKey(digest);
    for (let attempt = 0; attempt < maxWriteAttempts; attempt++) {
      if (this.#stopped || (await this.#tryWrite(key, record))) return;
      await this.#waitForRetry();
    }
    this.#options.meter.count("poison_writes_given_up_total");
  }

  async #tryWrite(key: RowKey, record: PoisonRecord): Promise<boolean> {
    const { table, createToken } = this.#options;
    const read = await table.read(key);
    if (read.isLeft()) return false;
    const row = read.orDefault(undefined);
    const stored = parsePoisonRecord(row?.value).orDefault(emptyRecord);
    const merged = mergeRecords(stored, record);
    if (merged === stored) return true;
    const written = await table.transact({
      attempt: createToken(),
      conditions: [{ key, version: row?.version ?? "absent" }],
      writes: [{ key, value: merged }],
    });
    return written.caseOf({
      // Whether a write with a lost answer took effect shows at the next read.
      Left: () => false,
      Right: (result) => result.kind === "committed",
    });
  }

  /** Removes a row once; if that fails, a node that still has the record tries again later. */
  async #removeRow(key: RowKey): Promise<void> {
    const { table, createToken } = this.#options;
    const row = (await table.read(key)).orDefault(undefined);
    if (row === undefined || this.#stopped) return;
    await table.transact({
      attempt: createToken(),
      conditions: [{ key, version: row.version }],
      writes: [{ key, value: undefined }],
    });
  }

  #waitForRetry(): Promise<void> {
    const { clock, random } = this.#options;
    const delay = millis(writeRetryMillis * (1 + random()));
    return new Promise((resolve) => clock.schedule(delay, resolve));
  }

  #scheduleSweep(): void {
    this.#cancelSweep = this.#options.clock.schedule(
      millis(sweepIntervalMillis),
      () => {
        // Scheduled first, so that a sweep that fails does not end the sweeps.
        this.#scheduleSweep();
        this.#actor.send({ type: "sweep" });
      },
    );
  }
}
