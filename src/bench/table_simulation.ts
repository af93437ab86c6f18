import { type Either, Left, Right } from "purify-ts";
import { type Clock, type Millis, millis, sleep } from "../core/clock.ts";
import type { RowKey } from "../core/ids.ts";
import type {
  Json,
  Row,
  TableFailure,
  TableService,
  Transaction,
  TransactionResult,
} from "../ports/table.ts";

/** Behaviour of the simulated table. */
export type TableFaults = {
  /** Whether calls fail at this time. */
  readonly isDown: (now: Millis) => boolean;
  /** Share of write answers that are lost; the write is applied at once, late or never. */
  readonly lostAnswers: number;
};

/** Longest delay of a write whose answer was lost, in ms. */
const longestLateWriteMs = 3000;

/** In-memory table on a given clock, with outages, lost answers and late writes. */
export class TableSimulation {
  readonly #rows = new Map<RowKey, Row>();
  readonly #clock: Clock;
  readonly #faults: TableFaults;
  readonly #random: () => number;
  reads = 0;
  writes = 0;

  static create(options: {
    clock: Clock;
    faults: TableFaults;
    random: () => number;
  }): TableSimulation {
    return new TableSimulation(options);
  }

  private constructor(options: {
    clock: Clock;
    faults: TableFaults;
    random: () => number;
  }) {
    this.#clock = options.clock;
    this.#faults = options.faults;
    this.#random = options.random;
  }

  /** The table as one node sees it; answers wait while that node is paused. */
  connect(whenRunning: () => Promise<void>): TableService {
    return {
      read: async (key) => {
        const answer = await this.#read(key);
        await whenRunning();
        return answer;
      },
      scan: async () => Right([]),
      transact: async (transaction) => {
        const answer = await this.#transact(transaction);
        await whenRunning();
        return answer;
      },
    };
  }

  /** Row as stored now. */
  peek(key: RowKey): Row | undefined {
    return this.#rows.get(key);
  }

  /** Writes a row at once, in place of a transaction of another part of the node. */
  put(key: RowKey, value: Json): void {
    const row = this.#rows.get(key);
    this.#rows.set(key, {
      key,
      version: (row?.version ?? 0) + 1,
      value,
      attempt: "other" as Row["attempt"],
    });
    this.writes++;
  }

  async #read(key: RowKey): Promise<Either<TableFailure, Row | undefined>> {
    this.reads++;
    await this.#travel();
    if (this.#isDown()) return Left(unavailable);
    const row = this.#rows.get(key);
    await this.#travel();
    return Right(row);
  }

  async #transact(
    transaction: Transaction,
  ): Promise<Either<TableFailure, TransactionResult>> {
    this.writes++;
    await this.#travel();
    if (this.#isDown()) return Left(unavailable);
    if (this.#random() < this.#faults.lostAnswers) {
      this.#applyLate(transaction);
      await this.#travel();
      return Left({ kind: "unknown", detail: "Answer lost" });
    }
    const result = this.#apply(transaction);
    await this.#travel();
    return Right(result);
  }

  #applyLate(transaction: Transaction): void {
    const kind = Math.floor(this.#random() * 3);
    if (kind === 0) this.#apply(transaction);
    if (kind === 1)
      this.#clock.schedule(millis(this.#random() * longestLateWriteMs), () =>
        this.#apply(transaction),
      );
  }

  #apply(transaction: Transaction): TransactionResult {
    const failed = transaction.conditions.filter(
      ({ key, version }) =>
        (this.#rows.get(key)?.version ?? "absent") !== version,
    );
    if (failed.length > 0)
      return {
        kind: "conflict",
        current: new Map(
          failed.map(({ key }) => [key, this.#rows.get(key)] as const),
        ),
      };
    for (const { key, value } of transaction.writes) {
      const version = (this.#rows.get(key)?.version ?? 0) + 1;
      if (value === undefined) this.#rows.delete(key);
      else
        this.#rows.set(key, {
          key,
          version,
          value,
          attempt: transaction.attempt,
        });
    }
    return { kind: "committed" };
  }

  #isDown(): boolean {
    return this.#faults.isDown(this.#clock.now());
  }

  /** One way between a node and the table, 1 to 3 ms. */
  #travel(): Promise<void> {
    return sleep(this.#clock, millis(1 + 2 * this.#random()));
  }
}

const unavailable: TableFailure = {
  kind: "unavailable",
  detail: "Table is down",
};
