import { type Millis, millis } from "../../../core/clock.ts";
import { streamMemory } from "../../../core/gateway/software_versions.ts";
import type { Row, RowWrite, TableService } from "../../../ports/table.ts";
import type { GatewayContext } from "../context.ts";
import {
  createStreamKey,
  decodeStreamRow,
  encodeStreamRow,
  type ServiceStreams,
  type StreamRow,
  streamPrefix,
  streamPrefixOf,
} from "./stream_rows.ts";

/** Minimum interval of the writes of a node, and its growth with the number of nodes, in ms. */
const minWriteInterval = 500;
const writeIntervalPerNode = 10;
/** Age from which the row of an ended process is removed, in ms; clocks of nodes differ by seconds. */
const rowLifetime = 2 * streamMemory;
/** Maximum number of rows that one transaction removes. */
const maxRemovedRows = 50;

/** Streams that one process wrote. */
export type WrittenStreams = {
  readonly services: readonly ServiceStreams[];
  readonly age: Millis;
  /** An earlier process of this machine wrote them. */
  readonly isFormer: boolean;
};

/** The table in which each process writes the streams that it passes on. */
export class StreamTable {
  readonly #context: GatewayContext;
  readonly #table: TableService;
  /** The rows have been read since the start of the process. */
  hasRead = false;
  /** Time of the latest read, and of the latest one that was answered. */
  readAt = millis(Number.NEGATIVE_INFINITY);
  confirmedAt = millis(Number.NEGATIVE_INFINITY);
  #writtenAt = millis(Number.NEGATIVE_INFINITY);
  #isWriting = false;
  #hasRow = false;
  /** Rows of earlier processes of this machine. */
  #formerRows: readonly Row[] = [];

  private constructor(context: GatewayContext, table: TableService) {
    this.#context = context;
    this.#table = table;
  }

  static create(context: GatewayContext, table: TableService): StreamTable {
    return new StreamTable(context, table);
  }

  /** Time between two writes, in ms. */
  get writeInterval(): Millis {
    const interval = writeIntervalPerNode * this.#context.nodeCount;
    return millis(Math.max(minWriteInterval, interval));
  }

  /** Whether the streams of this process are to be written now. */
  get isWriteDue(): boolean {
    if (!this.hasRead || this.#isWriting) return false;
    return this.#context.now() >= this.#writtenAt + this.writeInterval;
  }

  /** Reads the rows of all processes; undefined if the table does not answer. */
  async read(): Promise<readonly WrittenStreams[] | undefined> {
    const startedAt = this.#context.now();
    this.readAt = startedAt;
    try {
      const result = await this.#table.scan(streamPrefix);
      if (result.isRight()) this.confirmedAt = startedAt;
      return result
        .map((rows) => this.#apply(rows))
        .toMaybe()
        .extract();
    } catch (error) {
      this.#recordFailure(error as Error);
      return undefined;
    }
  }

  /** Writes the streams of this process; removes the row once there are none to write. */
  async write(services: readonly ServiceStreams[]): Promise<void> {
    if (services.length === 0 && !this.#hasRow) return;
    const { clock, identity } = this.#context.dependencies;
    const key = createStreamKey(identity.machine, identity.process);
    const row = encodeStreamRow({ writtenAt: clock.wallNow(), services });
    const former = this.#formerRows.filter((other) => other.key !== key);
    this.#isWriting = true;
    this.#writtenAt = this.#context.now();
    const isCommitted = await this.#transact([
      { key, value: services.length === 0 ? undefined : row },
      // This row has their streams.
      ...former.map((other) => ({ key: other.key, value: undefined })),
    ]);
    this.#isWriting = false;
    if (!isCommitted) return;
    this.#hasRow = services.length > 0;
    this.#formerRows = [];
  }

  #apply(rows: readonly Row[]): WrittenStreams[] {
    const ownPrefix = streamPrefixOf(
      this.#context.dependencies.identity.machine,
    );
    const isFirst = !this.hasRead;
    this.hasRead = true;
    if (isFirst) {
      this.#formerRows = rows.filter(({ key }) => key.startsWith(ownPrefix));
      void this.#removeOldRows(rows);
    }
    return rows.flatMap((row) => {
      const decoded = decodeStreamRow(row);
      if (decoded === undefined) return [];
      const age = this.#computeAge(decoded);
      if (age > streamMemory) return [];
      const isFormer = isFirst && row.key.startsWith(ownPrefix);
      return [{ services: decoded.services, age, isFormer }];
    });
  }

  /** Removes the rows of processes that ended long ago, once in the life of this one. */
  async #removeOldRows(rows: readonly Row[]): Promise<void> {
    const old = rows.filter((row) => {
      const decoded = decodeStreamRow(row);
      return decoded === undefined || this.#computeAge(decoded) > rowLifetime;
    });
    if (old.length === 0) return;
    const removed = old.slice(0, maxRemovedRows);
    await this.#transact(removed.map(({ key }) => ({ key, value: undefined })));
  }

  /** Applies all writes; false if that failed, or is not known. */
  async #transact(writes: readonly RowWrite[]): Promise<boolean> {
    const attempt = this.#context.createAttemptToken();
    try {
      const transaction = { attempt, conditions: [], writes };
      return (await this.#table.transact(transaction)).isRight();
    } catch (error) {
      this.#recordFailure(error as Error);
      return false;
    }
  }

  #computeAge({ writtenAt }: StreamRow): Millis {
    const { clock } = this.#context.dependencies;
    return millis(Math.max(0, clock.wallNow() - writtenAt));
  }

  #recordFailure({ message }: Error): void {
    const { journal } = this.#context.dependencies;
    journal.record("rowsNotApplied", { detail: message });
  }
}
