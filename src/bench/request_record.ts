import type { Clock } from "../core/clock.ts";
import type { EngineId, RequestId } from "../core/ids.ts";
import { type Refusal, refuse } from "../core/results/refusal.ts";
import type { AnswerSink } from "../ports/access.ts";
import type { StreamControl } from "../ports/engine.ts";
import type { Router } from "./simulated_router.ts";
import type { Arrival } from "./workload.ts";

/** Target engine of an attempt and the receivers of its events. */
type AttemptOptions = {
  readonly engine: EngineId;
  /** One-way delay to the owner, in ms. */
  readonly delay: number;
  readonly router: Router;
  readonly sink: AnswerSink;
};

/** One attempt of a simulated request at one engine. */
export class Attempt implements StreamControl {
  readonly #options: AttemptOptions;
  closed = false;
  control: StreamControl | undefined;
  startedAt = 0;

  constructor(options: AttemptOptions) {
    this.#options = options;
  }

  cancel(): void {
    this.closed = true;
    this.control?.cancel();
  }

  pause(): void {
    this.control?.pause();
  }

  resume(): void {
    this.control?.resume();
  }

  /** Fails the attempt because its owner stopped responding. */
  failPeerLost(): void {
    this.cancel();
    const refusal = refuse(
      "peerLost",
      "The owner was silent for longer than the timeout",
    );
    this.#end(refusal);
    this.#options.sink.onRefusal(refusal);
  }

  createSink(clock: Clock): AnswerSink {
    const { engine, router, sink } = this.#options;
    let started = false;
    return {
      onChunk: (bytes, count) => {
        if (this.closed) return;
        if (!started) {
          router.onFirstToken?.(engine, clock.now() - this.startedAt);
        }
        started = true;
        sink.onChunk(bytes, count);
      },
      onEnd: () => {
        if (this.closed) return;
        this.closed = true;
        this.#end(undefined);
        sink.onEnd();
      },
      onRefusal: (refusal) => {
        if (this.closed) return;
        this.closed = true;
        this.#end(refusal);
        sink.onRefusal(refusal);
      },
    };
  }

  #end(refusal: Refusal | undefined): void {
    const { router, engine } = this.#options;
    router.onEnd?.(engine, refusal);
  }
}

/** Outcome of one simulated request. */
export class RequestRecord {
  readonly arrival: Arrival;
  readonly requestId: RequestId;
  readonly engines: EngineId[] = [];
  /** Whether the adapter was loaded when the first attempt arrived at its owner. */
  warm: boolean | undefined;
  firstTokenAt: number | undefined;
  endedAt: number | undefined;
  refusal: Refusal | undefined;
  tokens = 0;
  #delay = 0;

  private constructor(arrival: Arrival, requestId: RequestId) {
    this.arrival = arrival;
    this.requestId = requestId;
  }

  static create(arrival: Arrival, requestId: RequestId): RequestRecord {
    return new RequestRecord(arrival, requestId);
  }

  /** Time from arrival to the first token at the entry node, in ms. */
  get firstToken(): number | undefined {
    if (this.firstTokenAt === undefined) return undefined;
    return this.firstTokenAt - this.arrival.at;
  }

  /** Whether the caller received the complete answer. */
  get whole(): boolean {
    return this.endedAt !== undefined && this.refusal === undefined;
  }

  startAttempt(options: AttemptOptions): Attempt {
    this.engines.push(options.engine);
    this.#delay = options.delay;
    return new Attempt(options);
  }

  recordAdapterState(warm: boolean): void {
    this.warm ??= warm;
  }

  createSink(clock: Clock): AnswerSink {
    return {
      onChunk: (_bytes, count) => {
        this.firstTokenAt ??= clock.now() + this.#delay;
        this.tokens += count;
      },
      onEnd: () => {
        this.endedAt = clock.now() + this.#delay;
      },
      onRefusal: (refusal) => {
        this.endedAt = clock.now() + this.#delay;
        this.refusal = refusal;
      },
    };
  }
}
