import { type Either, Left, Right } from "purify-ts";
import { type Clock, millis, sleep } from "../../src/core/clock.ts";
import type { RowKey } from "../../src/core/ids.ts";
import type {
  ServiceAnswer,
  ServiceCall,
  ServiceFailure,
  ServiceLink,
} from "../../src/ports/service.ts";
import type {
  Row,
  TableFailure,
  TableService,
  Transaction,
  TransactionResult,
} from "../../src/ports/table.ts";

/** How the fake table treats transactions: `lost` applies them, `dropped` does not; both lose the answer. */
export type TableFault = "none" | "down" | "lost" | "dropped" | "silent";

/** Table in memory with a fault switch. */
export class FakeTable implements TableService {
  readonly rows = new Map<RowKey, Row>();
  readonly #versions = new Map<RowKey, number>();
  readonly #clock: Clock;
  fault: TableFault = "none";
  latency = 5;
  transactions = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  async read(key: RowKey): Promise<Either<TableFailure, Row | undefined>> {
    await this.#answerable();
    return this.fault === "none" ? Right(this.rows.get(key)) : down();
  }

  async scan(prefix: string): Promise<Either<TableFailure, readonly Row[]>> {
    await this.#answerable();
    if (this.fault !== "none") return down();
    const rows = [...this.rows.values()].filter(({ key }) =>
      key.startsWith(prefix),
    );
    return Right(rows.sort((a, b) => (a.key < b.key ? -1 : 1)));
  }

  async transact(
    transaction: Transaction,
  ): Promise<Either<TableFailure, TransactionResult>> {
    this.transactions++;
    const { fault } = this;
    await this.#answerable();
    if (fault === "down") return down();
    if (fault === "dropped") return lost();
    const result = this.#apply(transaction);
    return fault === "lost" ? lost() : Right(result);
  }

  async #answerable(): Promise<void> {
    if (this.fault === "silent") await new Promise(() => {});
    await sleep(this.#clock, millis(this.latency));
  }

  #apply(transaction: Transaction): TransactionResult {
    const failed = transaction.conditions.filter(
      ({ key, version }) =>
        (this.rows.get(key)?.version ?? "absent") !== version,
    );
    if (failed.length > 0) {
      const current = failed.map(
        ({ key }) => [key, this.rows.get(key)] as const,
      );
      return { kind: "conflict", current: new Map(current) };
    }
    for (const { key, value } of transaction.writes) {
      const version = (this.#versions.get(key) ?? 0) + 1;
      this.#versions.set(key, version);
      const { attempt } = transaction;
      if (value === undefined) this.rows.delete(key);
      else this.rows.set(key, { key, version, value, attempt });
    }
    return { kind: "committed" };
  }
}

function down(): Either<TableFailure, never> {
  return Left({ kind: "unavailable", detail: "The table is down" });
}

function lost(): Either<TableFailure, never> {
  return Left({ kind: "unknown", detail: "The answer was lost" });
}

/** What the next calls of a fake server meet. */
export type ServerFault = "none" | "silent" | ServiceFailure["kind"];

/** Server of a booking service that counts what it ran. */
export class FakeServer implements ServiceLink {
  readonly runs: ServiceCall[] = [];
  readonly #clock: Clock;
  fault: ServerFault = "none";
  status = 201;
  latency = 20;
  answerSize = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  async call(
    call: ServiceCall,
  ): Promise<Either<ServiceFailure, ServiceAnswer>> {
    const { fault } = this;
    if (fault === "not-sent" || fault === "leaving") {
      return Left({ kind: fault, detail: "not run" });
    }
    this.runs.push(call);
    if (fault === "silent") await new Promise(() => {});
    await sleep(this.#clock, millis(Math.min(this.latency, call.timeout)));
    if (this.latency > call.timeout) {
      return Left({ kind: "timeout", detail: "slow" });
    }
    if (fault !== "none" && fault !== "silent") {
      return Left({ kind: fault, detail: "after the run" });
    }
    const text = `ran ${call.path} as ${call.requestId}`;
    const body = new TextEncoder().encode(text.padEnd(this.answerSize));
    return Right({ status: this.status, contentType: "text/plain", body });
  }
}
