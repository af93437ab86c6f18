import { type Clock, millis } from "../core/clock.ts";
import { refuse } from "../core/results/refusal.ts";
import type { AnswerSink } from "../ports/access.ts";
import type { StreamControl } from "../ports/engine.ts";
import type { SimulatedNode } from "./simulated_node.ts";

/** Time after which a forwarded stream without bytes is given up, in ms. */
const silenceLimit = 3_000;
/** Time between two looks at the liveness of a forwarded stream, in ms. */
const livenessInterval = 500;

/** Relays one forwarded stream back to the entry node. */
export class ForwardRelay implements AnswerSink, StreamControl {
  control: StreamControl | undefined;
  ended = false;
  readonly isCut: () => boolean;
  readonly #sink: AnswerSink;
  readonly #clock: Clock;
  readonly #near: SimulatedNode;
  readonly #far: SimulatedNode | undefined;
  #silentSince: number | undefined;
  /** Bytes were lost on the way, so nothing after them may be delivered. */
  #lost = false;

  constructor(
    sink: AnswerSink,
    options: {
      clock: Clock;
      entryNode: SimulatedNode;
      ownerNode: SimulatedNode | undefined;
      isCut: () => boolean;
    },
  ) {
    this.#sink = sink;
    this.#clock = options.clock;
    this.#near = options.entryNode;
    this.#far = options.ownerNode;
    this.isCut = options.isCut;
    this.#watch();
  }

  onChunk(bytes: Uint8Array, count: number): void {
    this.#pass(() => this.#sink.onChunk(bytes, count));
  }

  onEnd(): void {
    this.#pass(() => this.#end(() => this.#sink.onEnd()));
  }

  onRefusal(refusal: Parameters<AnswerSink["onRefusal"]>[0]): void {
    this.#pass(() => this.#end(() => this.#sink.onRefusal(refusal)));
  }

  refuseNotSent(): void {
    const refusal = refuse("peerLost", "The owner does not answer", {
      outcome: "not-run",
    });
    this.#end(() => this.#sink.onRefusal(refusal));
  }

  cancel(): void {
    this.ended = true;
    this.control?.cancel();
  }

  pause(): void {
    this.control?.pause();
  }

  resume(): void {
    this.control?.resume();
  }

  #end(tell: () => void): void {
    if (this.ended) return;
    this.ended = true;
    tell();
  }

  #pass(deliver: () => void): void {
    this.#lost ||= this.isCut();
    if (this.#lost) return;
    this.#near.gate.deliver(() => {
      if (!this.ended && this.#near.running) deliver();
    });
  }

  /** Notices a broken connection at once and a silent one after 3 s. */
  #watch(): void {
    this.#clock.schedule(millis(livenessInterval), () => {
      if (this.ended) return;
      if (!this.#near.running) return this.cancel();
      const isPaused = this.#far?.gate.paused === true;
      if (!this.#lost && !this.isCut() && !isPaused && this.#far?.running) {
        this.#silentSince = undefined;
        return this.#watch();
      }
      this.#silentSince ??= this.#clock.now();
      const silence = this.#clock.now() - this.#silentSince;
      if (this.#far?.running && silence < silenceLimit) return this.#watch();
      this.control?.cancel();
      this.#near.gate.deliver(() =>
        this.#end(() =>
          this.#sink.onRefusal(refuse("peerLost", "The owner was lost")),
        ),
      );
    });
  }
}
