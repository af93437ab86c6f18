import { createActor } from "xstate";
import { type Cancel, type Clock, type Millis, millis } from "../core/clock.ts";
import type { Work } from "../core/engine/work.ts";
import type { EngineId } from "../core/ids.ts";
import {
  createDraftDecision,
  createDraftState,
  type DraftCommand,
  type DraftEvent,
  type DraftPolicies,
  type DraftState,
} from "../core/requests/draft.ts";
import type { AnswerSink, EngineAccess } from "../ports/access.ts";
import type { GenerateOrder, StreamControl } from "../ports/engine.ts";
import type { Journal } from "../ports/journal.ts";
import { createDecisionLogic, type DecisionActor } from "./decision_actor.ts";

/** One draft as a front end hands it over, already resolved and admitted. */
export type DraftCall = {
  /** Work without what changes from attempt to attempt. */
  readonly work: Omit<Work, "resumeAt" | "isolated">;
  readonly path: GenerateOrder["path"];
  readonly body: Uint8Array;
  /** The content is a known suspect and must run alone. */
  readonly isolated: boolean;
};

/** What a draft request needs. */
export type DraftRequestOptions = {
  readonly call: DraftCall;
  readonly sink: AnswerSink;
  readonly access: EngineAccess;
  readonly policies: DraftPolicies;
  readonly clock: Clock;
  readonly journal: Journal;
  /** Called once when the request has ended in any way. */
  readonly onClose: () => void;
  /** Called for each attempt, so that routing can count what it sent. */
  readonly onSubmit?: (engine: EngineId) => void;
};

/**
 * Task of one draft at its entry node: relays the answer, and moves the request
 * to another engine when an attempt ends early.
 */
export class DraftRequest {
  readonly #options: DraftRequestOptions;
  readonly #actor: DecisionActor<DraftState, DraftEvent>;
  #attempt = 0;
  #control: StreamControl | undefined;
  #paused = false;
  #delivered = 0;
  #cancelTimer: Cancel | undefined;

  /** Starts the request; the sink may hear of a refusal before this returns. */
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

  /** The caller left: ends the current attempt. */
  cancel(): void {
    this.#actor.send({ type: "cancel" });
    this.#close();
  }

  /** Stops reading the answer until `resume`. */
  pause(): void {
    this.#paused = true;
    this.#control?.pause();
  }

  /** Reads the answer again. */
  resume(): void {
    this.#paused = false;
    this.#control?.resume();
  }

  #perform(command: DraftCommand): void {
    const { sink, journal, call } = this.#options;
    switch (command.type) {
      case "submit":
        return this.#submit(command);
      case "cancel-attempt":
        this.#control?.cancel();
        return;
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

  #submit(target: {
    engine: EngineId;
    resumeAt: number;
    isolated: boolean;
  }): void {
    const { call, access, onSubmit } = this.#options;
    const { engine, resumeAt, isolated } = target;
    this.#attempt++;
    this.#control = undefined;
    onSubmit?.(engine);
    const control = access.submit(
      engine,
      {
        work: { ...call.work, resumeAt, isolated },
        path: call.path,
        body: call.body,
      },
      this.#createRelay(this.#attempt),
    );
    this.#control = control;
    if (this.#paused) control.pause();
  }

  /** Relay of one attempt; what arrives after the attempt has ended is dropped. */
  #createRelay(attempt: number): AnswerSink {
    const { sink } = this.#options;
    return {
      onChunk: (bytes, count) => {
        if (attempt !== this.#attempt) return;
        this.#delivered += count;
        sink.onChunk(bytes, count);
      },
      onEnd: () => {
        if (attempt === this.#attempt) this.#actor.send({ type: "ended" });
      },
      onRefusal: (refusal) => {
        if (attempt !== this.#attempt) return;
        const delivered = this.#delivered;
        this.#actor.send({ type: "refused", refusal, delivered });
      },
    };
  }

  #setTimer(at: Millis): void {
    const { clock } = this.#options;
    this.#cancelTimer?.();
    this.#cancelTimer = clock.schedule(millis(at - clock.now()), () =>
      this.#actor.send({ type: "wake" }),
    );
  }

  #close(): void {
    this.#attempt++;
    this.#cancelTimer?.();
    this.#actor.stop();
    this.#options.onClose();
  }
}
