import { type Either, Left } from "purify-ts";
import { createActor } from "xstate";
import { type Cancel, type Clock, type Millis, millis } from "../core/clock.ts";
import type { AttemptToken, EngineId } from "../core/ids.ts";
import { createLoadBudgetDecision } from "../core/loads/budget.ts";
import type {
  LoadBudgetCommand,
  LoadBudgetEvent,
  StoredRow,
} from "../core/loads/messages.ts";
import { type BudgetRow, budgetRowKey } from "../core/loads/row.ts";
import {
  createLoadBudgetState,
  estimatePermitWait,
  type LoadBudgetState,
} from "../core/loads/state.ts";
import type { LoadBudgetPolicies } from "../core/loads/step.ts";
import type { Journal, Meter } from "../ports/journal.ts";
import type {
  Row,
  TableFailure,
  TableService,
  TransactionResult,
} from "../ports/table.ts";
import { createDecisionLogic, type DecisionActor } from "./decision_actor.ts";

/** Timeout of one call to the table, in ms. */
const callTimeoutMs = 1000;

/** Options of the load budget of a node. */
export type LoadBudgetOptions = {
  readonly table: TableService;
  readonly clock: Clock;
  readonly policies: LoadBudgetPolicies;
  /** Called when the owner of an engine may start one load. */
  readonly onGrant: (engine: EngineId) => void;
  readonly journal: Journal;
  readonly meter: Meter;
};

/** Holds the node's share of the load budget and grants permits to engine owners. */
export class LoadBudget {
  readonly #options: LoadBudgetOptions;
  readonly #actor: DecisionActor<LoadBudgetState, LoadBudgetEvent>;
  #cancelTimer: Cancel | undefined;
  #stopped = false;

  static create(options: LoadBudgetOptions): LoadBudget {
    return new LoadBudget(options);
  }

  private constructor(options: LoadBudgetOptions) {
    this.#options = options;
    this.#actor = createActor(
      createDecisionLogic<LoadBudgetState, LoadBudgetEvent, LoadBudgetCommand>({
        initial: createLoadBudgetState(),
        decide: createLoadBudgetDecision(options.policies),
        clock: options.clock,
        perform: (command) => this.#perform(command),
      }),
    );
    this.#actor.start();
  }

  /** Current decision state. */
  get state(): LoadBudgetState {
    return this.#actor.getSnapshot().context;
  }

  /** Expected wait for one more load on demand, for the published engine views. */
  get loadWait(): Millis {
    return estimatePermitWait(this.state, {
      now: this.#options.clock.now(),
      limits: this.#options.policies.limits,
    });
  }

  send(event: LoadBudgetEvent): void {
    if (!this.#stopped) this.#actor.send(event);
  }

  /** Requests a permit on behalf of an engine owner. */
  request(engine: EngineId, urgent: boolean): void {
    this.send({ type: "request-permit", engine, urgent });
  }

  /** Releases a granted permit on behalf of an engine owner. */
  release(engine: EngineId, used: boolean): void {
    this.send({ type: "release-permit", engine, used });
  }

  /** Stops the actor; its permits return to the budget when the session row is removed. */
  stop(): void {
    this.#stopped = true;
    this.#cancelTimer?.();
    this.#actor.stop();
  }

  #perform(command: LoadBudgetCommand): void {
    const { onGrant, journal, meter } = this.#options;
    switch (command.type) {
      case "grant":
        onGrant(command.engine);
        break;
      case "read":
        void this.#read();
        break;
      case "write":
        void this.#write(command);
        break;
      case "set-timer":
        this.#setTimer(command.at);
        break;
      case "count":
        meter.count(command.name);
        break;
      case "record":
        journal.record(command.event, { detail: command.detail });
    }
  }

  async #read(): Promise<void> {
    const { table } = this.#options;
    const answer = await this.#withTimeout(table.read(budgetRowKey));
    this.send(
      answer.caseOf<LoadBudgetEvent>({
        Left: ({ detail }) => ({ type: "read-failed", detail }),
        Right: (row) => ({ type: "row-read", row: toStored(row) }),
      }),
    );
  }

  async #write(command: {
    attempt: AttemptToken;
    base: number | "absent";
    value: BudgetRow;
  }): Promise<void> {
    const { attempt, base, value } = command;
    const answer = await this.#withTimeout(
      this.#options.table.transact({
        attempt,
        conditions: [{ key: budgetRowKey, version: base }],
        writes: [{ key: budgetRowKey, value }],
      }),
    );
    this.send(
      answer.caseOf<LoadBudgetEvent>({
        Left: (failure) => ({ type: "write-failed", ...failure }),
        Right: toWriteEvent,
      }),
    );
  }

  /** Limits the duration of a table call; the outcome of a call that timed out is unknown. */
  #withTimeout<Answer>(
    call: Promise<Either<TableFailure, Answer>>,
  ): Promise<Either<TableFailure, Answer>> {
    const { clock } = this.#options;
    return new Promise((resolve) => {
      const cancel = clock.schedule(millis(callTimeoutMs), () =>
        resolve(
          Left({
            kind: "unknown",
            detail: `The table did not answer within ${callTimeoutMs} ms`,
          }),
        ),
      );
      void call.then((answer) => {
        cancel();
        resolve(answer);
      });
    });
  }

  #setTimer(at: Millis): void {
    const { clock } = this.#options;
    this.#cancelTimer?.();
    this.#cancelTimer = clock.schedule(
      millis(Math.max(0, at - clock.now())),
      () => this.send({ type: "wake" }),
    );
  }
}

function toWriteEvent(result: TransactionResult): LoadBudgetEvent {
  if (result.kind === "committed") return { type: "write-committed" };
  return {
    type: "write-conflict",
    row: toStored(result.current.get(budgetRowKey)),
  };
}

function toStored(row: Row | undefined): StoredRow | undefined {
  return row && { version: row.version, value: row.value };
}
