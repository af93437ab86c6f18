import type { Either } from "purify-ts";
import { createActor } from "xstate";
import { type Cancel, type Clock, type Millis, millis } from "../core/clock.ts";
import type {
  DataCentre,
  EngineId,
  LeaseId,
  NodeId,
  RowKey,
} from "../core/ids.ts";
import {
  createSessionDecision,
  isLeaseUsable,
} from "../core/lease/session_decision.ts";
import {
  type Attempt,
  createSessionState,
  type LiveNode,
  type OwnershipEvent,
  type SessionCommand,
  type SessionEngine,
  type SessionEvent,
  type SessionSettings,
  type SessionState,
} from "../core/lease/state.ts";
import type { Journal, Meter } from "../ports/journal.ts";
import type { Row, TableFailure, TableService } from "../ports/table.ts";
import { createDecisionLogic, type DecisionActor } from "./decision_actor.ts";
import { buildTransaction } from "./session_transaction.ts";
import { withTableTimeout } from "./table_timeout.ts";

/** Interval at which the session re-evaluates the live nodes and starts due work, in ms. */
const tickPeriod = millis(250);

/** Options of a session. */
export type SessionOptions = {
  readonly clock: Clock;
  readonly table: TableService;
  readonly nodeId: NodeId;
  readonly dataCentre: DataCentre;
  /** Engines of the node's data centre; may change while the node runs. */
  readonly engines: () => readonly SessionEngine[];
  readonly settings: SessionSettings;
  readonly random: () => number;
  readonly journal: Journal;
  readonly meter: Meter;
  /** Nodes of all data centres that membership considers alive. */
  readonly liveNodes: () => readonly LiveNode[];
  /** Time at which all other nodes of the data centre were last known to have no access to the table. */
  readonly outageConfirmedAt?: () => Millis | undefined;
  readonly onOwnership: (engine: EngineId, event: OwnershipEvent) => void;
  /** Called for each session that this node has removed from the table. */
  readonly onRemoved?: (lease: LeaseId) => void;
};

/** Maintains the session lease of this node and the engines owned under it. */
export class Session {
  readonly #options: SessionOptions;
  readonly #actor: DecisionActor<SessionState, SessionEvent>;
  readonly #releaseWaiters: ((handed: boolean) => void)[] = [];
  #cancelTick: Cancel = () => {};

  private constructor(options: SessionOptions) {
    this.#options = options;
    const { clock, nodeId, dataCentre, settings, random } = options;
    const logic = createDecisionLogic<
      SessionState,
      SessionEvent,
      SessionCommand
    >({
      initial: createSessionState({ node: nodeId, dataCentre, settings }),
      decide: createSessionDecision({ random }),
      perform: (command) => this.#perform(command),
      clock,
    });
    this.#actor = createActor(logic);
  }

  /** Creates the session and starts to acquire the lease and engines. */
  static create(options: SessionOptions): Session {
    const session = new Session(options);
    session.#actor.start();
    session.#tick();
    return session;
  }

  /** Id of the lease, as stored in other rows; changes after the lease is lost. */
  lease(): LeaseId {
    return this.#state().lease;
  }

  /** Whether the node may currently act under its lease, according to its own clock. */
  isUsable(): boolean {
    return isLeaseUsable(this.#state(), this.#options.clock.now());
  }

  /** Node that holds the lease. */
  get node(): NodeId {
    return this.#options.nodeId;
  }

  /** Whether the last table call of this node failed. */
  get failing(): boolean {
    return this.#state().failing;
  }

  /** Time until which the node may act under its lease. */
  usableUntil(): Millis {
    const { leaseEnd, settings } = this.#state();
    return millis(leaseEnd - settings.margin);
  }

  /** Engines that this node owns. */
  owned(): readonly EngineId[] {
    return [...this.#state().owned.keys()];
  }

  /** Reads the ownership rows immediately, for instance after gossip has announced a new owner. */
  refresh(): void {
    this.#actor.send({ type: "refresh" });
  }

  /** Hands all engines over and ends the session; resolves to true if the ownership rows were rewritten. */
  release(): Promise<boolean> {
    return new Promise((resolve) => {
      if (this.#state().phase === "released") return resolve(true);
      this.#releaseWaiters.push(resolve);
      this.#actor.send({ type: "release" });
    });
  }

  /** Stops without a handover, like a crash. */
  stop(): void {
    this.#cancelTick();
    this.#actor.stop();
  }

  #state(): SessionState {
    return this.#actor.getSnapshot().context;
  }

  #tick(): void {
    const { clock, engines, liveNodes } = this.#options;
    this.#actor.send({
      type: "tick",
      live: liveNodes(),
      engines: engines(),
      outageConfirmedAt: this.#options.outageConfirmedAt?.(),
    });
    if (this.#state().phase === "released") return;
    this.#cancelTick = clock.schedule(tickPeriod, () => this.#tick());
  }

  #perform(command: SessionCommand): void {
    const { journal, meter, onOwnership } = this.#options;
    switch (command.type) {
      case "transact":
        meter.count("session_transactions_total");
        void this.#transact(command.attempt);
        return;
      case "read":
        meter.count("session_reads_total", {}, command.keys.length);
        void this.#read(command.keys);
        return;
      case "scan":
        meter.count("session_scans_total");
        void this.#scan(command.prefix);
        return;
      case "report":
        onOwnership(command.engine, command.event);
        return;
      case "released":
        this.#cancelTick();
        for (const resolve of this.#releaseWaiters) resolve(command.handed);
        return;
      case "record": {
        const { engine, detail } = command;
        journal.record(command.event, { engine, detail });
        return;
      }
    }
  }

  async #transact(attempt: Attempt): Promise<void> {
    const { token } = attempt;
    const { nodeId: node, dataCentre } = this.#options;
    const answer = await this.#call((table) =>
      table.transact(buildTransaction(attempt, { node, dataCentre })),
    );
    answer.caseOf({
      Left: ({ kind }) =>
        this.#actor.send({ type: "transaction-failed", token, kind }),
      Right: (result) =>
        result.kind === "committed"
          ? this.#handleCommitted(attempt)
          : this.#actor.send({
              type: "conflicted",
              token,
              current: result.current,
            }),
    });
  }

  #handleCommitted(attempt: Attempt): void {
    for (const { lease } of attempt.removals) this.#options.onRemoved?.(lease);
    this.#actor.send({ type: "committed", token: attempt.token });
  }

  async #read(keys: readonly RowKey[]): Promise<void> {
    const rows = new Map<RowKey, Row | undefined>();
    let hasFailed = false;
    await Promise.all(
      keys.map(async (key) => {
        const answer = await this.#call((table) => table.read(key));
        answer.caseOf({
          Left: () => {
            hasFailed = true;
          },
          Right: (row) => rows.set(key, row),
        });
      }),
    );
    if (hasFailed) this.#actor.send({ type: "read-failed" });
    else this.#actor.send({ type: "rows", rows });
  }

  async #scan(prefix: string): Promise<void> {
    const answer = await this.#call((table) => table.scan(prefix));
    answer.caseOf({
      Left: () => this.#actor.send({ type: "read-failed" }),
      Right: (rows) => {
        const live = new Set(this.#options.liveNodes().map(({ node }) => node));
        live.add(this.#options.nodeId);
        const orphaned = rows.filter(
          ({ key }) => !live.has(key.slice(prefix.length) as NodeId),
        );
        this.#actor.send({
          type: "rows",
          rows: new Map(orphaned.map((row) => [row.key, row])),
        });
      },
    });
  }

  #call<Answer>(
    call: (table: TableService) => Promise<Either<TableFailure, Answer>>,
  ): Promise<Either<TableFailure, Answer>> {
    const { clock, table, settings } = this.#options;
    return withTableTimeout(call(table), {
      clock,
      timeout: settings.tableTimeout,
    });
  }
}
