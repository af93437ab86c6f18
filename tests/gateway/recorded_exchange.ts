import type { VirtualClock } from "../../src/adapters/time/virtual_clock.ts";
import { type Millis, millis } from "../../src/core/clock.ts";
import type { ServerId } from "../../src/core/ids.ts";
import type { Refusal } from "../../src/core/results/refusal.ts";
import type {
  CallerSink,
  ResponseEnd,
  ServerLinks,
  ServerRequest,
  ServerResponseSink,
} from "../../src/ports/gateway.ts";

/** Records the response that a caller receives. */
export class RecordedAnswer implements CallerSink {
  status: number | undefined;
  text = "";
  refusal: Refusal | undefined;
  outcome: "open" | "whole" | "refused" | "aborted" = "open";
  at: Millis | undefined;
  /** Whether the caller's connection takes more after a write. */
  takesMore = true;
  readonly #clock: VirtualClock;

  constructor(clock: VirtualClock) {
    this.#clock = clock;
  }

  start(head: { status: number }): void {
    this.status = head.status;
  }
  write(bytes: Uint8Array): boolean {
    this.text += new TextDecoder().decode(bytes);
    return this.takesMore;
  }
  end(): void {
    this.#finish("whole");
  }
  refuse(refusal: Refusal): void {
    this.refusal = refusal;
    this.#finish("refused");
  }
  abort(): void {
    this.#finish("aborted");
  }
  #finish(outcome: RecordedAnswer["outcome"]): void {
    if (this.outcome !== "open") throw new Error("The answer ended twice");
    this.outcome = outcome;
    this.at = this.#clock.now();
  }
}

/** One attempt as the server receives it; the test plays the server. */
export class RecordedAttempt {
  cancelled = false;
  paused = false;
  readonly order: ServerRequest;
  readonly #sink: ServerResponseSink;

  constructor(order: ServerRequest, sink: ServerResponseSink) {
    this.order = order;
    this.#sink = sink;
  }

  get server(): ServerId {
    return this.order.server.id;
  }
  /** The answer begins; without a time the connection is older than what is known of the server. */
  start(status = 200, openedAt = millis(Number.NEGATIVE_INFINITY)): void {
    const times = { openedAt, sentAt: openedAt };
    this.#sink.onHead({ status, headers: [] }, times);
  }
  bytes(text: string): void {
    this.#sink.onBytes(new TextEncoder().encode(text));
  }
  end(by: ResponseEnd = "length"): void {
    this.#sink.onEnd(by);
  }
  answer(text: string, status = 200): void {
    this.start(status);
    this.bytes(text);
    this.end();
  }
  fail(kind: Parameters<ServerResponseSink["onFailure"]>[0]["kind"]): void {
    this.#sink.onFailure({ kind, detail: kind });
  }
}

/** Links to servers that send nothing and hand over each attempt. */
export function recordAttempts(
  onAttempt: (attempt: RecordedAttempt) => void,
): ServerLinks {
  return {
    send: (order, sink) => {
      const attempt = new RecordedAttempt(order, sink);
      onAttempt(attempt);
      return {
        cancel: () => {
          attempt.cancelled = true;
        },
        pause: () => {
          attempt.paused = true;
        },
        resume: () => {
          attempt.paused = false;
        },
      };
    },
    disconnect: () => {},
  };
}
