import { millis } from "../clock.ts";
import type { AdapterKey, RequestId } from "../ids.ts";
import { refuse } from "../results/refusal.ts";
import { leaveEngine } from "./leaving.ts";
import type { EngineStatus } from "./messages.ts";
import type { Running } from "./state.ts";
import {
  handBackAll,
  record,
  refuseRequest,
  removeRunning,
  type Turn,
} from "./turn.ts";

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
export function askForReport(
  turn: Turn,
  { decisive }: { decisive: boolean },
): void {
  const { report } = turn.state;
  report.decisive ||= decisive;
  if (report.askedAt !== undefined) return;
  report.askedAt = turn.now;
  report.nextAt = undefined;
  turn.commands.push({ type: "request-report" });
}

/** Takes over what the engine says about itself. */
export function acceptReport(turn: Turn, status: EngineStatus): void {
  const { state, now } = turn;
  const { report } = state;
  const askedAt = report.askedAt ?? now;
  report.askedAt = undefined;
  report.decisive = false;
  report.failures = 0;
  const restarted = state.boot !== undefined && state.boot !== status.boot;
  const listed = new Set(status.running);
  if (restarted) {
    // What a report lists was dispatched after the restart, which may be noticed late.
    forgetRequests(turn, listed);
    loseStreams(turn, "The engine restarted", listed);
  }
  endBroken(turn);
  const wasDown = state.contact === "down";
  state.boot = status.boot;
  if (state.ownership !== undefined) state.contact = "up";
  if (wasDown || restarted) record(turn, "engineRecovered");
  confirmRequests(turn, status, askedAt);
  confirmSlots(turn, status);
  if (
    state.announcement.kind === "accepted" &&
    askedAt >= state.announcement.at + REPORT_LAG
  ) {
    state.announcement = { kind: "confirmed" };
  }
  if (status.leaving) leaveEngine(turn);
}

/** Drops requests that the engine no longer runs and adds those of earlier owners. */
function confirmRequests(
  { state, now }: Turn,
  status: EngineStatus,
  askedAt: number,
): void {
  const listed = new Set(status.running);
  for (const [requestId, { since }] of state.unconfirmed) {
    if (listed.has(requestId) || askedAt < since + REPORT_LAG) continue;
    state.unconfirmed.delete(requestId);
  }
  for (const requestId of status.running) {
    if (state.running.has(requestId) || state.unconfirmed.has(requestId)) {
      continue;
    }
    if (state.announcement.kind === "confirmed") continue;
    state.unconfirmed.set(requestId, { adapter: undefined, since: now });
  }
  state.foreignRunning = 0;
  for (const { adapter } of state.unconfirmed.values()) {
    if (adapter === undefined) state.foreignRunning++;
  }
}

/** Brings the slots in line with what the engine holds. */
function confirmSlots({ state, now }: Turn, status: EngineStatus): void {
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

function countRunning(streams: Iterable<Running>, adapter: AdapterKey) {
  const counts = { running: 0, runningLong: 0 };
  for (const { work, long } of streams) {
    if (work.adapter !== adapter) continue;
    counts.running++;
    if (long) counts.runningLong++;
  }
  return counts;
}

/** Handles a report that failed or did not come within its deadline. */
export function failReport(turn: Turn, detail: string): void {
  const { state } = turn;
  const { report } = state;
  if (report.askedAt === undefined) return;
  report.failures++;
  const decisive =
    report.decisive ||
    report.failures >= MAX_REPORT_FAILURES ||
    state.contact !== "up";
  report.askedAt = undefined;
  report.decisive = false;
  if (!decisive) return;
  if (hasBroken(turn)) loseStreams(turn, detail);
  if (state.contact !== "down") {
    state.contact = "down";
    handBackAll(
      turn,
      refuse("engineRefused", `Engine ${state.identity.engine} is down`),
    );
  }
}

function hasBroken({ state }: Turn): boolean {
  for (const { broken } of state.running.values()) if (broken) return true;
  return false;
}

/** Ends the broken streams of an engine that has not crashed. */
function endBroken(turn: Turn): void {
  const { state, now } = turn;
  for (const [requestId, { broken, work }] of [...state.running]) {
    if (!broken) continue;
    removeRunning(state, requestId);
    state.unconfirmed.set(requestId, { adapter: work.adapter, since: now });
    refuseRequest(
      turn,
      requestId,
      refuse("engineLost", "The stream broke while the engine went on"),
    );
  }
}

/** Ends all streams of an engine that crashed or does not answer; each of them may be the cause. */
function loseStreams(
  turn: Turn,
  detail: string,
  spared: ReadonlySet<RequestId> = new Set(),
): void {
  const { state, now } = turn;
  record(turn, "engineCrashed", { detail });
  const lost = [...state.running].filter(
    ([requestId]) => !spared.has(requestId),
  );
  const digests = lost.map(([, { work }]) => work.digest);
  // Named before the requests are handed back, so that routing knows of it.
  if (digests.length > 0) {
    turn.commands.push({ type: "suspect", digests, boot: state.boot ?? "" });
  }
  for (const [requestId, { broken, work }] of lost) {
    removeRunning(state, requestId);
    state.unconfirmed.set(requestId, { adapter: work.adapter, since: now });
    if (!broken) turn.commands.push({ type: "cancel-stream", requestId });
    const refusal = refuse("engineLost", detail);
    refuseRequest(turn, requestId, { ...refusal, suspect: true });
  }
  for (const slot of [...state.slots.values()]) {
    if (slot.phase === "loaded") state.slots.delete(slot.adapter);
  }
}

/** A restarted engine runs nothing of what ran before; a lagging report may leave out what is new. */
function forgetRequests(
  { state, now }: Turn,
  listed: ReadonlySet<RequestId>,
): void {
  for (const [requestId, { since }] of state.unconfirmed) {
    if (listed.has(requestId) || now - since < REPORT_LAG) continue;
    state.unconfirmed.delete(requestId);
  }
}

/** Asks for reports that are due and gives up those that are late. */
export function followReports(turn: Turn): void {
  const { state, now } = turn;
  const { report } = state;
  if (report.askedAt !== undefined && now >= report.askedAt + REPORT_DEADLINE) {
    failReport(turn, "The engine did not send a report in time");
  }
  if (state.ownership === undefined || report.askedAt !== undefined) return;
  if (state.contact === "unknown") {
    askForReport(turn, { decisive: true });
    return;
  }
  const period = findPeriod(turn);
  if (period === undefined) {
    report.nextAt = undefined;
    return;
  }
  report.nextAt ??= millis(now + period);
  if (now >= report.nextAt) askForReport(turn, { decisive: false });
}

/** Time until the next report is due, or undefined when none is needed. */
function findPeriod({ state, random }: Turn): number | undefined {
  if (state.contact === "down") return DOWN_REPORT_PERIOD * (1 + random());
  const awaited =
    state.unconfirmed.size > 0 || state.announcement.kind === "accepted";
  return awaited ? REPORT_PERIOD : undefined;
}
