import { millis } from "../clock.ts";
import type { AdapterKey, RequestId } from "../ids.ts";
import { refuse } from "../results/refusal.ts";
import {
  type DecisionContext,
  recordEvent,
  refuseAllQueued,
  refuseRequest,
  removeRunning,
} from "./context.ts";
import { markEngineLeaving } from "./leaving.ts";
import type { EngineStatus } from "./messages.ts";
import type { RunningStream } from "./state.ts";

/** Time that an engine has to answer a request for a report, in ms. */
export const REPORT_DEADLINE = 500;

/** Time between reports while requests are unconfirmed, in ms. */
const REPORT_PERIOD = 1_000;

/** Time between reports while the engine does not answer, in ms; jitter of the same size is added. */
const DOWN_REPORT_PERIOD = 500;

/** Consecutive failed reports after which the engine counts as down. */
const MAX_REPORT_FAILURES = 3;

/** Age up to which a report of an engine may be out of date, in ms. */
export const REPORT_LAG = 1_000;

/** Asks for a report; a decisive one marks the engine as down when it fails. */
export function requestReport(
  context: DecisionContext,
  { decisive }: { decisive: boolean },
): void {
  const { report } = context.state;
  report.decisive ||= decisive;
  if (report.requestedAt !== undefined) return;
  report.requestedAt = context.now;
  report.nextAt = undefined;
  context.commands.push({ type: "request-report" });
}

/** Takes over what the engine says about itself. */
export function applyReport(
  context: DecisionContext,
  status: EngineStatus,
): void {
  const { state, now } = context;
  const { report } = state;
  const requestedAt = report.requestedAt ?? now;
  report.requestedAt = undefined;
  report.decisive = false;
  report.failures = 0;
  const restarted = state.boot !== undefined && state.boot !== status.boot;
  const listed = new Set(status.running);
  if (restarted) {
    // What a report lists was dispatched after the restart, which may be noticed late.
    dropUnconfirmed(context, listed);
    abortStreams(context, "The engine restarted", listed);
  }
  refuseBrokenStreams(context);
  const wasDown = state.reachability === "down";
  state.boot = status.boot;
  if (state.ownership !== undefined) state.reachability = "up";
  if (wasDown || restarted) recordEvent(context, "engineRecovered");
  reconcileRequests(context, status, requestedAt);
  reconcileSlots(context, status);
  if (
    state.fenceConfirmation.kind === "accepted" &&
    requestedAt >= state.fenceConfirmation.at + REPORT_LAG
  ) {
    state.fenceConfirmation = { kind: "confirmed" };
  }
  if (status.leaving) markEngineLeaving(context);
}

/** Drops requests that the engine no longer runs and adds those of earlier owners. */
function reconcileRequests(
  { state, now }: DecisionContext,
  status: EngineStatus,
  requestedAt: number,
): void {
  const listed = new Set(status.running);
  for (const [requestId, { since }] of state.unconfirmed) {
    if (listed.has(requestId) || requestedAt < since + REPORT_LAG) continue;
    state.unconfirmed.delete(requestId);
  }
  for (const requestId of status.running) {
    if (state.running.has(requestId) || state.unconfirmed.has(requestId)) {
      continue;
    }
    if (state.fenceConfirmation.kind === "confirmed") continue;
    state.unconfirmed.set(requestId, { adapter: undefined, since: now });
  }
  state.inheritedRunning = 0;
  for (const { adapter } of state.unconfirmed.values()) {
    if (adapter === undefined) state.inheritedRunning++;
  }
}

/** Brings the slots in line with what the engine holds. */
function reconcileSlots(
  { state, now }: DecisionContext,
  status: EngineStatus,
): void {
  const loaded = new Set(status.loaded);
  for (const slot of state.slots.values()) {
    const settled = now - slot.since >= REPORT_LAG;
    if (slot.phase === "loaded" && settled && !loaded.has(slot.adapter)) {
      state.slots.delete(slot.adapter);
    }
  }
  for (const adapter of loaded) {
    if (state.slots.has(adapter)) continue;
    state.slots.set(adapter, {
      adapter,
      phase: "loaded",
      fence: undefined,
      inherited: true,
      since: now,
      evictableAt: now,
      uses: { count: 0, at: now },
      ...countRunning(state.running.values(), adapter),
    });
  }
}

function countRunning(streams: Iterable<RunningStream>, adapter: AdapterKey) {
  const counts = { running: 0, runningLong: 0 };
  for (const { work, long } of streams) {
    if (work.adapter !== adapter) continue;
    counts.running++;
    if (long) counts.runningLong++;
  }
  return counts;
}

/** Handles a report that failed or did not come within its deadline. */
export function handleFailedReport(
  context: DecisionContext,
  detail: string,
): void {
  const { state } = context;
  const { report } = state;
  if (report.requestedAt === undefined) return;
  report.failures++;
  const decisive =
    report.decisive ||
    report.failures >= MAX_REPORT_FAILURES ||
    state.reachability !== "up";
  report.requestedAt = undefined;
  report.decisive = false;
  if (!decisive) return;
  if (hasBrokenStream(context)) abortStreams(context, detail);
  if (state.reachability !== "down") {
    state.reachability = "down";
    refuseAllQueued(
      context,
      refuse("engineRefused", `Engine ${state.identity.engine} is down`),
    );
  }
}

function hasBrokenStream({ state }: DecisionContext): boolean {
  for (const { broken } of state.running.values()) if (broken) return true;
  return false;
}

/** Ends the broken streams of an engine that has not crashed. */
function refuseBrokenStreams(context: DecisionContext): void {
  const { state, now } = context;
  for (const [requestId, { broken, work }] of [...state.running]) {
    if (!broken) continue;
    removeRunning(state, requestId);
    state.unconfirmed.set(requestId, { adapter: work.adapter, since: now });
    refuseRequest(
      context,
      requestId,
      refuse("engineLost", "The stream broke while the engine went on"),
    );
  }
}

/** Ends all streams of an engine that crashed or does not answer; each of them may be the cause. */
function abortStreams(
  context: DecisionContext,
  detail: string,
  excluded: ReadonlySet<RequestId> = new Set(),
): void {
  const { state, now } = context;
  recordEvent(context, "engineCrashed", { detail });
  const lost = [...state.running].filter(
    ([requestId]) => !excluded.has(requestId),
  );
  const digests = lost.map(([, { work }]) => work.digest);
  // Named before the requests are handed back, so that routing knows of it.
  if (digests.length > 0) {
    context.commands.push({ type: "suspect", digests, boot: state.boot ?? "" });
  }
  for (const [requestId, { broken, work }] of lost) {
    removeRunning(state, requestId);
    state.unconfirmed.set(requestId, { adapter: work.adapter, since: now });
    if (!broken) context.commands.push({ type: "cancel-stream", requestId });
    const refusal = refuse("engineLost", detail);
    refuseRequest(context, requestId, { ...refusal, suspect: true });
  }
  for (const slot of [...state.slots.values()]) {
    if (slot.phase === "loaded") state.slots.delete(slot.adapter);
  }
}

/** A restarted engine runs nothing of what ran before; a lagging report may leave out what is new. */
function dropUnconfirmed(
  { state, now }: DecisionContext,
  listed: ReadonlySet<RequestId>,
): void {
  for (const [requestId, { since }] of state.unconfirmed) {
    if (listed.has(requestId) || now - since < REPORT_LAG) continue;
    state.unconfirmed.delete(requestId);
  }
}

/** Asks for reports that are due and gives up those that are late. */
export function pollReports(context: DecisionContext): void {
  const { state, now } = context;
  const { report } = state;
  if (
    report.requestedAt !== undefined &&
    now >= report.requestedAt + REPORT_DEADLINE
  ) {
    handleFailedReport(context, "The engine did not send a report in time");
  }
  if (state.ownership === undefined || report.requestedAt !== undefined) return;
  if (state.reachability === "unknown") {
    requestReport(context, { decisive: true });
    return;
  }
  const period = findPeriod(context);
  if (period === undefined) {
    report.nextAt = undefined;
    return;
  }
  report.nextAt ??= millis(now + period);
  if (now >= report.nextAt) requestReport(context, { decisive: false });
}

/** Time until the next report is due, or undefined when none is needed. */
function findPeriod({ state, random }: DecisionContext): number | undefined {
  if (state.reachability === "down") return DOWN_REPORT_PERIOD * (1 + random());
  const awaited =
    state.unconfirmed.size > 0 || state.fenceConfirmation.kind === "accepted";
  return awaited ? REPORT_PERIOD : undefined;
}
