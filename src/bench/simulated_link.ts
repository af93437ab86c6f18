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

/** What stands between an owner and the model of its engine. */
export type SimulatedLinkOptions = {
  readonly engine: EngineLink;
  /** Clock of the simulation and of the node that owns the engine. */
  readonly clock: Clock;
  readonly node: NodeClock;
  /** Draws the one-way delay of one message, in ms. */
  readonly drawDelay: () => number;
};

/** Delay below which chunks need not be delayed one by one, in ms. */
const SHORT_DELAY = 5;

const neverExpires = millis(Number.POSITIVE_INFINITY);

const notWritten: EngineFailure = {
  kind: "unreachable",
  detail: "The order was no longer valid when it was to be written",
};

/**
 * Link with network delay. Validity is checked when an order is written, as the
 * real link does, so that a written order arrives however late it is.
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
    const relay = this.#delaySink(sink);
    if (!this.#mayWrite(order)) {
      this.#later(() => sink.onFailure(notWritten));
      return { cancel() {}, pause() {}, resume() {} };
    }
    let control: StreamControl | undefined;
    let cancelled = false;
    this.#arrive(() => {
      if (cancelled) return;
      control = engine.generate({ ...order, validUntil: neverExpires }, relay);
    });
    return {
      cancel: () => {
        relay.close();
        this.#arrive(() => {
          cancelled = true;
          control?.cancel();
        });
      },
      pause: () => control?.pause(),
      resume: () => control?.resume(),
    };
  }

  load(order: AdapterOrder): Promise<Either<EngineFailure, void>> {
    if (!this.#mayWrite(order)) return Promise.resolve(Left(notWritten));
    const written = { ...order, validUntil: neverExpires };
    return this.#call(() => this.#options.engine.load(written));
  }

  unload(order: AdapterOrder): Promise<Either<EngineFailure, void>> {
    if (!this.#mayWrite(order)) return Promise.resolve(Left(notWritten));
    const written = { ...order, validUntil: neverExpires };
    return this.#call(() => this.#options.engine.unload(written));
  }

  report(): Promise<Either<EngineFailure, EngineReport>> {
    return this.#call(() => this.#options.engine.report());
  }

  #mayWrite({ validUntil }: { validUntil: Millis }): boolean {
    return this.#options.clock.now() < validUntil;
  }

  /** Runs at the engine after the delay. */
  #arrive(action: () => void): void {
    const { clock, drawDelay } = this.#options;
    clock.schedule(millis(drawDelay()), action);
  }

  /** Runs at the node after the delay, later if the node is paused. */
  #later(action: () => void): void {
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
   * Delays a stream by one drawn time, so that its parts stay in order. Chunks
   * after the first pass at once while the delay is shorter than an engine step.
   */
  #delaySink(sink: StreamSink): StreamSink & { close(): void } {
    const { node, clock, drawDelay } = this.#options;
    const delay = millis(drawDelay());
    let started = false;
    let closed = false;
    const pass = (action: () => void): void => {
      node.run(() => {
        if (!closed) action();
      });
    };
    const passLater = (action: () => void): void => {
      clock.schedule(delay, () => pass(action));
    };
    return {
      close: () => {
        closed = true;
      },
      onChunk: (bytes, count) => {
        const action = () => sink.onChunk(bytes, count);
        if (started && delay < SHORT_DELAY) pass(action);
        else passLater(action);
        started = true;
      },
      onEnd: () => passLater(() => sink.onEnd()),
      onFailure: (failure) => passLater(() => sink.onFailure(failure)),
    };
  }
}
