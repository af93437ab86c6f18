import { type Clock, type Millis, millis } from "../../core/clock.ts";
import type { AnswerHead, CallerSink } from "../../ports/gateway.ts";

/** Passes an answer on and measures what its caller sees of it. */
export class ResponseForwarder
  implements Pick<CallerSink, "start" | "write" | "end">
{
  readonly #sink: CallerSink;
  readonly #clock: Clock;
  readonly #onStart: () => void;
  #lastByteAt: Millis | undefined;
  /** Time of the first byte of the body. */
  firstByteAt: Millis | undefined;
  /** Longest time between two writes, in ms. */
  longestPause = millis(0);
  /** Part of the answer has gone to the caller. */
  hasStarted = false;

  private constructor(
    sink: CallerSink,
    options: { clock: Clock; onStart: () => void },
  ) {
    this.#sink = sink;
    this.#clock = options.clock;
    this.#onStart = options.onStart;
  }

  static create(
    sink: CallerSink,
    options: { clock: Clock; onStart: () => void },
  ): ResponseForwarder {
    return new ResponseForwarder(sink, options);
  }

  start(head: AnswerHead): void {
    this.hasStarted = true;
    this.#onStart();
    this.#sink.start(head);
  }

  write(bytes: Uint8Array): void {
    const now = this.#clock.now();
    this.firstByteAt ??= now;
    if (this.#lastByteAt !== undefined) {
      const pause = now - this.#lastByteAt;
      this.longestPause = millis(Math.max(this.longestPause, pause));
    }
    this.#lastByteAt = now;
    this.#sink.write(bytes);
  }

  end(): void {
    this.#sink.end();
  }
}
