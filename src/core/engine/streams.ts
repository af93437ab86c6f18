import type { RequestId } from "../ids.ts";
import type { ResultCodeName } from "../results/codes.ts";
import { refuse } from "../results/refusal.ts";
import { acceptAnnouncement } from "./fence.ts";
import { leaveEngine } from "./leaving.ts";
import type { EngineEvent, StreamFailureKind } from "./messages.ts";
import { observeEngine, observeProgress } from "./observing.ts";
import { loseOwnership } from "./ownership.ts";
import { enqueue } from "./queue.ts";
import { askForReport } from "./reporting.ts";
import { toEntry } from "./running.ts";
import type { Running } from "./state.ts";
import {
  average,
  record,
  refuseRequest,
  removeRunning,
  type Turn,
} from "./turn.ts";

/** Times that a request is put back after the engine lacked its adapter. */
const MAX_REQUEUES = 1;

/** Notes the first token of a stream. */
export function noteFirstToken(turn: Turn, requestId: RequestId): void {
  const running = turn.state.running.get(requestId);
  if (running === undefined || running.firstTokenAt !== undefined) return;
  const value = turn.now - running.dispatchedAt;
  observeEngine(turn, { kind: "first-token", value });
  running.firstTokenAt = turn.now;
  running.lastProgressAt = turn.now;
  running.tokens = running.delivered + 1;
  acceptAnnouncement(turn);
}

/** Notes the number of tokens that a stream has produced so far. */
export function noteProgress(
  turn: Turn,
  { requestId, tokens }: Extract<EngineEvent, { type: "progress" }>,
): void {
  const running = turn.state.running.get(requestId);
  if (running === undefined || tokens <= running.tokens) return;
  observeProgress(turn, { running, tokens });
  running.tokens = tokens;
  running.lastProgressAt = turn.now;
}

/** Ends a whole stream. */
export function finishStream(
  turn: Turn,
  { requestId, tokens }: Extract<EngineEvent, { type: "finished" }>,
): void {
  const { state, now } = turn;
  const running = removeRunning(state, requestId);
  if (running === undefined) return;
  if (tokens > running.tokens) observeProgress(turn, { running, tokens });
  const occupied = now - running.dispatchedAt;
  state.estimates.service = average(state.estimates.service, occupied);
  acceptAnnouncement(turn);
  record(turn, "requestFinished", { requestId });
  if (running.work.isolated) {
    const { digest } = running.work;
    turn.commands.push({ type: "clear-suspect", digest });
  }
}

/** Handles a stream that ended without being whole. */
export function failStream(
  turn: Turn,
  event: Extract<EngineEvent, { type: "stream-failed" }>,
): void {
  const { state } = turn;
  const running = state.running.get(event.requestId);
  if (running === undefined) return;
  if (event.kind === "broken" || event.kind === "silent") {
    running.broken = true;
    askForReport(turn, { decisive: true });
    return;
  }
  removeRunning(state, event.requestId);
  if (event.kind === "adapter-missing") {
    replaceMissing(turn, running, event.detail);
    return;
  }
  refuseRequest(
    turn,
    event.requestId,
    refuse(refusalCodes[event.kind], event.detail, {
      outcome: event.kind === "wrong-adapter" ? "may-have-run" : "not-run",
    }),
  );
  if (event.kind === "stale-fence") loseOwnership(turn);
  if (event.kind === "leaving") leaveEngine(turn);
  if (event.kind === "unreachable") askForReport(turn, { decisive: true });
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

/** Puts a request back whose adapter the engine no longer holds. */
function replaceMissing(turn: Turn, running: Running, detail: string): void {
  const { state } = turn;
  const { work, requeued } = running;
  const slot = state.slots.get(work.adapter);
  if (slot?.phase === "loaded") state.slots.delete(work.adapter);
  askForReport(turn, { decisive: false });
  const stopping = state.leaving || state.draining;
  if (requeued >= MAX_REQUEUES || stopping || state.ownership === undefined) {
    refuseRequest(turn, work.requestId, refuse("engineRefused", detail));
    return;
  }
  enqueue(state.queue, { ...toEntry(running), requeued: requeued + 1 });
}
