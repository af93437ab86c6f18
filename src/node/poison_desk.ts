import { createActor } from "xstate";
import { type Cancel, type Clock, millis } from "../core/clock.ts";
import {
  type AttemptToken,
  brandString,
  type Digest,
  type RowKey,
} from "../core/ids.ts";
import {
  emptyRecord,
  formatCrashId,
  mergeRecords,
  type PoisonRecord,
  parsePoisonRecord,
  poisonRowKey,
} from "../core/poison/record.ts";
import {
  createPoisonState,
  decidePoison,
  type PoisonCommand,
  type PoisonEvent,
  type PoisonState,
  statusOf,
} from "../core/poison/registry.ts";
import type { Journal, Meter } from "../ports/journal.ts";
import type { TableService } from "../ports/table.ts";
import { createDecisionLogic, type DecisionActor } from "./decision_actor.ts";
import type { Suspicion } from "./draft_desk.ts";
import type { EngineCrash } from "./engine_owner.ts";
import type { PoisonPart } from "./node.ts";

/** Prefix of the rows of convicted contents. */
const poisonRowPrefix = "poison/";
/** Time between two removals of old records, in ms. */
const sweepIntervalMillis = 300_000;
/** Attempts to write the row of a convicted content. */
const maxWriteAttempts = 20;
/** Time between two attempts, in ms; jitter of the same size is added. */
const writeRetryMillis = 3_000;

/** What the poison desk needs. */
export type PoisonDeskOptions = {
  readonly clock: Clock;
  readonly table: TableService;
  readonly random: () => number;
  readonly createToken: () => AttemptToken;
  readonly journal: Journal;
  readonly meter: Meter;
  readonly spread: (digest: Digest, record: PoisonRecord) => void;
};

/** Knows which contents may crash engines; tells other nodes and the table. */
export class PoisonDesk implements PoisonPart {
  readonly #options: PoisonDeskOptions;
  readonly #actor: DecisionActor<PoisonState, PoisonEvent>;
  #cancelSweep: Cancel | undefined;
  #stopped = false;

  /** Starts with what the table knows, if it answers. */
  static create(options: PoisonDeskOptions): PoisonDesk {
    const desk = new PoisonDesk(options);
    void desk.#readRows();
    desk.#scheduleSweep();
    return desk;
  }

  private constructor(options: PoisonDeskOptions) {
    this.#options = options;
    this.#actor = createActor(
      createDecisionLogic<PoisonState, PoisonEvent, PoisonCommand>({
        initial: createPoisonState(),
        decide: decidePoison,
        clock: options.clock,
        perform: (command) => this.#perform(command),
      }),
    );
    this.#actor.start();
  }

  findSuspicion(digest: Digest): Suspicion {
    const status = statusOf(this.#actor.getSnapshot().context, digest);
    return status === "unknown" ? "none" : status;
  }

  suspect({ engine, boot, digests }: EngineCrash): void {
    const crash = formatCrashId(engine, boot);
    this.#actor.send({ type: "crashed", crash, digests });
  }

  clear(digest: Digest): void {
    this.#actor.send({ type: "completed-alone", digest });
  }

  /** Another node told of a content. */
  hear(digest: Digest, record: PoisonRecord): void {
    this.#actor.send({ type: "heard", digest, record, from: "gossip" });
  }

  stop(): void {
    this.#stopped = true;
    this.#cancelSweep?.();
    this.#actor.stop();
  }

  #perform(command: PoisonCommand): void {
    const { journal, meter, spread } = this.#options;
    switch (command.type) {
      case "spread":
        return spread(command.digest, command.record);
      case "write-row":
        void this.#writeRow(command.digest, command.record);
        return;
      case "count":
        return meter.count(command.name);
      case "record":
        return journal.record(command.event, {
          digest: command.detail,
          requestId: command.requestId,
        });
    }
  }

  async #readRows(): Promise<void> {
    const rows = await this.#options.table.scan(poisonRowPrefix);
    if (this.#stopped) return;
    for (const row of rows.orDefault([])) {
      const digest = brandString<Digest>(row.key.slice(poisonRowPrefix.length));
      parsePoisonRecord(row.value).ifRight((record) =>
        this.#actor.send({ type: "heard", digest, record, from: "table" }),
      );
    }
  }

  /** Merges the record into its row; another node may write the same row. */
  async #writeRow(digest: Digest, record: PoisonRecord): Promise<void> {
    const key = poisonRowKey(digest);
    for (let attempt = 0; attempt < maxWriteAttempts; attempt++) {
      if (this.#stopped || (await this.#tryWrite(key, record))) return;
      await this.#waitForRetry();
    }
    this.#options.meter.count("poison_writes_given_up_total");
  }

  async #tryWrite(key: RowKey, record: PoisonRecord): Promise<boolean> {
    const { table, createToken } = this.#options;
    const read = await table.read(key);
    if (read.isLeft()) return false;
    const row = read.orDefault(undefined);
    const known = parsePoisonRecord(row?.value).orDefault(emptyRecord);
    const merged = mergeRecords(known, record);
    if (merged === known) return true;
    const written = await table.transact({
      attempt: createToken(),
      conditions: [{ key, version: row?.version ?? "absent" }],
      writes: [{ key, value: merged }],
    });
    return written.caseOf({
      // A lost answer is resolved by the next read.
      Left: () => false,
      Right: (result) => result.kind === "committed",
    });
  }

  #waitForRetry(): Promise<void> {
    const { clock, random } = this.#options;
    const delay = millis(writeRetryMillis * (1 + random()));
    return new Promise((resolve) => clock.schedule(delay, resolve));
  }

  #scheduleSweep(): void {
    this.#cancelSweep = this.#options.clock.schedule(
      millis(sweepIntervalMillis),
      () => {
        this.#actor.send({ type: "sweep" });
        this.#scheduleSweep();
      },
    );
  }
}
