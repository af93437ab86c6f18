import type { RequestId } from "../ids.ts";
import type { ResultCodeName } from "../results/codes.ts";
import { refuse } from "../results/refusal.ts";
import {
  type EventContext,
  recordEvent,
  refuseRequest,
  removeRunning,
  updateAverage,
} from "./context.ts";
import { markFenceAccepted } from "./fence.ts";
import { observeProgress, recordHealthSample } from "./health_observation.ts";
import { markEngineLeaving } from "./leaving.ts";
import type { EngineEvent, StreamFailureKind } from "./messages.ts";
import { loseOwnership } from "./ownership.ts";
import { enqueue } from "./queue.ts";
import { toQueueEntry } from "./queue_entry.ts";
import { requestReport } from "./reports.ts";
import type { RunningStream } from "./state.ts";

/** Number of times that a request is requeued because the engine lacked its adapter. */
const MAX_REQUEUES = 1;

/** Records the first token of a stream. */
export function recordFirstToken(
  context: EventContext,
  requestId: RequestId,
): void {
  const running = context.state.running.get(requestId);
  if (running === undefined || running.firstTokenAt !== undefined) return;
  const value = context.now - running.dispatchedAt;
  recordHealthSample(context, { kind: "first-token", value });
  running.firstTokenAt = context.now;
  running.lastProgressAt = context.now;
  running.tokens = running.delivered + 1;
  markFenceAccepted(context, running.fence);
}

/** Records the number of tokens that a stream has produced so far. */
export function recordProgress(
  context: EventContext,
  { requestId, tokens }: Extract<EngineEvent, { type: "progress" }>,
): void {
  const running = context.state.running.get(requestId);
  if (running === undefined || tokens <= running.tokens) return;
  observeProgress(context, { running, tokens });
  running.tokens = tokens;
  running.lastProgressAt = context.now;
}

/** Handles a stream that ran to completion. */
export function finishStream(
  context: EventContext,
  { requestId, tokens }: Extract<EngineEvent, { type: "finished" }>,
): void {
  const { state, now } = context;
  const running = removeRunning(state, requestId);
  if (running === undefined) return;
  if (tokens > running.tokens) observeProgress(context, { running, tokens });
  const occupied = now - running.dispatchedAt;
  state.estimates.service = updateAverage(state.estimates.service, occupied);
  markFenceAccepted(context, running.fence);
  recordEvent(context, "requestFinished", { requestId });
  if (running.work.isolated) {
    const { digest } = running.work;
    context.commands.push({ type: "clear-suspect", digest });
  }
}

/** Handles a stream that ended before it was complete. */
export function failStream(
  context: EventContext,
  event: Extract<EngineEvent, { type: "stream-failed" }>,
): void {
  const { state } = context;
  const running = state.running.get(event.requestId);
  if (running === undefined) return;
  if (event.kind === "broken" || event.kind === "silent") {
    running.broken = true;
    requestReport(context, { decisive: true });
    return;
  }
  removeRunning(state, event.requestId);
  if (event.kind === "adapter-missing") {
    requeueMissingAdapter(context, running, event.detail);
    return;
  }
  refuseRequest(
    context,
    event.requestId,
    refuse(refusalCodes[event.kind], event.detail, {
      outcome: event.kind === "wrong-adapter" ? "may-have-run" : "not-run",
    }),
  );
  if (event.kind === "stale-fence") loseOwnership(context);
  if (event.kind === "leaving") markEngineLeaving(context);
  if (event.kind === "unreachable") requestReport(context, { decisive: true });
}

const refusalCodes: Record<
  Exclude<StreamFailureKind, "broken" | "silent" | "adapter-missing">,
  ResultCodeName
> = {
  refused: "engineRefused",
  "stale-fence": "notOwner",
  leaving: "engineRefused",
  unreachable: "engineRefused",
  "wrong-adapter": "wrongAdapter",
};

/** Requeues a request whose adapter the engine no longer holds. */
function requeueMissingAdapter(
  context: EventContext,
  running: RunningStream,
  detail: string,
): void {
  const { state } = context;
  const { work, requeued } = running;
  const slot = state.slots.get(work.adapter);
  if (slot?.phase === "loaded") state.slots.delete(work.adapter);
  requestReport(context, { decisive: false });
  const stopping = state.leaving || state.draining;
  if (requeued >= MAX_REQUEUES || stopping || state.ownership === undefined) {
    refuseRequest(context, work.requestId, refuse("engineRefused", detail));
    return;
  }
  enqueue(state.queue, { ...toQueueEntry(running), requeued: requeued + 1 });
}
