import { millis } from "../clock.ts";
import type { AdapterKey, RequestId } from "../ids.ts";
import { refuse } from "../results/refusal.ts";
import {
  type EventContext,
  recordEvent,
  refuseAllQueued,
  refuseRequest,
  removeRunning,
} from "./context.ts";
import { markEngineLeaving } from "./leaving.ts";
import type { EngineStatus } from "./messages.ts";
import type { RunningStream } from "./state.ts";

/** Time within which an engine must answer a request for a report, in ms. */
export const REPORT_TIMEOUT = 500;

/** Time between reports while requests or the fencing number are unconfirmed, in ms. */
const REPORT_PERIOD = 1_000;

/** Minimum time between reports while the engine is down, in ms; up to the same time is added as jitter. */
const DOWN_REPORT_PERIOD = 500;

/** Consecutive failed reports after which the engine counts as down. */
const MAX_REPORT_FAILURES = 3;

/** Time by which the content of a report may lag behind the engine, in ms. */
export const REPORT_LAG = 1_000;

/** Requests a report; when a decisive one fails, the engine is marked as down. */
export function requestReport(
  context: EventContext,
  { decisive }: { decisive: boolean },
): void {
  const { report } = context.state;
  report.decisive ||= decisive;
  if (report.requestedAt !== undefined) return;
  report.requestedAt = context.now;
  report.nextAt = undefined;
  context.commands.push({ type: "request-report" });
}

/** Applies the status that the engine reported. */
export function applyReport(context: EventContext, status: EngineStatus): void {
  const { state, now } = context;
  const { report } = state;
  const requestedAt = report.requestedAt ?? now;
  report.requestedAt = undefined;
  report.decisive = false;
  report.failures = 0;
  const restarted = state.boot !== undefined && state.boot !== status.boot;
  const listed = new Set(status.running);
  if (restarted) {
    // Requests in the report were dispatched after the restart, which may be detected late.
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

/** Removes unconfirmed requests that the engine no longer runs and adds those of earlier owners. */
function reconcileRequests(
  { state, now }: EventContext,
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

/** Reconciles the slots with the adapters that the engine holds. */
function reconcileSlots(
  { state, now }: EventContext,
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

/** Handles a report that failed or timed out. */
export function handleFailedReport(
  context: EventContext,
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

function hasBrokenStream({ state }: EventContext): boolean {
  for (const { broken } of state.running.values()) if (broken) return true;
  return false;
}

/** Refuses the requests of broken streams when the engine has not crashed. */
function refuseBrokenStreams(context: EventContext): void {
  const { state, now } = context;
  for (const [requestId, { broken, work }] of [...state.running]) {
    if (!broken) continue;
    removeRunning(state, requestId);
    state.unconfirmed.set(requestId, { adapter: work.adapter, since: now });
    refuseRequest(
      context,
      requestId,
      refuse("engineLost", "The stream broke while the engine kept running"),
    );
  }
}

/** Ends the streams of an engine that crashed or does not answer; each of their requests may be the cause. */
function abortStreams(
  context: EventContext,
  detail: string,
  excluded: ReadonlySet<RequestId> = new Set(),
): void {
  const { state, now } = context;
  recordEvent(context, "engineCrashed", { detail });
  const lost = [...state.running].filter(
    ([requestId]) => !excluded.has(requestId),
  );
  const digests = lost.map(([, { work }]) => work.digest);
  // Sent before the refusals, so that routing knows the suspects when the requests are routed again.
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

/** Drops unconfirmed requests that ended with a restart; recent ones are kept, since the report may not list them yet. */
function dropUnconfirmed(
  { state, now }: EventContext,
  listed: ReadonlySet<RequestId>,
): void {
  for (const [requestId, { since }] of state.unconfirmed) {
    if (listed.has(requestId) || now - since < REPORT_LAG) continue;
    state.unconfirmed.delete(requestId);
  }
}

/** Requests reports that are due and handles those that are late. */
export function pollReports(context: EventContext): void {
  const { state, now } = context;
  const { report } = state;
  if (
    report.requestedAt !== undefined &&
    now >= report.requestedAt + REPORT_TIMEOUT
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

/** Returns the time until the next report is due, or undefined when none is needed. */
function findPeriod({ state, random }: EventContext): number | undefined {
  if (state.reachability === "down") return DOWN_REPORT_PERIOD * (1 + random());
  const isUnconfirmed =
    state.unconfirmed.size > 0 || state.fenceConfirmation.kind === "accepted";
  return isUnconfirmed ? REPORT_PERIOD : undefined;
}
