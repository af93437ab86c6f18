import { type Clock, type Millis, millis } from "../../../core/clock.ts";
import type { CallerSink, ResponseHead } from "../../../ports/gateway.ts";

type ResponseForwarderOptions = {
  readonly clock: Clock;
  readonly onStart: () => void;
  /** Called before the first bytes of the body are written. */
  readonly onFirstBytes: () => void;
};

/** Forwards a response to the caller and measures the timing that the caller sees. */
export class ResponseForwarder
  implements Pick<CallerSink, "start" | "write" | "end">
{
  readonly #sink: CallerSink;
  readonly #clock: Clock;
  readonly #onStart: () => void;
  readonly #onFirstBytes: () => void;
  #lastWriteAt: Millis | undefined;
  /** Time of the first byte of the body. */
  firstByteAt: Millis | undefined;
  /** Longest time between two writes, in ms. */
  longestPause = millis(0);
  /** Head of the response, once the caller has received it. */
  startedHead: ResponseHead | undefined;

  private constructor(sink: CallerSink, options: ResponseForwarderOptions) {
    this.#sink = sink;
    this.#clock = options.clock;
    this.#onStart = options.onStart;
    this.#onFirstBytes = options.onFirstBytes;
  }

  static create(
    sink: CallerSink,
    options: ResponseForwarderOptions,
  ): ResponseForwarder {
    return new ResponseForwarder(sink, options);
  }

  /** Whether the caller has received the head of the response. */
  get hasStarted(): boolean {
    return this.startedHead !== undefined;
  }

  start(head: ResponseHead): void {
    this.startedHead = head;
    this.#onStart();
    this.#sink.start(head);
  }

  write(bytes: Uint8Array): boolean {
    const now = this.#clock.now();
    if (this.firstByteAt === undefined) this.#onFirstBytes();
    this.firstByteAt ??= now;
    if (this.#lastWriteAt !== undefined) {
      const pause = now - this.#lastWriteAt;
      this.longestPause = millis(Math.max(this.longestPause, pause));
    }
    this.#lastWriteAt = now;
    return this.#sink.write(bytes);
  }

  end(): void {
    this.#sink.end();
  }
}
