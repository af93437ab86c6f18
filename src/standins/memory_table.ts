import { type Either, Left, Right } from "purify-ts";
import { type Clock, millis, sleep } from "../core/clock.ts";
import type { RowKey } from "../core/ids.ts";
import type {
  Condition,
  Row,
  TableFailure,
  TableService,
  Transaction,
  TransactionResult,
} from "../ports/table.ts";

/** Table service in memory with injectable faults. */
export class MemoryTable implements TableService {
  /** Refuses every call. */
  outage = false;
  /** Delay between the effect of a call and its answer, in ms. */
  delay = 0;
  /** Number of next transactions that take effect but whose answer is lost. */
  lostAnswers = 0;
  /** Number of next transactions that are lost before they take effect. */
  lostRequests = 0;
  /** Calls that the service accepts per second. */
  readonly limits = { reads: 2000, writes: 500 };
  /** Calls since creation, refused ones included. */
  readonly totals = { reads: 0, writes: 0 };
  readonly #clock: Clock;
  readonly #rows = new Map<RowKey, Row>();
  /** Last version of every row, removed ones included, so that no version is reused. */
  readonly #versions = new Map<RowKey, number>();
  readonly #currentSecond = { second: 0, reads: 0, writes: 0 };

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): MemoryTable {
    return new MemoryTable(clock);
  }

  read(key: RowKey): Promise<Either<TableFailure, Row | undefined>> {
    return this.#execute("reads", () => Right(this.#rows.get(key)));
  }

  scan(prefix: string): Promise<Either<TableFailure, readonly Row[]>> {
    return this.#execute("reads", () => {
      const rows = [...this.#rows.values()];
      const found = rows.filter((row) => row.key.startsWith(prefix));
      return Right(found.sort((a, b) => (a.key < b.key ? -1 : 1)));
    });
  }

  transact(
    transaction: Transaction,
  ): Promise<Either<TableFailure, TransactionResult>> {
    return this.#execute("writes", () => {
      const lost = Left({ kind: "unknown", detail: "Answer lost" } as const);
      if (this.lostRequests > 0) {
        this.lostRequests--;
        return lost;
      }
      const result = this.#apply(transaction);
      if (this.lostAnswers === 0) return Right(result);
      this.lostAnswers--;
      return lost;
    });
  }

  #apply({ attempt, conditions, writes }: Transaction): TransactionResult {
    const failed = conditions.filter((condition) => !this.#isMet(condition));
    if (failed.length > 0) {
      const current = failed.map(
        ({ key }) => [key, this.#rows.get(key)] as const,
      );
      return { kind: "conflict", current: new Map(current) };
    }
    let version = 0;
    for (const { key, value } of writes) {
      version = (this.#versions.get(key) ?? 0) + 1;
      this.#versions.set(key, version);
      if (value === undefined) this.#rows.delete(key);
      else this.#rows.set(key, { key, version, value, attempt });
    }
    return { kind: "committed", version };
  }

  #isMet({ key, version }: Condition): boolean {
    return (this.#rows.get(key)?.version ?? "absent") === version;
  }

  async #execute<Result>(
    kind: "reads" | "writes",
    run: () => Either<TableFailure, Result>,
  ): Promise<Either<TableFailure, Result>> {
    this.totals[kind]++;
    const refusal = this.#findRefusal(kind);
    const result =
      refusal === undefined
        ? run()
        : Left({ kind: "unavailable", detail: refusal } as const);
    if (this.delay > 0) await sleep(this.#clock, millis(this.delay));
    return result;
  }

  #findRefusal(kind: "reads" | "writes"): string | undefined {
    if (this.outage) return "Outage";
    const second = Math.floor(this.#clock.now() / 1000);
    if (second !== this.#currentSecond.second) {
      Object.assign(this.#currentSecond, { second, reads: 0, writes: 0 });
    }
    return this.#currentSecond[kind]++ < this.limits[kind]
      ? undefined
      : "Rate limit";
  }
}
