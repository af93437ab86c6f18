import { type Either, Left } from "purify-ts";
import {
  type BreakerCommand,
  type BreakerEvent,
  type BreakerState,
  closedBreaker,
  createBreakerDecision,
} from "../../core/breaker/breaker.ts";
import {
  type Bucket,
  createBucket,
  takeToken,
} from "../../core/breaker/bucket.ts";
import type { Cancel, Clock } from "../../core/clock.ts";
import { brandString, type RowKey } from "../../core/ids.ts";
import {
  type Journal,
  type Meter,
  silentJournal,
  silentMeter,
} from "../../ports/journal.ts";
import type { TableFailure, TableService } from "../../ports/table.ts";

/** Key that probes read; the row need not exist. */
const probeKey = brandString<RowKey>("probe");
/** Write budget of one node, per second: 610 nodes leave most of the table's capacity to peaks of a few. */
const defaultWriteBudget = { rate: 40, burst: 80 };
/** Call budget of one node just after an outage, per second: 9 nodes stay below a third of the table's write capacity. */
const recoveryBudget = { rate: 20, burst: 4 };

/** Options of {@link GuardedTable}. */
export type GuardedTableOptions = {
  readonly table: TableService;
  readonly clock: Clock;
  readonly random: () => number;
  /** Sustained writes per second, and the largest burst. */
  readonly writeBudget?: { readonly rate: number; readonly burst: number };
  readonly journal?: Journal;
  readonly meter?: Meter;
  /** Called with true when an outage starts and with false when it ends. */
  readonly onOutage?: (outage: boolean) => void;
};

type CallKind = "read" | "write" | "urgent";

/** Table service behind a circuit breaker and a write budget. */
export class GuardedTable implements TableService {
  /** The same table for lease renewals and handovers, which the budgets never refuse. */
  readonly urgent: TableService;
  readonly #options: GuardedTableOptions;
  readonly #decide: ReturnType<typeof createBreakerDecision>;
  readonly #writes: Bucket;
  #recovery: Bucket;
  #state: BreakerState = closedBreaker;
  /** Cancels the timer for the next probe or for the end of the recovery. */
  #cancelTimer: Cancel = () => {};
  #closed = false;

  constructor(options: GuardedTableOptions) {
    const { clock, random, table } = options;
    this.#options = options;
    this.#decide = createBreakerDecision(random);
    const budget = options.writeBudget ?? defaultWriteBudget;
    this.#writes = createBucket(budget, clock.now());
    this.#recovery = createBucket(recoveryBudget, clock.now());
    this.urgent = {
      read: (key) => this.#run("urgent", () => table.read(key)),
      scan: (prefix) => this.#run("urgent", () => table.scan(prefix)),
      transact: (transaction) =>
        this.#run("urgent", () => table.transact(transaction)),
    };
  }

  static create(options: GuardedTableOptions): GuardedTable {
    return new GuardedTable(options);
  }

  /** Whether the circuit breaker is open, so that calls fail at once. */
  get outage(): boolean {
    return this.#state.phase === "open";
  }

  /** Stops the probes; the table must not be used afterwards. */
  close(): void {
    this.#closed = true;
    this.#cancelTimer();
  }

  read: TableService["read"] = (key) =>
    this.#run("read", () => this.#options.table.read(key));

  scan: TableService["scan"] = (prefix) =>
    this.#run("read", () => this.#options.table.scan(prefix));

  transact: TableService["transact"] = (transaction) =>
    this.#run("write", () => this.#options.table.transact(transaction));

  async #run<Value>(
    kind: CallKind,
    call: () => Promise<Either<TableFailure, Value>>,
  ): Promise<Either<TableFailure, Value>> {
    const refusal = this.#refuse(kind);
    if (refusal !== undefined) {
      const { meter = silentMeter } = this.#options;
      meter.count("table_calls_refused_total", { reason: refusal });
      return Left({ kind: "unavailable", detail: `Not sent: ${refusal}` });
    }
    const result = await call();
    this.#handle({ type: result.isRight() ? "succeeded" : "failed" });
    return result;
  }

  #refuse(kind: CallKind): string | undefined {
    if (this.#state.phase === "open") return "table outage";
    if (kind === "urgent") return undefined;
    const now = this.#options.clock.now();
    if (this.#state.phase === "recovering" && !takeToken(this.#recovery, now)) {
      return "recovery budget";
    }
    if (kind === "write" && !takeToken(this.#writes, now)) {
      return "write budget";
    }
    return undefined;
  }

  #handle(event: BreakerEvent): void {
    if (this.#closed) return;
    const { clock } = this.#options;
    const { state, commands } = this.#decide(this.#state, event, clock.now());
    this.#state = state;
    for (const command of commands) this.#perform(command);
  }

  #perform(command: BreakerCommand): void {
    const { clock, journal = silentJournal, onOutage } = this.#options;
    switch (command.type) {
      case "probe-after":
        this.#cancelTimer = clock.schedule(
          command.delay,
          () => void this.#probe(),
        );
        return;
      case "recover-after":
        this.#recovery = createBucket(recoveryBudget, clock.now());
        this.#cancelTimer = clock.schedule(command.delay, () =>
          this.#handle({ type: "recovered" }),
        );
        return;
      case "outage-started":
        this.#cancelTimer();
        journal.record("tableOutageStarted");
        onOutage?.(true);
        return;
      case "outage-ended":
        journal.record("tableOutageEnded");
        onOutage?.(false);
    }
  }

  async #probe(): Promise<void> {
    const result = await this.#options.table.read(probeKey);
    this.#handle({
      type: result.isRight() ? "probe-succeeded" : "probe-failed",
    });
  }
}
