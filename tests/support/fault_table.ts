import { type Either, Left, Right } from "purify-ts";
import { type Clock, millis, sleep } from "../../src/core/clock.ts";
import type { RowKey } from "../../src/core/ids.ts";
import type {
  Row,
  TableFailure,
  TableService,
  Transaction,
  TransactionResult,
} from "../../src/ports/table.ts";

/** Table shared by several simulated nodes; counts the calls. */
export class SharedTable {
  readonly rows = new Map<RowKey, Row>();
  readonly calls = { read: 0, scan: 0, transact: 0 };
  #version = 0;

  commit(transaction: Transaction): TransactionResult {
    const current = new Map<RowKey, Row | undefined>();
    for (const { key, version } of transaction.conditions) {
      const row = this.rows.get(key);
      if ((row?.version ?? "absent") !== version) current.set(key, row);
    }
    if (current.size > 0) return { kind: "conflict", current };
    for (const { key, value } of transaction.writes) {
      // A recreated row gets a version above all its earlier ones.
      this.#version += 1_000;
      const version = this.rows.get(key)?.version ?? this.#version;
      const { attempt } = transaction;
      if (value === undefined) this.rows.delete(key);
      else this.rows.set(key, { key, version: version + 1, value, attempt });
    }
    return { kind: "committed" };
  }
}

/** Fault injected into one call. */
export type Fault = "none" | "down" | "lost-answer" | "late-write";

/** One node's access to the shared table, with faults chosen per call. */
export class FaultTable implements TableService {
  fault: (call: keyof SharedTable["calls"]) => Fault = () => "none";
  readonly #clock: Clock;
  readonly #shared: SharedTable;
  /** One-way delay of a call, in ms. */
  readonly #delay = millis(5);
  /** Delay of a `late-write`, in ms; longer than the timeout of a call. */
  readonly #lateDelay = millis(1_700);

  private constructor(clock: Clock, shared: SharedTable) {
    this.#clock = clock;
    this.#shared = shared;
  }

  static create(clock: Clock, shared: SharedTable): FaultTable {
    return new FaultTable(clock, shared);
  }

  async read(key: RowKey): Promise<Either<TableFailure, Row | undefined>> {
    return await this.#answer("read", () => this.#shared.rows.get(key));
  }

  async scan(prefix: string): Promise<Either<TableFailure, readonly Row[]>> {
    return await this.#answer("scan", () =>
      [...this.#shared.rows.values()]
        .filter((row) => row.key.startsWith(prefix))
        .sort((a, b) => (a.key < b.key ? -1 : 1)),
    );
  }

  async transact(
    transaction: Transaction,
  ): Promise<Either<TableFailure, TransactionResult>> {
    return await this.#answer("transact", () =>
      this.#shared.commit(transaction),
    );
  }

  async #answer<Answer>(
    call: keyof SharedTable["calls"],
    run: () => Answer,
  ): Promise<Either<TableFailure, Answer>> {
    this.#shared.calls[call]++;
    const fault = this.fault(call);
    await sleep(this.#clock, this.#delay);
    if (fault === "down")
      return Left({ kind: "unavailable", detail: "Table is down" });
    if (fault === "late-write") await sleep(this.#clock, this.#lateDelay);
    const answer = run();
    await sleep(this.#clock, this.#delay);
    if (fault !== "none")
      return Left({ kind: "unknown", detail: "Answer was lost" });
    return Right(answer);
  }
}
