import { type Millis, millis } from "../../../core/clock.ts";
import type { BudgetShare } from "../../../core/gateway/byte_budget.ts";
import type { GatewayRoute } from "../../../core/gateway/configuration.ts";
import { EventBoundary } from "../../../core/gateway/event_boundary.ts";
import type { AttemptFailure } from "../../../core/gateway/retry_decision.ts";
import {
  recordCallEnd,
  recordCallResult,
  recordCallStart,
} from "../../../core/gateway/server_health.ts";
import {
  maxEventBytes,
  type StreamCursor,
} from "../../../core/gateway/stream_cursor.ts";
import type {
  CallerSink,
  ResponseEnd,
  ResponseHead,
  ServerFailure,
  ServerRequest,
  ServerRequestControl,
} from "../../../ports/gateway.ts";
import type { GatewayContext } from "../context.ts";
import { ProvenSink, type ProveServer } from "./proven_sink.ts";
import { continuesStream, withoutLength } from "./stream_head.ts";

/** Maximum size of a response that is buffered until it is complete, in bytes. */
const maxBufferedBytes = 8 * 1024 * 1024;
/** Maximum size of the body of a failure, in bytes. */
const maxFailureBytes = 256 * 1024;
/** Memory that a piece of a body takes beside its bytes, in bytes. */
const pieceOverhead = 256;

/** How an attempt ended; `whole` means that the caller has the complete response. */
export type AttemptResult = {
  readonly end: AttemptFailure | { readonly kind: "whole" };
  readonly detail: string;
  /** Response of the server, which is forwarded if it is an error that is not retried. */
  readonly head: ResponseHead | undefined;
  /** Time from the first to the latest bytes of the body, or 0 if there were none, in ms; undefined without a head. */
  readonly runTime: Millis | undefined;
  /** The server had to wait for the caller, so that the times do not tell its pace. */
  readonly wasPaused?: boolean;
  readonly body: readonly Uint8Array[];
};

/** Result of an attempt that was not made because its server had left, paused or named a limit. */
export const serverLeft: AttemptResult = {
  end: { kind: "left" },
  detail: "The server left, paused or is limited, before the request was sent",
  head: undefined,
  runTime: undefined,
  body: [],
};

type ServerAttemptOptions = {
  readonly context: GatewayContext;
  readonly route: GatewayRoute;
  readonly serverRequest: ServerRequest;
  /** Position in the stream; present if a broken stream may be resumed at another server. */
  readonly cursor: StreamCursor | undefined;
  /** Head of the response if an earlier attempt has started it. */
  readonly started: ResponseHead | undefined;
  readonly sink: Pick<CallerSink, "start" | "write" | "end">;
  /** Whether the process that answers on a connection may answer the request; it is asked with the head. */
  readonly prove: ProveServer;
  /** Whether the server has gone down; it is asked at the end of a response that its connection ends. */
  readonly hasCrashed: () => Promise<boolean>;
  /** Called with bytes of the body, and with the time since the first ones. */
  readonly onRun: (runTime: Millis) => void;
  readonly onResult: (result: AttemptResult) => void;
};

/**
 * One attempt to serve a request at a server. Streams are forwarded as they
 * arrive; other responses are buffered until they are complete, so that a broken
 * one can be replaced by that of another attempt.
 */
export class ServerAttempt {
  readonly #options: ServerAttemptOptions;
  readonly #buffered: Uint8Array[] = [];
  /** Follows a stream that has no cursor. */
  readonly #boundary = EventBoundary.create();
  #bufferedBytes = 0;
  #wasPaused = false;
  #share: BudgetShare | undefined;
  #head: ResponseHead | undefined;
  #passesThrough = false;
  /** Times of the first and the latest bytes of the body. */
  #bodyAt: Millis | undefined;
  #latestAt = millis(0);
  #control: ServerRequestControl | undefined;
  #proven: ProvenSink | undefined;
  #ended = false;

  private constructor(options: ServerAttemptOptions) {
    this.#options = options;
  }

  static start(options: ServerAttemptOptions): ServerAttempt {
    const attempt = new ServerAttempt(options);
    const { context, serverRequest } = options;
    recordCallStart(context.health, serverRequest.server.id);
    context.availability.recordSend(serverRequest.server);
    context.reach.recordSend(attempt);
    const sink = {
      onHead: (head: ResponseHead) => attempt.#onHead(head),
      onBytes: (bytes: Uint8Array) => attempt.#onBytes(bytes),
      onEnd: (by: ResponseEnd) => attempt.#onEnd(by),
      onFailure: (failure: ServerFailure) => attempt.#onFailure(failure),
    };
    attempt.#proven = ProvenSink.create(sink, {
      prove: options.prove,
      onUnproven: () => attempt.#fail("The server may have started again"),
      onHold: (head) => attempt.#onHold(head),
      onRelease: () => attempt.#control?.resume(),
    });
    attempt.#control = context.dependencies.links.send(
      serverRequest,
      attempt.#proven,
    );
    return attempt;
  }

  /** Whether the server has begun to answer. */
  get hasHead(): boolean {
    return this.#head !== undefined;
  }

  /** Ends an attempt whose server is out of reach as one that may have run. */
  giveUp(): void {
    if (!this.#ended) this.#fail("The node reaches no server");
  }

  /** Cancels the request at the server. */
  cancel(): void {
    if (this.#ended) return;
    this.#close();
    this.#options.context.reach.recordEnd(this, false);
    this.#control?.cancel();
  }

  /** Reads on after a write that the caller's connection did not take at once. */
  resume(): void {
    if (this.#ended || this.#proven?.isHolding) return;
    this.#control?.resume();
  }

  /** The server has begun to answer, though its answer must not be passed on yet. */
  #onHold(head: ResponseHead): void {
    this.#head = head;
    this.#control?.pause();
  }

  #onHead(head: ResponseHead): void {
    this.#head = head;
    this.#options.context.reach.recordAnswer(this);
    const { route, started, cursor, sink } = this.#options;
    this.#passesThrough =
      route.retryRule === "stream" &&
      isSuccess(head.status) &&
      (started === undefined || continuesStream(started, head));
    if (!this.#passesThrough || started !== undefined) return;
    sink.start(cursor === undefined ? head : withoutLength(head));
  }

  #onBytes(bytes: Uint8Array): void {
    if (this.#ended) return;
    this.#options.context.reach.recordAnswer(this);
    this.#latestAt = this.#options.context.now();
    this.#bodyAt ??= this.#latestAt;
    this.#options.onRun(this.#runTime);
    if (!this.#passesThrough) {
      return this.#buffer(bytes);
    }
    const { cursor } = this.#options;
    if (cursor === undefined) {
      this.#boundary.push(bytes);
      this.#write(bytes);
      if (this.#boundary.eventBytes > maxEventBytes)
        this.#fail("An event is too large");
      return;
    }
    const events = cursor.push(bytes);
    if (events.bytes.length > 0) this.#write(events.bytes);
    if (events.fault !== undefined) this.#fail(events.fault);
  }

  /** Keeps bytes of an answer that is passed on once it is complete. */
  #buffer(bytes: Uint8Array): void {
    this.#buffered.push(bytes);
    const size = bytes.length + pieceOverhead;
    this.#bufferedBytes += size;
    const isFailure = this.#head !== undefined && this.#head.status >= 500;
    const limit = isFailure ? maxFailureBytes : maxBufferedBytes;
    if (this.#bufferedBytes > limit)
      return this.#fail("The answer is too large to buffer");
    const { answerBudget, dependencies } = this.#options.context;
    this.#share ??= answerBudget.open(() => {
      dependencies.meter.count("gateway_answers_without_room_total");
      this.#fail("The buffered answers have no room for this one");
    });
    this.#share.add(size);
  }

  /** Passes bytes on; the server waits while the caller's connection takes no more. */
  #write(bytes: Uint8Array): void {
    const { context, sink } = this.#options;
    if (sink.write(bytes)) return;
    context.dependencies.meter.count("gateway_answers_paused_total");
    this.#wasPaused = true;
    this.#control?.pause();
  }

  #onEnd(by: ResponseEnd): void {
    if (this.#ended) return;
    if (by === "connection") void this.#completeUnlessCrashed();
    else this.#complete();
  }

  /** Completes a response without a length, unless the connection ended because its server went down. */
  async #completeUnlessCrashed(): Promise<void> {
    const hasCrashed = await this.#options.hasCrashed();
    if (this.#ended) return;
    if (hasCrashed) this.#fail("The server went down at the end of its answer");
    else this.#complete();
  }

  #complete(): void {
    const { cursor, sink } = this.#options;
    const head = this.#head as ResponseHead;
    if (this.#passesThrough) {
      // Without a length, the end of the connection also ends a broken stream.
      const isWithinEvent =
        cursor === undefined
          ? this.#boundary.isWithinEvent
          : cursor.partialBytes > 0;
      if (isWithinEvent) {
        return this.#fail("The stream ended within an event");
      }
      sink.end();
      return this.#finish({ kind: "whole" }, "");
    }
    if (head.status >= 500) {
      return this.#finish({ kind: "server-error" }, `Status ${head.status}`);
    }
    // A stream that has started cannot be replaced by another kind of response.
    if (this.#options.started !== undefined) {
      return this.#finish({ kind: "broken" }, `Status ${head.status}`);
    }
    sink.start(head);
    for (const bytes of this.#buffered) sink.write(bytes);
    sink.end();
    this.#finish({ kind: "whole" }, "");
  }

  #onFailure({ kind, detail }: ServerFailure): void {
    if (this.#ended) return;
    this.#options.cursor?.discardPartialEvent();
    this.#finish({ kind }, detail);
  }

  #fail(detail: string): void {
    this.#buffered.length = 0;
    this.#control?.cancel();
    this.#onFailure({ kind: "broken", detail });
  }

  #finish(end: AttemptResult["end"], detail: string): void {
    this.#close();
    const { context, serverRequest, onResult } = this.#options;
    context.dependencies.meter.count("gateway_sends_total", {
      result: end.kind,
    });
    const hasFailed = end.kind === "unreachable" || end.kind === "broken";
    context.reach.recordEnd(this, hasFailed);
    if (end.kind === "whole") {
      const { id } = serverRequest.server;
      const result = { result: "good", now: context.now() } as const;
      recordCallResult(context.health, id, result);
      context.availability.recordServed(serverRequest.server);
    }
    const head = this.#head;
    const runTime = head && this.#runTime;
    const wasPaused = this.#wasPaused;
    onResult({ end, detail, head, runTime, wasPaused, body: this.#buffered });
  }

  get #runTime(): Millis {
    return millis(
      this.#bodyAt === undefined ? 0 : this.#latestAt - this.#bodyAt,
    );
  }

  #close(): void {
    this.#ended = true;
    this.#proven?.close();
    this.#share?.release();
    const { context, serverRequest } = this.#options;
    recordCallEnd(context.health, serverRequest.server.id);
    context.queues.notify(serverRequest.server.service);
  }
}

function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}
