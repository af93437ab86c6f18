import { type Either, Left } from "purify-ts";
import { type Clock, type Millis, millis, sleep } from "../core/clock.ts";
import type {
  AdapterOrder,
  EngineFailure,
  EngineLink,
  StreamControl,
  StreamSink,
} from "../ports/engine.ts";
import type { EngineSimulator } from "../standins/engine_simulator.ts";
import type { PauseGate } from "./pause_gate.ts";

/** One-way delay between a node and an engine, in ms. */
const oneWayDelay = 0.5;
/** Time after which a stream with lost bytes fails, and an adapter call gets no answer, in ms. */
const inactivityTimeout = 3_000;
/** Interval between liveness checks of a stream, in ms. */
const livenessInterval = 500;
/** Time after which a report from an unreachable engine fails, in ms. */
const reportTimeout = 500;

/** Node and network state that a link depends on. */
export type EngineLinkOptions = {
  readonly clock: Clock;
  readonly gate: PauseGate;
  /** Whether the network between the node and the engine is cut. */
  readonly isCut: () => boolean;
  readonly isKilled: () => boolean;
  /**
   * Whether a node may be paused between checking the validity of an order and
   * sending it. Engines that ignore fencing numbers rely on this not happening.
   */
  readonly mayHoldOrders: boolean;
  /** Called when a request reaches an engine that is not leaving. */
  readonly onNewWork: () => void;
};

const noExpiry: Millis = millis(Number.POSITIVE_INFINITY);
const orderExpired: EngineFailure = {
  kind: "unreachable",
  detail: "The order is no longer valid",
};

/** Link from one node to an engine simulator, with the delays and faults of the network. */
export class SimulatedEngineLink implements EngineLink {
  readonly #engine: EngineSimulator;
  readonly #options: EngineLinkOptions;

  constructor(engine: EngineSimulator, options: EngineLinkOptions) {
    this.#engine = engine;
    this.#options = options;
  }

  generate(
    order: Parameters<EngineLink["generate"]>[0],
    sink: StreamSink,
  ): StreamControl {
    const { clock, gate, isCut, isKilled, onNewWork, mayHoldOrders } =
      this.#options;
    const relay = new StreamRelay(sink, this.#options);
    const send = () => {
      if (isKilled() || relay.ended) return;
      if (isCut()) return relay.fail("unreachable", "No route to the engine");
      if (!this.#engine.leaving) onNewWork();
      relay.control = this.#engine.generate(
        { ...order, validUntil: noExpiry },
        relay,
      );
    };
    if (clock.now() >= order.validUntil) {
      clock.schedule(millis(0), () => relay.onFailure(orderExpired));
    } else {
      clock.schedule(millis(oneWayDelay), () =>
        mayHoldOrders ? gate.deliver(send) : send(),
      );
    }
    return relay;
  }

  load(order: AdapterOrder): Promise<Either<EngineFailure, void>> {
    return this.#runOrder(order, (sentOrder) => this.#engine.load(sentOrder));
  }

  unload(order: AdapterOrder): Promise<Either<EngineFailure, void>> {
    return this.#runOrder(order, (sentOrder) => this.#engine.unload(sentOrder));
  }

  async report(): ReturnType<EngineLink["report"]> {
    const { clock, gate, isCut } = this.#options;
    await sleep(clock, millis(oneWayDelay));
    if (isCut()) {
      await sleep(clock, millis(reportTimeout));
      return Left({ kind: "unreachable", detail: "No route to the engine" });
    }
    return gate.deliverValue(await this.#engine.report());
  }

  async #runOrder(
    order: AdapterOrder,
    run: (order: AdapterOrder) => Promise<Either<EngineFailure, void>>,
  ): Promise<Either<EngineFailure, void>> {
    const { clock, gate, isCut, isKilled, mayHoldOrders } = this.#options;
    if (clock.now() >= order.validUntil) return Left(orderExpired);
    await sleep(clock, millis(oneWayDelay));
    if (mayHoldOrders) await gate.deliverValue(undefined);
    if (isKilled()) return new Promise(() => {});
    if (isCut()) {
      return Left({ kind: "unreachable", detail: "No route to the engine" });
    }
    const answer = await run({ ...order, validUntil: noExpiry });
    if (isCut()) {
      await sleep(clock, millis(inactivityTimeout));
      return Left({ kind: "silent", detail: "No answer" });
    }
    return gate.deliverValue(answer);
  }
}

/** Relays one stream to its node and fails it when bytes were lost. */
class StreamRelay implements StreamSink, StreamControl {
  control: StreamControl | undefined;
  ended = false;
  readonly #sink: StreamSink;
  readonly #options: EngineLinkOptions;
  #inactiveSince: number | undefined;

  constructor(sink: StreamSink, options: EngineLinkOptions) {
    this.#sink = sink;
    this.#options = options;
    this.#scheduleLivenessCheck();
  }

  onChunk(bytes: Uint8Array, count: number): void {
    this.#deliver(() => this.#sink.onChunk(bytes, count));
  }

  onEnd(): void {
    this.#deliver(() => {
      this.ended = true;
      this.#sink.onEnd();
    });
  }

  onFailure(failure: EngineFailure): void {
    this.#deliver(() => {
      this.ended = true;
      this.#sink.onFailure(failure);
    });
  }

  fail(kind: EngineFailure["kind"], detail: string): void {
    this.ended = true;
    this.#sink.onFailure({ kind, detail });
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

  /** Delivers an event of the stream. After a cut it delivers no more, since bytes are missing. */
  #deliver(deliver: () => void): void {
    const { gate, isCut, isKilled } = this.#options;
    if (isCut()) this.#inactiveSince ??= this.#options.clock.now();
    if (this.#inactiveSince !== undefined) return;
    gate.deliver(() => {
      if (!this.ended && !isKilled()) deliver();
    });
  }

  #scheduleLivenessCheck(): void {
    const { clock, isCut, isKilled } = this.#options;
    clock.schedule(millis(livenessInterval), () => {
      if (this.ended) return;
      if (isKilled()) return this.cancel();
      if (isCut()) this.#inactiveSince ??= clock.now();
      const since = this.#inactiveSince;
      if (since !== undefined && clock.now() - since >= inactivityTimeout) {
        this.control?.cancel();
        return this.fail("silent", "No byte for 3 s");
      }
      this.#scheduleLivenessCheck();
    });
  }
}
