import type { ServerResponse } from "node:http";
import { type Cancel, type Clock, millis } from "../../core/clock.ts";
import { resultCodes } from "../../core/results/codes.ts";
import type { Refusal } from "../../core/results/refusal.ts";
import type { AnswerSink } from "../../ports/access.ts";
import type { StreamControl } from "../../ports/engine.ts";
import type { ForwardTarget } from "../../ports/peers.ts";
import {
  decodeForward,
  encodeRefusalEvent,
  type ForwardMessage,
} from "./forward_codec.ts";

/** Time without an event after which a heartbeat comment is sent, in ms. */
const heartbeatMillis = 1_000;
const heartbeatComment = ":\n\n";
const endMarker = "data: [DONE]\n\n";

type OpenStream = {
  readonly response: ServerResponse;
  readonly requestId: string;
  active: boolean;
  control: StreamControl | undefined;
};

/** Answers forwarded submissions with event streams and sends heartbeat comments on idle ones. */
export class ForwardServer {
  readonly #target: ForwardTarget;
  readonly #clock: Clock;
  readonly #open = new Set<OpenStream>();
  #cancelHeartbeat: Cancel | undefined;

  static create(options: {
    target: ForwardTarget;
    clock: Clock;
  }): ForwardServer {
    return new ForwardServer(options);
  }

  private constructor(options: { target: ForwardTarget; clock: Clock }) {
    this.#target = options.target;
    this.#clock = options.clock;
  }

  /** Handles one message whose signature has been verified. */
  handle(body: Buffer, response: ServerResponse): void {
    decodeForward(body, this.#clock.now()).caseOf<void>({
      Left: (refusal) => writeForwardRefusal(response, refusal, undefined),
      Right: (message) => this.#serve(message, response),
    });
  }

  /** Stops the heartbeat. */
  close(): void {
    this.#cancelHeartbeat?.();
  }

  #serve(message: ForwardMessage, response: ServerResponse): void {
    const stream: OpenStream = {
      response,
      requestId: message.submission.work.requestId,
      active: false,
      control: undefined,
    };
    this.#open.add(stream);
    this.#scheduleHeartbeat();
    const control = this.#target.acceptForward(
      message,
      this.#createSink(stream),
    );
    stream.control = control;
    response.on("drain", () => control.resume());
    response.on("close", () => {
      this.#open.delete(stream);
      if (!response.writableFinished) control.cancel();
    });
  }

  #createSink(stream: OpenStream): AnswerSink {
    const { response } = stream;
    return {
      onChunk: (bytes) => {
        startStream(stream);
        stream.active = true;
        if (!response.write(bytes)) stream.control?.pause();
      },
      onEnd: () => {
        startStream(stream);
        response.end(endMarker);
      },
      onRefusal: (refusal) => {
        if (response.headersSent) response.end(encodeRefusalEvent(refusal));
        else writeForwardRefusal(response, refusal, stream.requestId);
      },
    };
  }

  #scheduleHeartbeat(): void {
    if (this.#cancelHeartbeat !== undefined) return;
    this.#cancelHeartbeat = this.#clock.schedule(
      millis(heartbeatMillis),
      () => {
        this.#cancelHeartbeat = undefined;
        for (const stream of this.#open) sendHeartbeat(stream);
        if (this.#open.size > 0) this.#scheduleHeartbeat();
      },
    );
  }
}

function sendHeartbeat(stream: OpenStream): void {
  if (stream.active || stream.response.writableNeedDrain) {
    stream.active = false;
    return;
  }
  startStream(stream);
  stream.response.write(heartbeatComment);
}

function startStream(stream: OpenStream): void {
  if (stream.response.headersSent) return;
  stream.response.writeHead(200, {
    "content-type": "text/event-stream",
    "x-request-id": stream.requestId,
  });
}

/** Refuses a submission; the id is unknown if its message could not be decoded. */
function writeForwardRefusal(
  response: ServerResponse,
  refusal: Refusal,
  requestId: string | undefined,
): void {
  const body = JSON.stringify(refusal);
  response.writeHead(resultCodes[refusal.code].status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
    ...(requestId === undefined ? {} : { "x-request-id": requestId }),
  });
  response.end(body);
}
