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
import { withDeadline } from "./table_deadline.ts";

/** Time between two looks at the members and due work, in ms. */
const tickPeriod = millis(250);

/** What a session needs from its node. */
export type SessionSetup = {
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
  /** Nodes believed alive, of all data centres. */
  readonly liveNodes: () => readonly LiveNode[];
  /** Time at which every other node of the data centre was last known to be without the table too. */
  readonly outageConfirmedAt?: () => Millis | undefined;
  readonly onOwnership: (engine: EngineId, event: OwnershipEvent) => void;
  /** Hears of each session that this node has removed from the table. */
  readonly onRemoved?: (lease: LeaseId) => void;
};

/** Session lease of this node and the engines owned under it. */
export class Session {
  readonly #setup: SessionSetup;
  readonly #actor: DecisionActor<SessionState, SessionEvent>;
  readonly #releaseWaiters: ((handed: boolean) => void)[] = [];
  #cancelTick: Cancel = () => {};

  private constructor(setup: SessionSetup) {
    this.#setup = setup;
    const { clock, nodeId, dataCentre, settings, random } = setup;
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

  /** Starts to acquire the session lease and to take engines. */
  static create(setup: SessionSetup): Session {
    const session = new Session(setup);
    session.#actor.start();
    session.#tick();
    return session;
  }

  /** Lease id that other rows may name; a lost lease gets a new one. */
  lease(): LeaseId {
    return this.#state().lease;
  }

  /** Whether the node may act under its lease now, by its own clock. */
  isUsable(): boolean {
    return isLeaseUsable(this.#state(), this.#setup.clock.now());
  }

  /** Node that holds the lease. */
  get node(): NodeId {
    return this.#setup.nodeId;
  }

  /** Whether the table does not answer this node. */
  get failing(): boolean {
    return this.#state().failing;
  }

  /** End of the time in which the node may act under its lease. */
  usableUntil(): Millis {
    const { leaseEnd, settings } = this.#state();
    return millis(leaseEnd - settings.margin);
  }

  /** Engines that this node owns. */
  owned(): readonly EngineId[] {
    return [...this.#state().owned.keys()];
  }

  /** Looks at the ownership rows at once, for instance when gossip names a new owner. */
  look(): void {
    this.#actor.send({ type: "look" });
  }

  /** Stops ordering and hands every engine over; true if the rows were rewritten. */
  release(): Promise<boolean> {
    return new Promise((resolve) => {
      if (this.#state().phase === "released") return resolve(true);
      this.#releaseWaiters.push(resolve);
      this.#actor.send({ type: "release" });
    });
  }

  /** Stops without a handover, as a crash would; for tests. */
  stop(): void {
    this.#cancelTick();
    this.#actor.stop();
  }

  #state(): SessionState {
    return this.#actor.getSnapshot().context;
  }

  #tick(): void {
    const { clock, engines, liveNodes } = this.#setup;
    this.#actor.send({
      type: "tick",
      live: liveNodes(),
      engines: engines(),
      outageConfirmedAt: this.#setup.outageConfirmedAt?.(),
    });
    if (this.#state().phase === "released") return;
    this.#cancelTick = clock.schedule(tickPeriod, () => this.#tick());
  }

  #perform(command: SessionCommand): void {
    const { journal, meter, onOwnership } = this.#setup;
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
    const { nodeId: node, dataCentre } = this.#setup;
    const answer = await this.#call((table) =>
      table.transact(buildTransaction(attempt, { node, dataCentre })),
    );
    answer.caseOf({
      Left: ({ kind }) =>
        this.#actor.send({ type: "transaction-failed", token, kind }),
      Right: (result) =>
        result.kind === "committed"
          ? this.#noteCommitted(attempt)
          : this.#actor.send({
              type: "conflicted",
              token,
              current: result.current,
            }),
    });
  }

  #noteCommitted(attempt: Attempt): void {
    for (const { lease } of attempt.removals) this.#setup.onRemoved?.(lease);
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
        const live = new Set(this.#setup.liveNodes().map(({ node }) => node));
        live.add(this.#setup.nodeId);
        const gone = rows.filter(
          ({ key }) => !live.has(key.slice(prefix.length) as NodeId),
        );
        this.#actor.send({
          type: "rows",
          rows: new Map(gone.map((row) => [row.key, row])),
        });
      },
    });
  }

  #call<Answer>(
    call: (table: TableService) => Promise<Either<TableFailure, Answer>>,
  ): Promise<Either<TableFailure, Answer>> {
    const { clock, table, settings } = this.#setup;
    return withDeadline(call(table), {
      clock,
      deadline: settings.tableTimeout,
    });
  }
}
