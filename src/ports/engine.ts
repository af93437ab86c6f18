import type { Either } from "purify-ts";
import type { Millis } from "../core/clock.ts";
import type { StreamFailureKind } from "../core/engine/messages.ts";
import type { Priority } from "../core/engine/work_item.ts";
import type { AdapterKey, FencingNumber, RequestId } from "../core/ids.ts";

/** Why an order to an engine failed. */
export type EngineFailure = {
  /**
   * `refused`: the engine answered that it did not run the order.
   * `stale-fence`: refused because of an old fencing number. `adapter-missing`:
   * the adapter is not loaded. `leaving`: the engine accepts no new work.
   * `unreachable`: nothing was sent. `broken`: the connection ended early.
   * `silent`: no byte arrived within the inactivity timeout. `wrong-adapter`: the
   * answer names another adapter version and was dropped.
   */
  readonly kind: StreamFailureKind;
  readonly detail: string;
};

/** Order to generate an answer. */
export type GenerateOrder = {
  readonly requestId: RequestId;
  readonly adapter: AdapterKey;
  /** API path: chat or plain completion. */
  readonly path: "/v1/chat/completions" | "/v1/completions";
  /** JSON body of the caller. */
  readonly body: Uint8Array;
  readonly priority: Priority;
  readonly fence: FencingNumber;
  /** The order must not be written at or after this time of the node's clock. */
  readonly validUntil: Millis;
  /** Number of stream events that the caller has already received. */
  readonly resumeAt: number;
};

/** Receives one answer stream; exactly one of `onEnd` and `onFailure` is called. */
export type StreamSink = {
  /** Receives `count` complete server-sent events, without comments and the closing `[DONE]`. */
  onChunk(bytes: Uint8Array, count: number): void;
  /** The engine completed the answer with `data: [DONE]`. */
  onEnd(): void;
  onFailure(failure: EngineFailure): void;
};

/** Controls one answer stream. */
export type StreamControl = {
  /** Cancels the request at the engine; no sink call follows. */
  cancel(): void;
  /** Stops reading until `resume`, so that a slow reader delays only its own stream. */
  pause(): void;
  resume(): void;
};

/** Control of a stream that has already ended. */
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

/** State that an engine reports; it may be out of date. */
export type EngineReport = {
  /** Identifies the engine process; changes with every restart. */
  readonly boot: string;
  readonly loaded: readonly AdapterKey[];
  readonly running: readonly RequestId[];
  readonly waiting: number;
  readonly leaving: boolean;
  /** Highest fencing number that the engine has received, if it checks them. */
  readonly fence: number;
};

/** Connection of an owner to one model engine. */
export type EngineLink = {
  generate(order: GenerateOrder, sink: StreamSink): StreamControl;
  load(order: AdapterOrder): Promise<Either<EngineFailure, void>>;
  unload(order: AdapterOrder): Promise<Either<EngineFailure, void>>;
  /** Fetches a report over a separate connection, so that an unresponsive engine is detected. */
  report(): Promise<Either<EngineFailure, EngineReport>>;
};
