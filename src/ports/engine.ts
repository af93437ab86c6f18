import type { Either } from "purify-ts";
import type { Millis } from "../core/clock.ts";
import type { StreamFailureKind } from "../core/engine/messages.ts";
import type { Priority } from "../core/engine/work_item.ts";
import type { AdapterKey, FencingNumber, RequestId } from "../core/ids.ts";

/** Why an engine did not do what it was asked. */
export type EngineFailure = {
  /**
   * `refused`: answered that it did not run the order. `stale-fence`: refused
   * for an old fencing number. `adapter-missing`: does not hold the adapter.
   * `leaving`: takes no new work. `unreachable`: nothing was sent. `broken`:
   * the connection ended early. `silent`: no byte within the silence limit.
   * `wrong-adapter`: the answer names another adapter version; it was dropped.
   */
  readonly kind: StreamFailureKind;
  readonly detail: string;
};

/** Order to generate an answer. */
export type GenerateOrder = {
  readonly requestId: RequestId;
  readonly adapter: AdapterKey;
  /** Path of the call: chat or plain completion. */
  readonly path: "/v1/chat/completions" | "/v1/completions";
  /** JSON body of the caller. */
  readonly body: Uint8Array;
  readonly priority: Priority;
  readonly fence: FencingNumber;
  /** The order must not be written at or after this time of the node's clock. */
  readonly validUntil: Millis;
  /** Number of stream events that the caller already has. */
  readonly resumeAt: number;
};

/** Receives one answer stream; exactly one of `onEnd` and `onFailure` is called. */
export type StreamSink = {
  /** Whole server-sent events, `count` of them; neither comments nor the closing `[DONE]`. */
  onChunk(bytes: Uint8Array, count: number): void;
  /** The engine closed the answer with `data: [DONE]`. */
  onEnd(): void;
  onFailure(failure: EngineFailure): void;
};

/** Steers one answer stream. */
export type StreamControl = {
  /** Ends the stream at the engine; no sink call follows. */
  cancel(): void;
  /** Stops reading until `resume`, so that a slow reader holds back only its own stream. */
  pause(): void;
  resume(): void;
};

/** Control of a stream that has ended already. */
export const endedStream: StreamControl = {
  cancel() {},
  pause() {},
  resume() {},
};

/** Order to load or unload an adapter version. */
export type AdapterOrder = {
  readonly adapter: AdapterKey;
  readonly fence: FencingNumber;
  /** The order must not be written at or after this time of the node's clock. */
  readonly validUntil: Millis;
};

/** What an engine says about itself; may lag behind. */
export type EngineReport = {
  /** Changes with every restart of the engine. */
  readonly boot: string;
  readonly loaded: readonly AdapterKey[];
  readonly running: readonly RequestId[];
  readonly waiting: number;
  readonly leaving: boolean;
  /** Highest fencing number that the engine has seen, if it checks them. */
  readonly fence: number;
};

/** One model engine, seen from its owner. */
export type EngineLink = {
  generate(order: GenerateOrder, sink: StreamSink): StreamControl;
  load(order: AdapterOrder): Promise<Either<EngineFailure, void>>;
  unload(order: AdapterOrder): Promise<Either<EngineFailure, void>>;
  /** Asks on a connection of its own, so that a silent one is noticed. */
  report(): Promise<Either<EngineFailure, EngineReport>>;
};
