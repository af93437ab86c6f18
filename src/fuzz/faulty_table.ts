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
 * Faults of the table. `down`: refuses the call. `lost`: executes the call, but
 * the answer is lost. `dropped`: the call is lost. `late`: executes the call after
 * the caller's timeout. `silent`: the call is lost and never fails.
 */
export const tableFaults = [
  "down",
  "lost",
  "dropped",
  "late",
  "silent",
] as const;

/** One of the faults of the table. */
export type TableFault = (typeof tableFaults)[number];

/** One-way network delay of a call, in ms. */
const oneWayDelay = 3;
/** Delay of a `late` call, in ms; longer than the timeout of any caller. */
const lateDelay = 1_700;

/** Access of one node to the shared table, with injected faults. */
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

  async #call<Result>(
    run: () => Promise<Either<TableFailure, Result>>,
  ): Promise<Either<TableFailure, Result>> {
    const fault = this.#fault();
    await sleep(this.#clock, millis(oneWayDelay));
    if (fault === "silent") return new Promise(() => {});
    if (fault === "late") await sleep(this.#clock, millis(lateDelay));
    const result =
      fault === "down" || fault === "dropped"
        ? Left<TableFailure, Result>({ kind: "unavailable", detail: "Down" })
        : await run();
    await sleep(this.#clock, millis(oneWayDelay));
    const received =
      fault === undefined || fault === "down"
        ? result
        : Left<TableFailure, Result>({ kind: "unknown", detail: "Lost" });
    return this.#gate.deliverValue(received);
  }
}
