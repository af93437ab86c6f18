import { type Either, Left } from "purify-ts";
import { type Clock, millis, sleep } from "../core/clock.ts";
import type { RowKey } from "../core/ids.ts";
import type {
  Row,
  TableFailure,
  TableService,
  Transaction,
  TransactionResult,
} from "../ports/table.ts";
import type { PauseGate } from "./pause_gate.ts";

/**
 * Faults of the table. `down`: answers that it did nothing. `lost`: does it, but
 * the answer is lost. `dropped`: the call is lost. `late`: does it after the
 * caller's deadline. `silent`: the call is lost and no answer ever comes.
 */
export const tableFaults = [
  "down",
  "lost",
  "dropped",
  "late",
  "silent",
] as const;

/** One of the table's faults. */
export type TableFault = (typeof tableFaults)[number];

/** One-way delay of a call, in ms. */
const oneWayDelay = 3;
/** Delay of a `late` transaction, in ms; longer than any caller waits. */
const lateDelay = 1_700;

/** One node's way to the shared table, with the faults in force. */
export class FaultyTable implements TableService {
  readonly #inner: TableService;
  readonly #clock: Clock;
  readonly #gate: PauseGate;
  readonly #fault: () => TableFault | undefined;

  constructor(
    inner: TableService,
    options: {
      clock: Clock;
      gate: PauseGate;
      fault: () => TableFault | undefined;
    },
  ) {
    this.#inner = inner;
    this.#clock = options.clock;
    this.#gate = options.gate;
    this.#fault = options.fault;
  }

  read(key: RowKey): Promise<Either<TableFailure, Row | undefined>> {
    return this.#call(() => this.#inner.read(key));
  }

  scan(prefix: string): Promise<Either<TableFailure, readonly Row[]>> {
    return this.#call(() => this.#inner.scan(prefix));
  }

  transact(
    transaction: Transaction,
  ): Promise<Either<TableFailure, TransactionResult>> {
    return this.#call(() => this.#inner.transact(transaction));
  }

  async #call<Answer>(
    run: () => Promise<Either<TableFailure, Answer>>,
  ): Promise<Either<TableFailure, Answer>> {
    const fault = this.#fault();
    await sleep(this.#clock, millis(oneWayDelay));
    if (fault === "silent") return new Promise(() => {});
    if (fault === "late") await sleep(this.#clock, millis(lateDelay));
    const answer =
      fault === "down" || fault === "dropped"
        ? Left<TableFailure, Answer>({ kind: "unavailable", detail: "Down" })
        : await run();
    await sleep(this.#clock, millis(oneWayDelay));
    const heard =
      fault === undefined || fault === "down"
        ? answer
        : Left<TableFailure, Answer>({ kind: "unknown", detail: "Lost" });
    return this.#gate.deliverValue(heard);
  }
}
