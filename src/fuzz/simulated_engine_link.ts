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
/** Time after which a stream without bytes is given up, in ms. */
const silenceLimit = 3_000;
/** Time between two looks at the liveness of a stream, in ms. */
const livenessInterval = 500;
/** Longest wait for a report, in ms. */
const reportDeadline = 500;

/** State of the node at one end of a link. */
export type EngineLinkOptions = {
  readonly clock: Clock;
  readonly gate: PauseGate;
  /** The network does not carry anything between the node and the engine. */
  readonly isCut: () => boolean;
  readonly isKilled: () => boolean;
  /**
   * Whether a paused node may hold an order that it has checked but not sent.
   * Engines that ignore fencing numbers rely on this not happening.
   */
  readonly mayHoldOrders: boolean;
  /** A request has reached the engine. */
  readonly onNewWork: () => void;
};

const never: Millis = millis(Number.POSITIVE_INFINITY);
const expired: EngineFailure = {
  kind: "unreachable",
  detail: "The order is no longer valid",
};

/** Link from one node to an engine, with the delays and faults of the network. */
export class SimulatedEngineLink implements EngineLink {
  readonly #engine: EngineSimulator;
  readonly #end: EngineLinkOptions;

  constructor(engine: EngineSimulator, end: EngineLinkOptions) {
    this.#engine = engine;
    this.#end = end;
  }

  generate(
    order: Parameters<EngineLink["generate"]>[0],
    sink: StreamSink,
  ): StreamControl {
    const {
      clock,
      gate,
      isCut,
      isKilled,
      onNewWork: onWork,
      mayHoldOrders: holdsOrders,
    } = this.#end;
    const relay = new StreamRelay(sink, this.#end);
    const send = () => {
      if (isKilled() || relay.ended) return;
      if (isCut()) return relay.fail("unreachable", "No route to the engine");
      if (!this.#engine.leaving) onWork();
      relay.control = this.#engine.generate(
        { ...order, validUntil: never },
        relay,
      );
    };
    if (clock.now() >= order.validUntil) {
      clock.schedule(millis(0), () => relay.onFailure(expired));
    } else {
      clock.schedule(millis(oneWayDelay), () =>
        holdsOrders ? gate.deliver(send) : send(),
      );
    }
    return relay;
  }

  load(order: AdapterOrder): Promise<Either<EngineFailure, void>> {
    return this.#order(order, (valid) => this.#engine.load(valid));
  }

  unload(order: AdapterOrder): Promise<Either<EngineFailure, void>> {
    return this.#order(order, (valid) => this.#engine.unload(valid));
  }

  async report(): ReturnType<EngineLink["report"]> {
    const { clock, gate, isCut } = this.#end;
    await sleep(clock, millis(oneWayDelay));
    if (isCut()) {
      await sleep(clock, millis(reportDeadline));
      return Left({ kind: "unreachable", detail: "No route to the engine" });
    }
    return gate.deliverValue(await this.#engine.report());
  }

  async #order(
    order: AdapterOrder,
    run: (order: AdapterOrder) => Promise<Either<EngineFailure, void>>,
  ): Promise<Either<EngineFailure, void>> {
    const {
      clock,
      gate,
      isCut,
      isKilled,
      mayHoldOrders: holdsOrders,
    } = this.#end;
    if (clock.now() >= order.validUntil) return Left(expired);
    await sleep(clock, millis(oneWayDelay));
    if (holdsOrders) await gate.deliverValue(undefined);
    if (isKilled()) return new Promise(() => {});
    if (isCut()) {
      return Left({ kind: "unreachable", detail: "No route to the engine" });
    }
    const answer = await run({ ...order, validUntil: never });
    if (isCut()) {
      await sleep(clock, millis(silenceLimit));
      return Left({ kind: "silent", detail: "No answer" });
    }
    return gate.deliverValue(answer);
  }
}

/** Relays one stream to its node, and notices a connection that has gone silent. */
class StreamRelay implements StreamSink, StreamControl {
  control: StreamControl | undefined;
  ended = false;
  readonly #sink: StreamSink;
  readonly #end: EngineLinkOptions;
  #silentSince: number | undefined;

  constructor(sink: StreamSink, end: EngineLinkOptions) {
    this.#sink = sink;
    this.#end = end;
    this.#watch();
  }

  onChunk(bytes: Uint8Array, count: number): void {
    this.#pass(() => this.#sink.onChunk(bytes, count));
  }

  onEnd(): void {
    this.#pass(() => {
      this.ended = true;
      this.#sink.onEnd();
    });
  }

  onFailure(failure: EngineFailure): void {
    this.#pass(() => {
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

  /** Delivers what arrives; a gap in the stream ends it, since bytes are missing. */
  #pass(deliver: () => void): void {
    const { gate, isCut, isKilled } = this.#end;
    if (isCut()) this.#silentSince ??= this.#end.clock.now();
    if (this.#silentSince !== undefined) return;
    gate.deliver(() => {
      if (!this.ended && !isKilled()) deliver();
    });
  }

  #watch(): void {
    const { clock, isCut, isKilled } = this.#end;
    clock.schedule(millis(livenessInterval), () => {
      if (this.ended) return;
      if (isKilled()) return this.cancel();
      if (isCut()) this.#silentSince ??= clock.now();
      const since = this.#silentSince;
      if (since !== undefined && clock.now() - since >= silenceLimit) {
        this.control?.cancel();
        return this.fail("silent", "No byte for 3 s");
      }
      this.#watch();
    });
  }
}
