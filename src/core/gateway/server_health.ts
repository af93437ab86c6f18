import { type Millis, millis } from "../clock.ts";
import type { ServerId } from "../ids.ts";

/** Consecutive failures after which a server is suspended. */
const failuresToSuspend = 2;
/** Minimum and maximum suspension of a server, in ms; it doubles with each suspension. */
const minSuspension = 400;
const maxSuspension = 3_000;
/** Weight of the latest result in the moving average of failures. */
const failureWeight = 0.15;
/** Failure rate above which a server is suspended even if some calls succeed. */
const failureRateLimit = 0.35;

/** Result of a call, as an observation of the server's health; `full` if the server had no room. */
export type CallResult = "good" | "bad" | "full" | "unreachable";

type ServerRecord = {
  consecutiveFailures: number;
  failureRate: number;
  suspensions: number;
  suspendedUntil: Millis;
  inFlight: number;
};

/** Health of servers as observed by this node. */
export type ServerHealth = { readonly records: Map<ServerId, ServerRecord> };

/** Creates the state of a node without observations. */
export function createServerHealth(): ServerHealth {
  return { records: new Map() };
}

function getOrCreateRecord(health: ServerHealth, id: ServerId): ServerRecord {
  let record = health.records.get(id);
  if (record === undefined) {
    record = {
      consecutiveFailures: 0,
      failureRate: 0,
      suspensions: 0,
      suspendedUntil: millis(Number.NEGATIVE_INFINITY),
      inFlight: 0,
    };
    health.records.set(id, record);
  }
  return record;
}

/** Counts a call that starts. */
export function recordCallStart(health: ServerHealth, id: ServerId): void {
  getOrCreateRecord(health, id).inFlight++;
}

/** Counts a call that ended. */
export function recordCallEnd(health: ServerHealth, id: ServerId): void {
  const record = getOrCreateRecord(health, id);
  record.inFlight = Math.max(0, record.inFlight - 1);
}

/** Number of calls in progress at a server. */
export function countCalls({ records }: ServerHealth, id: ServerId): number {
  return records.get(id)?.inFlight ?? 0;
}

/** Records the result of a call; true if it suspends the server. */
export function recordCallResult(
  health: ServerHealth,
  id: ServerId,
  observation: { readonly result: CallResult; readonly now: Millis },
): boolean {
  const record = getOrCreateRecord(health, id);
  const { result, now } = observation;
  const failed = result === "good" ? 0 : 1;
  record.failureRate += failureWeight * (failed - record.failureRate);
  if (failed === 0) {
    record.consecutiveFailures = 0;
    if (record.failureRate < failureRateLimit) record.suspensions = 0;
    return false;
  }
  // A full server is chosen less often, but it has not failed.
  if (result === "full") return false;
  record.consecutiveFailures++;
  const isSuspect =
    result === "unreachable" ||
    record.consecutiveFailures >= failuresToSuspend ||
    record.failureRate > failureRateLimit;
  if (!isSuspect || now < record.suspendedUntil) return false;
  const duration = Math.min(
    maxSuspension,
    minSuspension * 2 ** record.suspensions,
  );
  record.suspensions++;
  record.suspendedUntil = millis(now + duration);
  return true;
}

/** Whether a server is suspended because of failures. */
export function isSuspended(
  health: ServerHealth,
  id: ServerId,
  now: Millis,
): boolean {
  const record = health.records.get(id);
  return record !== undefined && now < record.suspendedUntil;
}

/** Moving average of failed calls, 0 to 1. */
export function readFailureRate(health: ServerHealth, id: ServerId): number {
  return health.records.get(id)?.failureRate ?? 0;
}

/** Calls of this node that are in flight at a server. */
export function countInFlight(health: ServerHealth, id: ServerId): number {
  return health.records.get(id)?.inFlight ?? 0;
}

/** Removes a server that is gone. */
export function forgetServer(health: ServerHealth, id: ServerId): void {
  health.records.delete(id);
}
