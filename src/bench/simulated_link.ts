import { type Either, Left } from "purify-ts";
import { type Clock, type Millis, millis, sleep } from "../core/clock.ts";
import type {
  AdapterOrder,
  EngineFailure,
  EngineLink,
  EngineReport,
  GenerateOrder,
  StreamControl,
  StreamSink,
} from "../ports/engine.ts";
import type { NodeClock } from "./node_clock.ts";

/** Options of the link between an owner and its simulated engine. */
export type SimulatedLinkOptions = {
  readonly engine: EngineLink;
  /** Clock of the simulation; `node` is the clock of the node that owns the engine. */
  readonly clock: Clock;
  readonly node: NodeClock;
  /** Draws the one-way network delay of a message, in ms. */
  readonly drawDelay: () => number;
};

/** Network delay below which chunks after the first are delivered without delay, in ms. */
const MIN_CHUNK_DELAY = 5;

const neverExpires = millis(Number.POSITIVE_INFINITY);

const orderExpired: EngineFailure = {
  kind: "unreachable",
  detail: "Order expired before it was written to the engine",
};

/**
 * Engine link with network delay. As in the real link, validity is checked when
 * an order is written, so a written order takes effect however late it arrives.
 */
export class SimulatedLink implements EngineLink {
  readonly #options: SimulatedLinkOptions;

  private constructor(options: SimulatedLinkOptions) {
    this.#options = options;
  }

  static create(options: SimulatedLinkOptions): SimulatedLink {
    return new SimulatedLink(options);
  }

  generate(order: GenerateOrder, sink: StreamSink): StreamControl {
    const { engine } = this.#options;
    const delayedSink = this.#createDelayedSink(sink);
    if (!this.#isValid(order)) {
      this.#runAtNode(() => sink.onFailure(orderExpired));
      return { cancel() {}, pause() {}, resume() {} };
    }
    let control: StreamControl | undefined;
    let cancelled = false;
    this.#runAtEngine(() => {
      if (cancelled) return;
      control = engine.generate(
        { ...order, validUntil: neverExpires },
        delayedSink,
      );
    });
    return {
      cancel: () => {
        delayedSink.close();
        this.#runAtEngine(() => {
          cancelled = true;
          control?.cancel();
        });
      },
      pause: () => control?.pause(),
      resume: () => control?.resume(),
    };
  }

  load(order: AdapterOrder): Promise<Either<EngineFailure, void>> {
    if (!this.#isValid(order)) return Promise.resolve(Left(orderExpired));
    const written = { ...order, validUntil: neverExpires };
    return this.#call(() => this.#options.engine.load(written));
  }

  unload(order: AdapterOrder): Promise<Either<EngineFailure, void>> {
    if (!this.#isValid(order)) return Promise.resolve(Left(orderExpired));
    const written = { ...order, validUntil: neverExpires };
    return this.#call(() => this.#options.engine.unload(written));
  }

  report(): Promise<Either<EngineFailure, EngineReport>> {
    return this.#call(() => this.#options.engine.report());
  }

  #isValid({ validUntil }: { validUntil: Millis }): boolean {
    return this.#options.clock.now() < validUntil;
  }

  /** Runs an action at the engine after the network delay. */
  #runAtEngine(action: () => void): void {
    const { clock, drawDelay } = this.#options;
    clock.schedule(millis(drawDelay()), action);
  }

  /** Runs an action at the node after the network delay, or after its pause if the node is paused. */
  #runAtNode(action: () => void): void {
    const { clock, node, drawDelay } = this.#options;
    clock.schedule(millis(drawDelay()), () => node.run(action));
  }

  async #call<Result>(action: () => Promise<Result>): Promise<Result> {
    const { clock, node, drawDelay } = this.#options;
    await sleep(clock, millis(drawDelay()));
    const result = await action();
    await sleep(clock, millis(drawDelay()));
    await new Promise<void>((resolve) => node.run(resolve));
    return result;
  }

  /**
   * Delays all events of a stream by the same time, so that they stay in order.
   * Chunks after the first are not delayed when the delay is shorter than an
   * engine step.
   */
  #createDelayedSink(sink: StreamSink): StreamSink & { close(): void } {
    const { node, clock, drawDelay } = this.#options;
    const delay = millis(drawDelay());
    let started = false;
    let closed = false;
    const deliver = (action: () => void): void => {
      node.run(() => {
        if (!closed) action();
      });
    };
    const deliverLater = (action: () => void): void => {
      clock.schedule(delay, () => deliver(action));
    };
    return {
      close: () => {
        closed = true;
      },
      onChunk: (bytes, count) => {
        const action = () => sink.onChunk(bytes, count);
        if (started && delay < MIN_CHUNK_DELAY) deliver(action);
        else deliverLater(action);
        started = true;
      },
      onEnd: () => deliverLater(() => sink.onEnd()),
      onFailure: (failure) => deliverLater(() => sink.onFailure(failure)),
    };
  }
}
