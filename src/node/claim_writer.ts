import { createActor } from "xstate";
import {
  createWriterDecision,
  createWriterState,
} from "../core/booking/writer.ts";
import type {
  BatchResult,
  ClaimWrite,
  FoundRow,
  WriteResult,
  WriterCommand,
  WriterEvent,
  WriterState,
} from "../core/booking/writer_messages.ts";
import { type Cancel, type Clock, type Millis, millis } from "../core/clock.ts";
import type { AttemptToken, NodeId, RowKey } from "../core/ids.ts";
import type { Journal, Meter } from "../ports/journal.ts";
import type { Json, TableService } from "../ports/table.ts";
import { createDecisionLogic, type DecisionActor } from "./decision_actor.ts";
import { withTimeout } from "./timeout.ts";

/** Time after which the outcome of a transaction counts as unknown, in ms. */
export const transactionTimeout = millis(1_000);

/** Options of the claim writer. */
export type ClaimWriterOptions = {
  readonly clock: Clock;
  readonly table: TableService;
  readonly journal: Journal;
  readonly meter: Meter;
  readonly random: () => number;
  readonly nodeId: NodeId;
};

/** Batches the claim and outcome rows of one node into transactions; one transaction is in flight at a time. */
export class ClaimWriter {
  readonly #options: ClaimWriterOptions;
  readonly #actor: DecisionActor<WriterState, WriterEvent>;
  readonly #listeners = new Map<AttemptToken, (result: WriteResult) => void>();
  #cancelTimer: Cancel | undefined;
  #stopped = false;

  static create(options: ClaimWriterOptions): ClaimWriter {
    return new ClaimWriter(options);
  }

  private constructor(options: ClaimWriterOptions) {
    this.#options = options;
    const { clock, nodeId, random } = options;
    this.#actor = createActor(
      createDecisionLogic<WriterState, WriterEvent, WriterCommand>({
        initial: createWriterState(`${nodeId}.claims`, clock.now()),
        decide: createWriterDecision(random),
        clock,
        perform: (command) => this.#perform(command),
      }),
    );
    this.#actor.start();
  }

  /** Queues a row; the listener is called exactly once with the result, unless the writer is stopped. */
  write(claimWrite: ClaimWrite, listener: (result: WriteResult) => void): void {
    this.#listeners.set(claimWrite.claim.write, listener);
    this.#actor.send({ type: "write", claimWrite });
  }

  /** Stops without waiting for results, like a killed process. */
  stop(): void {
    this.#stopped = true;
    this.#cancelTimer?.();
    this.#actor.stop();
    this.#listeners.clear();
  }

  #perform(command: WriterCommand): void {
    const { journal, meter } = this.#options;
    switch (command.type) {
      case "transact":
        void this.#transact(command.attempt, command.claimWrites);
        return;
      case "notify":
        this.#notify(command.claimWrite, command.result);
        return;
      case "set-timer":
        this.#setTimer(command.at);
        return;
      case "outage":
        journal.record(
          command.started ? "tableOutageStarted" : "tableOutageEnded",
          { part: "claims" },
        );
        return;
      case "ambiguous":
        journal.record("writeAmbiguous", { attempt: command.attempt });
        meter.count("claim_writes_ambiguous_total");
        return;
      case "rejected":
        meter.count("claim_queue_rejected_total");
    }
  }

  #notify(claimWrite: ClaimWrite, result: WriteResult): void {
    const listener = this.#listeners.get(claimWrite.claim.write);
    this.#listeners.delete(claimWrite.claim.write);
    listener?.(result);
  }

  async #transact(
    attempt: AttemptToken,
    claimWrites: readonly ClaimWrite[],
  ): Promise<void> {
    const { clock, table, meter } = this.#options;
    const startedAt = clock.now();
    meter.count("claim_transactions_total");
    meter.count("claim_rows_total", {}, claimWrites.length);
    const result = await withTimeout<BatchResult>(
      clock,
      sendBatch(table, attempt, claimWrites),
      {
        timeout: transactionTimeout,
        fallback: {
          kind: "unknown",
          detail: `The table did not answer within ${transactionTimeout} ms`,
        },
      },
    );
    meter.observe("claim_transaction_ms", clock.now() - startedAt);
    if (!this.#stopped) this.#actor.send({ type: "result", attempt, result });
  }

  #setTimer(at: Millis): void {
    const { clock } = this.#options;
    this.#cancelTimer?.();
    this.#cancelTimer = clock.schedule(millis(at - clock.now()), () =>
      this.#actor.send({ type: "wake" }),
    );
  }
}

async function sendBatch(
  table: TableService,
  attempt: AttemptToken,
  claimWrites: readonly ClaimWrite[],
): Promise<BatchResult> {
  const answer = await table.transact({
    attempt,
    conditions: claimWrites.map(({ key, version }) => ({ key, version })),
    writes: claimWrites.map(({ key, claim }) => ({
      key,
      value: claim as Json,
    })),
  });
  return answer.caseOf<BatchResult>({
    Left: ({ kind, detail }) => ({ kind, detail }),
    Right: (result) =>
      result.kind === "committed"
        ? result
        : {
            kind: "conflict",
            current: new Map<RowKey, FoundRow>(result.current),
          },
  });
}
