import { type Clock, millis } from "../core/clock.ts";
import { refuse } from "../core/results/refusal.ts";
import type { AnswerSink } from "../ports/access.ts";
import type { StreamControl } from "../ports/engine.ts";
import type { SimulatedNode } from "./simulated_node.ts";

/** Time without a byte after which a forwarded stream fails, in ms. */
const inactivityTimeout = 3_000;
/** Interval between liveness checks of a forwarded stream, in ms. */
const livenessInterval = 500;

/** Relays one forwarded stream from the owner back to the entry node. */
export class ForwardRelay implements AnswerSink, StreamControl {
  control: StreamControl | undefined;
  ended = false;
  readonly isCut: () => boolean;
  readonly #sink: AnswerSink;
  readonly #clock: Clock;
  readonly #entryNode: SimulatedNode;
  readonly #ownerNode: SimulatedNode | undefined;
  #inactiveSince: number | undefined;
  /** Bytes were lost in the network, so no later ones may be delivered. */
  #truncated = false;

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
    this.#entryNode = options.entryNode;
    this.#ownerNode = options.ownerNode;
    this.isCut = options.isCut;
    this.#scheduleLivenessCheck();
  }

  onChunk(bytes: Uint8Array, count: number): void {
    this.#deliver(() => this.#sink.onChunk(bytes, count));
  }

  onEnd(): void {
    this.#deliver(() => this.#end(() => this.#sink.onEnd()));
  }

  onRefusal(refusal: Parameters<AnswerSink["onRefusal"]>[0]): void {
    this.#deliver(() => this.#end(() => this.#sink.onRefusal(refusal)));
  }

  /** Ends the relay when no connection to the owner could be opened. */
  refuseNotSent(): void {
    const refusal = refuse(
      "peerLost",
      "The owner did not answer the connection attempt",
      { outcome: "not-run" },
    );
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

  #end(notifySink: () => void): void {
    if (this.ended) return;
    this.ended = true;
    notifySink();
  }

  #deliver(deliver: () => void): void {
    this.#truncated ||= this.isCut();
    if (this.#truncated) return;
    this.#entryNode.gate.deliver(() => {
      if (!this.ended && this.#entryNode.running) deliver();
    });
  }

  /** Fails the stream when the owner has ended, or when it is paused or cut off for `inactivityTimeout`. */
  #scheduleLivenessCheck(): void {
    this.#clock.schedule(millis(livenessInterval), () => {
      if (this.ended) return;
      if (!this.#entryNode.running) return this.cancel();
      const isPaused = this.#ownerNode?.gate.paused === true;
      if (
        !this.#truncated &&
        !this.isCut() &&
        !isPaused &&
        this.#ownerNode?.running
      ) {
        this.#inactiveSince = undefined;
        return this.#scheduleLivenessCheck();
      }
      this.#inactiveSince ??= this.#clock.now();
      const inactivity = this.#clock.now() - this.#inactiveSince;
      if (this.#ownerNode?.running && inactivity < inactivityTimeout)
        return this.#scheduleLivenessCheck();
      this.control?.cancel();
      this.#entryNode.gate.deliver(() =>
        this.#end(() =>
          this.#sink.onRefusal(
            refuse("peerLost", "Connection to the owner lost"),
          ),
        ),
      );
    });
  }
}
