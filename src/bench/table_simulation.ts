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

/** Faults of the simulated table. */
export type TableFaults = {
  /** Whether calls fail at the given time. */
  readonly isDown: (now: Millis) => boolean;
  /** Share of writes whose response is lost; such a write is applied immediately, late or never. */
  readonly lostAnswers: number;
};

/** Maximum delay of a late write whose response was lost, in ms. */
const maxLateWriteDelayMs = 3000;

/** In-memory table with outages, lost responses and late writes. */
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

  /** Returns the table for one node; responses are held back while that node is paused. */
  connect(whenRunning: () => Promise<void>): TableService {
    return {
      read: async (key) => {
        const response = await this.#read(key);
        await whenRunning();
        return response;
      },
      scan: async () => Right([]),
      transact: async (transaction) => {
        const response = await this.#transact(transaction);
        await whenRunning();
        return response;
      },
    };
  }

  /** Returns the stored row without delay or faults. */
  peek(key: RowKey): Row | undefined {
    return this.#rows.get(key);
  }

  /** Writes a row immediately, in place of a transaction of another component of the node. */
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
    await this.#waitForNetwork();
    if (this.#isDown()) return Left(unavailable);
    const row = this.#rows.get(key);
    await this.#waitForNetwork();
    return Right(row);
  }

  async #transact(
    transaction: Transaction,
  ): Promise<Either<TableFailure, TransactionResult>> {
    this.writes++;
    await this.#waitForNetwork();
    if (this.#isDown()) return Left(unavailable);
    if (this.#random() < this.#faults.lostAnswers) {
      this.#applyLate(transaction);
      await this.#waitForNetwork();
      return Left({ kind: "unknown", detail: "Response lost" });
    }
    const result = this.#apply(transaction);
    await this.#waitForNetwork();
    return Right(result);
  }

  #applyLate(transaction: Transaction): void {
    const kind = Math.floor(this.#random() * 3);
    if (kind === 0) this.#apply(transaction);
    if (kind === 1)
      this.#clock.schedule(millis(this.#random() * maxLateWriteDelayMs), () =>
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

  /** Waits for the one-way network delay between a node and the table, 1 to 3 ms. */
  #waitForNetwork(): Promise<void> {
    return sleep(this.#clock, millis(1 + 2 * this.#random()));
  }
}

const unavailable: TableFailure = {
  kind: "unavailable",
  detail: "Table is down",
};
