import { createActor } from "xstate";
import type { Millis } from "../core/clock.ts";
import { type Cancel, type Clock, millis } from "../core/clock.ts";
import type { Decide } from "../core/decision.ts";
import type {
  EngineCommand,
  EngineEvent,
  EngineIdentity,
} from "../core/engine/messages.ts";
import type { EngineState } from "../core/engine/state.ts";
import type { WorkItem } from "../core/engine/work_item.ts";
import type { EngineId, FencingNumber, RequestId } from "../core/ids.ts";
import { refuse } from "../core/results/refusal.ts";
import type { AnswerSink, Submission } from "../ports/access.ts";
import {
  type AdapterOrder,
  type EngineLink,
  endedStream,
  type StreamControl,
  type StreamSink,
} from "../ports/engine.ts";
import type { Journal, Meter } from "../ports/journal.ts";
import { createDecisionLogic, type DecisionActor } from "./decision_actor.ts";
import type { SuspectListener } from "./suspect_listener.ts";

/** Minimum time between `progress` events of one stream, in ms. */
const progressIntervalMillis = 1_000;

/** Source of the permits that an engine owner needs to load adapters. */
export type PermitSource = {
  request(engine: EngineId, urgent: boolean): void;
  release(engine: EngineId, used: boolean): void;
};

/** Options of an engine owner. */
export type EngineOwnerOptions = {
  readonly identity: EngineIdentity;
  readonly initial: EngineState;
  readonly decide: Decide<EngineState, EngineEvent, EngineCommand>;
  readonly clock: Clock;
  readonly link: EngineLink;
  readonly permits: PermitSource;
  readonly suspects: SuspectListener;
  readonly journal: Journal;
  readonly meter: Meter;
};

type OwnedStream = {
  readonly submission: Submission;
  readonly sink: AnswerSink;
  control: StreamControl | undefined;
  paused: boolean;
  tokens: number;
  nextProgressAt: number;
  /** The current dispatch has produced its first token. */
  started: boolean;
};

/** Owner of one engine: holds its streams and serialises all orders to it. */
export class EngineOwner {
  readonly #options: EngineOwnerOptions;
  readonly #actor: DecisionActor<EngineState, EngineEvent>;
  readonly #streams = new Map<RequestId, OwnedStream>();
  #cancelTimer: Cancel | undefined;

  static create(options: EngineOwnerOptions): EngineOwner {
    return new EngineOwner(options);
  }

  private constructor(options: EngineOwnerOptions) {
    this.#options = options;
    const { initial, decide, clock } = options;
    this.#actor = createActor(
      createDecisionLogic<EngineState, EngineEvent, EngineCommand>({
        initial,
        decide,
        clock,
        perform: (command) => this.#perform(command),
      }),
    );
    this.#actor.start();
  }

  /** Current decision state, for engine views and status. */
  get state(): EngineState {
    return this.#actor.getSnapshot().context;
  }

  /** Number of requests queued or running at the engine. */
  get load(): number {
    return this.#streams.size;
  }

  send(event: EngineEvent): void {
    this.#actor.send(event);
  }

  /** Queues a request; the sink may receive a refusal before this returns. */
  submit(submission: Submission, sink: AnswerSink): StreamControl {
    const { requestId } = submission.work;
    if (this.#streams.has(requestId)) {
      // Answers are matched by request id, so two streams with one id would be mixed up.
      this.#options.meter.count("duplicate_request_ids_total");
      const detail = `Request ${requestId} is already open at this owner`;
      sink.onRefusal(refuse("engineRefused", detail));
      return endedStream;
    }
    this.#streams.set(requestId, {
      submission,
      sink,
      control: undefined,
      paused: false,
      started: false,
      tokens: 0,
      nextProgressAt: 0,
    });
    this.#actor.send({ type: "submit", work: submission.work });
    return {
      cancel: () => this.#cancel(requestId),
      pause: () => this.#setPaused(requestId, true),
      resume: () => this.#setPaused(requestId, false),
    };
  }

  /** Ends all streams; the nodes that forwarded them may continue them elsewhere. */
  giveUp(): void {
    const detail = "The owner node stopped before the answer was complete";
    for (const [requestId, { sink }] of [...this.#streams]) {
      this.#cancel(requestId);
      sink.onRefusal(refuse("stopped", detail));
    }
  }

  /** Stops the timer and the actor; all streams must have ended before. */
  stop(): void {
    this.#cancelTimer?.();
    this.#actor.stop();
  }

  #cancel(requestId: RequestId): void {
    const stream = this.#streams.get(requestId);
    if (stream === undefined) return;
    // The event may be delayed in the mailbox, so the stream is cancelled directly.
    this.#streams.delete(requestId);
    stream.control?.cancel();
    this.#actor.send({ type: "cancel", requestId });
  }

  #setPaused(requestId: RequestId, paused: boolean): void {
    const stream = this.#streams.get(requestId);
    if (stream === undefined) return;
    stream.paused = paused;
    if (paused) stream.control?.pause();
    else stream.control?.resume();
  }

  #perform(command: EngineCommand): void {
    const { identity, permits, suspects, journal } = this.#options;
    switch (command.type) {
      case "dispatch":
        return this.#dispatch(command);
      case "load":
        return this.#load(command);
      case "unload":
        return this.#unload(command);
      case "refuse": {
        const stream = this.#streams.get(command.requestId);
        this.#streams.delete(command.requestId);
        stream?.sink.onRefusal(command.refusal);
        return;
      }
      case "cancel-stream":
        this.#streams.get(command.requestId)?.control?.cancel();
        return;
      case "preempt":
        this.#preempt(command.requestId);
        return;
      case "request-permit":
        return permits.request(identity.engine, command.urgent);
      case "release-permit":
        return permits.release(identity.engine, command.used);
      case "request-report":
        return this.#requestReport();
      case "suspect":
        return suspects.suspect({ engine: identity.engine, ...command });
      case "clear-suspect":
        return suspects.clear(command.digest);
      case "set-timer":
        return this.#setTimer(command.at);
      case "record":
        journal.record(command.event, {
          engine: identity.engine,
          requestId: command.requestId,
          adapter: command.adapter,
          detail: command.detail,
        });
    }
  }

  #dispatch(order: {
    work: WorkItem;
    fence: FencingNumber;
    validUntil: Millis;
  }): void {
    const { work, fence, validUntil } = order;
    const stream = this.#streams.get(work.requestId);
    if (stream === undefined) return;
    const { path, body } = stream.submission;
    this.#options.journal.record("requestDispatched", {
      requestId: work.requestId,
      engine: this.#options.identity.engine,
      adapter: work.adapter,
    });
    stream.control = this.#options.link.generate(
      {
        requestId: work.requestId,
        adapter: work.adapter,
        path,
        body,
        priority: work.priority,
        fence,
        validUntil,
        resumeAt: work.resumeAt,
      },
      this.#createRelay(stream),
    );
    if (stream.paused) stream.control.pause();
  }

  /** Creates the sink of a stream: passes chunks on directly and sends the other events to the actor. */
  #createRelay(stream: OwnedStream): StreamSink {
    const { requestId } = stream.submission.work;
    const { clock } = this.#options;
    return {
      onChunk: (bytes, count) => {
        const first = !stream.started;
        stream.started = true;
        stream.tokens += count;
        stream.sink.onChunk(bytes, count);
        if (first) {
          stream.nextProgressAt = clock.now() + progressIntervalMillis;
          // Sent after the chunk is counted, since the actor may respond with `preempt`.
          this.#actor.send({ type: "first-token", requestId });
          return;
        }
        if (clock.now() < stream.nextProgressAt) return;
        stream.nextProgressAt = clock.now() + progressIntervalMillis;
        this.#actor.send({
          type: "progress",
          requestId,
          tokens: stream.tokens,
        });
      },
      onEnd: () => {
        this.#streams.delete(requestId);
        this.#actor.send({
          type: "finished",
          requestId,
          tokens: stream.tokens,
        });
        stream.sink.onEnd();
      },
      onFailure: (failure) =>
        this.#actor.send({
          type: "stream-failed",
          requestId,
          kind: failure.kind,
          detail: failure.detail,
        }),
    };
  }

  #load(order: AdapterOrder): void {
    const { adapter } = order;
    void this.#options.link.load(order).then((result) =>
      result.caseOf<void>({
        Left: (failure) =>
          this.send({ type: "load-failed", adapter, detail: failure.detail }),
        Right: () => this.send({ type: "load-finished", adapter }),
      }),
    );
  }

  #unload(order: AdapterOrder): void {
    const { adapter } = order;
    void this.#options.link.unload(order).then((result) =>
      result.caseOf<void>({
        Left: () => this.send({ type: "unload-failed", adapter }),
        Right: () => this.send({ type: "unload-finished", adapter }),
      }),
    );
  }

  #requestReport(): void {
    void this.#options.link.report().then((result) =>
      result.caseOf<void>({
        Left: (failure) =>
          this.send({ type: "report-failed", detail: failure.detail }),
        Right: (status) => this.send({ type: "report", status }),
      }),
    );
  }

  /** Cancels a stream at the engine and keeps its sink for the next dispatch. */
  #preempt(requestId: RequestId): void {
    const stream = this.#streams.get(requestId);
    if (stream?.control === undefined) return;
    stream.control.cancel();
    stream.control = undefined;
    stream.started = false;
    this.#actor.send({ type: "preempted", requestId, tokens: stream.tokens });
  }

  #setTimer(at: Millis): void {
    const { clock } = this.#options;
    this.#cancelTimer?.();
    this.#cancelTimer = clock.schedule(millis(at - clock.now()), () =>
      this.send({ type: "wake" }),
    );
  }
}
