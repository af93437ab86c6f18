import type {
  AttemptTimes,
  ResponseEnd,
  ResponseHead,
  ServerFailure,
  ServerResponseSink,
} from "../../../ports/gateway.ts";

/** Whether the process that answers on a connection is the incarnation that was chosen. */
export type ProveServer = (times: AttemptTimes) => true | Promise<boolean>;

/** Options of {@link ProvenSink}. */
export type ProvenSinkOptions = {
  readonly prove: ProveServer;
  /** Called if another incarnation may have answered. */
  readonly onUnproven: () => void;
  /** Called with the head of a response that is held back, and before it is passed on. */
  readonly onHold: (head: ResponseHead) => void;
  readonly onRelease: () => void;
};

/**
 * Holds a response back until it is known which incarnation of the server sends
 * it. A server that has started again may have other software than its entry
 * names, whose events do not continue the stream.
 */
export class ProvenSink implements ServerResponseSink {
  readonly #sink: ServerResponseSink;
  readonly #options: ProvenSinkOptions;
  /** Calls that wait for the proof. */
  #held: (() => void)[] | undefined;
  #isClosed = false;

  private constructor(sink: ServerResponseSink, options: ProvenSinkOptions) {
    this.#sink = sink;
    this.#options = options;
  }

  static create(
    sink: ServerResponseSink,
    options: ProvenSinkOptions,
  ): ProvenSink {
    return new ProvenSink(sink, options);
  }

  /** Whether the response waits for the proof. */
  get isHolding(): boolean {
    return this.#held !== undefined;
  }

  /** Passes nothing on from now on. */
  close(): void {
    this.#isClosed = true;
  }

  onHead(head: ResponseHead, times: AttemptTimes): void {
    const proof = this.#options.prove(times);
    if (proof === true) return this.#sink.onHead(head, times);
    this.#held = [() => this.#sink.onHead(head, times)];
    this.#options.onHold(head);
    void proof.then((isProven) => this.#release(isProven));
  }

  onBytes(bytes: Uint8Array): void {
    this.#pass(() => this.#sink.onBytes(bytes));
  }

  onEnd(by: ResponseEnd): void {
    this.#pass(() => this.#sink.onEnd(by));
  }

  onFailure(failure: ServerFailure): void {
    if (this.#isClosed) return;
    // What is held back of a broken response need not be proven any more.
    this.#held = undefined;
    this.#isClosed = true;
    this.#sink.onFailure(failure);
  }

  #pass(call: () => void): void {
    if (this.#isClosed) return;
    if (this.#held === undefined) call();
    else this.#held.push(call);
  }

  #release(isProven: boolean): void {
    const held = this.#held ?? [];
    this.#held = undefined;
    if (this.#isClosed) return;
    if (!isProven) {
      this.#isClosed = true;
      return this.#options.onUnproven();
    }
    this.#options.onRelease();
    for (const call of held) if (!this.#isClosed) call();
  }
}
