import { createActor } from "xstate";
import { type Cancel, type Clock, type Millis, millis } from "../core/clock.ts";
import type { WorkItem } from "../core/engine/work_item.ts";
import type { EngineId } from "../core/ids.ts";
import {
  createDraftDecision,
  createDraftState,
} from "../core/requests/draft.ts";
import type {
  AttemptNumber,
  DraftCommand,
  DraftEvent,
  DraftPolicies,
  DraftState,
} from "../core/requests/draft_messages.ts";
import type { Refusal } from "../core/results/refusal.ts";
import type { AnswerSink, EngineAccess } from "../ports/access.ts";
import type { GenerateOrder, StreamControl } from "../ports/engine.ts";
import type { Journal } from "../ports/journal.ts";
import { createDecisionLogic, type DecisionActor } from "./decision_actor.ts";

/** A draft call with a resolved adapter, ready to run. */
export type DraftCall = {
  /** Work item without the fields that differ between attempts. */
  readonly work: Omit<WorkItem, "resumeAt" | "isolated">;
  readonly path: GenerateOrder["path"];
  readonly body: Uint8Array;
  /** The content of the request is suspected of crashing engines and must run alone. */
  readonly isolated: boolean;
};

/** Options of a draft request. */
export type DraftRequestOptions = {
  readonly call: DraftCall;
  readonly sink: AnswerSink;
  readonly access: EngineAccess;
  readonly policies: DraftPolicies;
  readonly clock: Clock;
  readonly journal: Journal;
  /** Called once when the request has finished, failed or been cancelled. */
  readonly onClose: () => void;
  /** Notified of the attempts, so that routing can use their results. */
  readonly observer: AttemptObserver;
};

/** Callbacks for the attempts of a request. */
export type AttemptObserver = {
  onSubmit(engine: EngineId, expectedWait: Millis): void;
  onFirstToken(engine: EngineId): void;
  /** The attempt ended early. */
  onRefusal(engine: EngineId, refusal: Refusal): void;
  /** The attempt has ended or was cancelled. */
  onClose(engine: EngineId): void;
};

type Attempt = {
  readonly engine: EngineId;
  control: StreamControl | undefined;
};

/**
 * Task that runs one draft at its entry node: relays the answer and retries the
 * request on another engine when an attempt ends early.
 */
export class DraftRequest {
  readonly #options: DraftRequestOptions;
  readonly #actor: DecisionActor<DraftState, DraftEvent>;
  readonly #attempts = new Map<AttemptNumber, Attempt>();
  /** Attempt whose chunks are relayed to the caller. */
  #winner: AttemptNumber | undefined;
  #paused = false;
  #delivered = 0;
  #cancelTimer: Cancel | undefined;

  /** Starts the request; the sink may receive a refusal before this returns. */
  static create(options: DraftRequestOptions): DraftRequest {
    const request = new DraftRequest(options);
    request.#actor.start();
    request.#actor.send({ type: "start" });
    return request;
  }

  private constructor(options: DraftRequestOptions) {
    this.#options = options;
    const { call, clock, policies } = options;
    this.#actor = createActor(
      createDecisionLogic<DraftState, DraftEvent, DraftCommand>({
        initial: createDraftState({
          deadlineAt: call.work.deadlineAt,
          isolated: call.isolated,
        }),
        decide: createDraftDecision(policies),
        clock,
        perform: (command) => this.#perform(command),
      }),
    );
  }

  /** Ends all attempts after the caller has disconnected. */
  cancel(): void {
    this.#actor.send({ type: "cancel" });
    this.#close();
  }

  /** Refuses the request, without waiting for the rest of its answer. */
  giveUp(): void {
    this.#actor.send({ type: "stop" });
  }

  /** Stops reading the answer until `resume`. */
  pause(): void {
    this.#paused = true;
    for (const { control } of this.#attempts.values()) control?.pause();
  }

  /** Continues reading the answer. */
  resume(): void {
    this.#paused = false;
    for (const { control } of this.#attempts.values()) control?.resume();
  }

  #perform(command: DraftCommand): void {
    const { sink, journal, call } = this.#options;
    switch (command.type) {
      case "submit":
        return this.#submit(command);
      case "cancel-attempt":
        return this.#cancelAttempt(command.attempt);
      case "set-timer":
        return this.#setTimer(command.at);
      case "finish":
        sink.onEnd();
        return this.#close();
      case "fail":
        sink.onRefusal(command.refusal);
        return this.#close();
      case "record":
        journal.record(command.event, {
          requestId: call.work.requestId,
          adapter: call.work.adapter,
          detail: command.detail,
        });
    }
  }

  #submit(target: Extract<DraftCommand, { type: "submit" }>): void {
    const { call, access, observer } = this.#options;
    const { engine, resumeAt, isolated, attempt: number } = target;
    const attempt: Attempt = { engine, control: undefined };
    this.#attempts.set(number, attempt);
    observer.onSubmit(engine, target.expectedWait);
    attempt.control = access.submit(
      engine,
      {
        work: { ...call.work, resumeAt, isolated },
        path: call.path,
        body: call.body,
      },
      this.#createRelay(number, engine),
    );
    if (this.#paused) attempt.control.pause();
  }

  /** Creates the sink of one attempt; events that arrive after the attempt has ended are dropped. */
  #createRelay(number: AttemptNumber, engine: EngineId): AnswerSink {
    const { sink, observer } = this.#options;
    return {
      onChunk: (bytes, count) => {
        if (this.#winner !== number) {
          if (this.#winner !== undefined || !this.#attempts.has(number)) return;
          this.#winner = number;
          observer.onFirstToken(engine);
          this.#actor.send({ type: "first-token", attempt: number });
        }
        this.#delivered += count;
        sink.onChunk(bytes, count);
      },
      onEnd: () => {
        if (!this.#attempts.has(number)) return;
        this.#closeAttempt(number);
        this.#actor.send({ type: "ended" });
      },
      onRefusal: (refusal) => {
        if (!this.#attempts.has(number)) return;
        if (this.#winner === number) this.#winner = undefined;
        observer.onRefusal(engine, refusal);
        this.#closeAttempt(number);
        const delivered = this.#delivered;
        this.#actor.send({
          type: "refused",
          attempt: number,
          refusal,
          delivered,
        });
      },
    };
  }

  #cancelAttempt(number: AttemptNumber): void {
    const attempt = this.#attempts.get(number);
    this.#closeAttempt(number);
    attempt?.control?.cancel();
  }

  #closeAttempt(number: AttemptNumber): void {
    const attempt = this.#attempts.get(number);
    if (attempt === undefined) return;
    this.#attempts.delete(number);
    this.#options.observer.onClose(attempt.engine);
  }

  #setTimer(at: Millis): void {
    const { clock } = this.#options;
    this.#cancelTimer?.();
    this.#cancelTimer = clock.schedule(millis(at - clock.now()), () =>
      this.#actor.send({ type: "wake" }),
    );
  }

  #close(): void {
    for (const number of [...this.#attempts.keys()]) {
      this.#cancelAttempt(number);
    }
    this.#cancelTimer?.();
    this.#actor.stop();
    this.#options.onClose();
  }
}
