import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";
import { createActor } from "xstate";
import { createCallDecision, createCallState } from "../core/booking/call.ts";
import type {
  CallAnswer,
  CallCommand,
  CallEvent,
  CallKind,
  CallState,
  SendResult,
} from "../core/booking/call_messages.ts";
import {
  type Claim,
  maxRecordedBytes,
  type RecordedAnswer,
} from "../core/booking/claim.ts";
import { type Cancel, type Clock, type Millis, millis } from "../core/clock.ts";
import { findLatestStart } from "../core/gateway/stopping.ts";
import type { AttemptToken, LeaseId, NodeId, RequestId } from "../core/ids.ts";
import { type Refusal, refuse } from "../core/results/refusal.ts";
import type { BookingAnswer } from "../ports/front_end.ts";
import type { Journal, Meter } from "../ports/journal.ts";
import type { ServiceCall } from "../ports/service.ts";
import type { ClaimWriter } from "./claim_writer.ts";
import { createDecisionLogic, type DecisionActor } from "./decision_actor.ts";
import type { ServerPool } from "./server_pool.ts";

/** Result of a booking call for its caller. */
export type CallReply = Either<Refusal, BookingAnswer>;

/** A classified call, with its claim if it has an idempotency key. */
export type PlannedCall = {
  readonly kind: CallKind;
  readonly requestId: RequestId;
  readonly deadlineAt: Millis;
  readonly claim: Claim | undefined;
  readonly request: Omit<ServiceCall, "requestId" | "timeout" | "repeatable">;
};

/** Options of the task of one booking call. */
export type ServiceRequestOptions = {
  readonly call: PlannedCall;
  readonly clock: Clock;
  readonly random: () => number;
  readonly journal: Journal;
  readonly meter: Meter;
  readonly pool: ServerPool;
  /** Queues a write of the call's claim row; the listener is called with the result. */
  readonly write: (
    claimWrite: Omit<Parameters<ClaimWriter["write"]>[0], "key">,
    listener: Parameters<ClaimWriter["write"]>[1],
  ) => void;
  readonly nextToken: () => AttemptToken;
  readonly currentLease: () => LeaseId | undefined;
  /** Time at which the node exits; undefined while it does not stop. */
  readonly exitAt?: () => Millis | undefined;
  /** Whether the session still holds the lease; undefined when the table did not answer. */
  readonly hasSession: (
    node: NodeId,
    lease: LeaseId,
  ) => Promise<boolean | undefined>;
  /** Called once with the result for the caller. */
  readonly onReply: (reply: CallReply) => void;
  /** Called once when the call has ended; the write of its outcome may still be in progress. */
  readonly onClose: () => void;
};

/** Task that runs one booking call: claims its key, sends it and records the outcome. */
export class ServiceRequest {
  readonly #options: ServiceRequestOptions;
  readonly #actor: DecisionActor<CallState, CallEvent>;
  readonly #tried = new Set<string>();
  #cancelTimer: Cancel | undefined;
  #stopped = false;

  /** Starts the call; `onReply` may be called before this returns. */
  static create(options: ServiceRequestOptions): ServiceRequest {
    const request = new ServiceRequest(options);
    request.#actor.start();
    request.#actor.send({ type: "start" });
    return request;
  }

  private constructor(options: ServiceRequestOptions) {
    this.#options = options;
    const { call, clock, pool, random } = options;
    this.#actor = createActor(
      createDecisionLogic<CallState, CallEvent, CallCommand>({
        initial: createCallState({
          kind: call.kind,
          requestId: call.requestId,
          deadlineAt: call.deadlineAt,
          claim: call.claim,
          wallOffset: clock.wallNow() - clock.now(),
          hedgeAfter: pool.hedgeDelay,
        }),
        decide: createCallDecision(random),
        clock,
        perform: (command) => this.#perform(command),
      }),
    );
  }

  /** Refuses the call and records its outcome, without waiting for an answer. */
  giveUp(): void {
    this.#sendEvent({ type: "stop" });
  }

  /** Stops without a reply, like a killed process. */
  stop(): void {
    this.#stopped = true;
    this.#cancelTimer?.();
    this.#actor.stop();
  }

  #perform(command: CallCommand): void {
    const { call, journal, onReply } = this.#options;
    switch (command.type) {
      case "write":
        this.#write(command);
        return;
      case "settle":
        this.#settle(command);
        return;
      case "check-session":
        void this.#checkSession(command.node, command.lease);
        return;
      case "send":
        void this.#send(command);
        return;
      case "answer":
        onReply(Right({ ...command.answer, outcome: "ran", replayed: false }));
        return;
      case "replay":
        onReply(decodeRecorded(command.answer));
        return;
      case "refuse":
        onReply(Left(command.refusal));
        return;
      case "set-timer":
        this.#setTimer(command.at);
        return;
      case "record":
        journal.record(command.event, {
          requestId: call.requestId,
          detail: command.detail,
        });
        return;
      case "end":
        this.#end();
        return;
    }
  }

  #write(command: {
    claim: Claim;
    version: number | "absent";
    giveUpAt: Millis;
  }): void {
    const { version, giveUpAt } = command;
    const claim = this.#stamp(command.claim);
    this.#options.write({ mode: "exact", claim, version, giveUpAt }, (result) =>
      this.#sendEvent({ type: "written", result }),
    );
  }

  #settle(command: {
    claim: Claim;
    version: number | "absent";
    state: Claim["state"];
    answer?: CallAnswer;
  }): void {
    const { journal, clock, write } = this.#options;
    const answer = command.answer && encodeRecorded(command.answer);
    if (answer?.body === null) {
      this.#options.meter.count("booking_answers_not_kept_total");
    }
    const claim = this.#stamp({
      ...command.claim,
      state: command.state,
      ...(answer === undefined ? {} : { answer }),
    });
    const { version } = command;
    const row = { mode: "settle", claim, version } as const;
    write({ ...row, giveUpAt: clock.now() }, () => {
      journal.record("callSettled", {
        requestId: command.claim.requestId,
        state: command.state,
      });
      this.#sendEvent({ type: "settled" });
    });
  }

  /** Gives a row a new write token and the current time. */
  #stamp(claim: Claim): Claim {
    const { nextToken, clock } = this.#options;
    return { ...claim, write: nextToken(), writtenAt: clock.wallNow() };
  }

  async #checkSession(node: NodeId, lease: LeaseId): Promise<void> {
    const exists = await this.#options.hasSession(node, lease);
    this.#sendEvent({ type: "session", exists });
  }

  /** Sends the call; the deadline and the lease are checked in the same event-loop turn. */
  async #send(command: {
    awaitUntil: Millis;
    sendBefore: Millis;
    lease: LeaseId | undefined;
    budget: "none" | "retry" | "hedge";
  }): Promise<void> {
    const { call, clock, pool, journal, currentLease } = this.#options;
    const now = clock.now();
    const { lease } = command;
    if (now >= command.sendBefore) {
      this.#reportFailure(
        "too-late",
        "The deadline passed before the call was sent",
      );
      return;
    }
    if (this.#isLateForExit(now)) {
      this.#reportFailure(
        "stopping",
        "The node stops before the call would have to end",
      );
      return;
    }
    if (lease !== undefined && currentLease() !== lease) {
      this.#reportFailure(
        "no-lease",
        "The session lease of the node has ended",
      );
      return;
    }
    const server = pool.choose(this.#tried);
    if (server === undefined) return this.#reportNoServer();
    if (command.budget !== "none" && !pool.takeExtraSend(command.budget)) {
      this.#reportFailure(
        "denied",
        `The ${command.budget} budget is exhausted`,
      );
      return;
    }
    this.#tried.add(server);
    journal.record("callSent", { requestId: call.requestId, server });
    const timeout = millis(command.awaitUntil - now);
    const { requestId, request } = call;
    const repeatable = call.kind === "lookup";
    const sent = { ...request, requestId, timeout, repeatable };
    const result = await pool.call(server, sent);
    this.#sendEvent({ type: "result", result });
  }

  #reportNoServer(): void {
    const retryAfter = this.#options.pool.findReturnDelay();
    const result: SendResult =
      retryAfter === undefined
        ? { kind: "no-server", detail: "No server accepts the call" }
        : {
            kind: "all-paused",
            detail: "Every server has asked for a pause",
            retryAfter,
          };
    this.#sendEvent({ type: "result", result });
  }

  #isLateForExit(now: Millis): boolean {
    const { call, exitAt: readExitTime } = this.#options;
    const exitAt = readExitTime?.();
    if (exitAt === undefined) return false;
    const limit = call.deadlineAt;
    return now > findLatestStart({ exitAt, limit, longestRun: undefined });
  }

  #reportFailure(
    kind: Exclude<SendResult["kind"], "answer">,
    detail: string,
  ): void {
    this.#sendEvent({ type: "result", result: { kind, detail } });
  }

  #setTimer(at: Millis): void {
    const { clock } = this.#options;
    this.#cancelTimer?.();
    this.#cancelTimer = clock.schedule(millis(at - clock.now()), () =>
      this.#sendEvent({ type: "wake" }),
    );
  }

  /** Sends an event to the actor; results that arrive after the end of the call are dropped. */
  #sendEvent(event: CallEvent): void {
    if (!this.#stopped) this.#actor.send(event);
  }

  #end(): void {
    this.stop();
    this.#options.onClose();
  }
}

function encodeRecorded(answer: CallAnswer): RecordedAnswer {
  const { status, contentType, body } = answer;
  const fits = body.length <= maxRecordedBytes;
  return {
    status,
    contentType: contentType ?? null,
    body: fits ? Buffer.from(body).toString("base64") : null,
  };
}

function decodeRecorded(recorded: RecordedAnswer): CallReply {
  if (recorded.body === null) {
    return Left(
      refuse(
        "answerNotKept",
        `The call was answered with status ${recorded.status}; the answer was too large to record`,
      ),
    );
  }
  return Right({
    status: recorded.status,
    contentType: recorded.contentType ?? undefined,
    body: Buffer.from(recorded.body, "base64"),
    outcome: "ran",
    replayed: true,
  });
}
