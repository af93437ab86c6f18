import type { WorkItem } from "../core/engine/work_item.ts";
import type { EngineId } from "../core/ids.ts";
import type { Refusal } from "../core/results/refusal.ts";
import type { GenerateOrder, StreamControl } from "./engine.ts";

/** A request for an engine, with the body to send to it. */
export type Submission = {
  readonly work: WorkItem;
  readonly path: GenerateOrder["path"];
  readonly body: Uint8Array;
};

/** Receives the answer to a submission; exactly one of `onEnd` and `onRefusal` is called. */
export type AnswerSink = {
  onChunk(bytes: Uint8Array, count: number): void;
  onEnd(): void;
  onRefusal(refusal: Refusal): void;
};

/** Submits work to the owner of an engine, on this node or one hop away. */
export type EngineAccess = {
  submit(
    engine: EngineId,
    submission: Submission,
    sink: AnswerSink,
  ): StreamControl;
};
