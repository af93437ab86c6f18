import { type Millis, millis } from "../clock.ts";
import type { ServerId } from "../ids.ts";

/** Failures in a row after which a server is left out. */
const failuresToSuspend = 2;
/** First and longest time that a server is left out, in ms. */
const firstSuspension = 400;
const longestSuspension = 3_000;
/** Weight of the newest result in the moving failure rate. */
const failureWeight = 0.15;
/** Failure rate above which a server is left out even if some calls succeed. */
const failureRateLimit = 0.35;

/** How a call to a server ended, as far as it tells about the server. */
export type CallResult = "good" | "bad" | "unreachable";

type Record = {
  failuresInRow: number;
  failureRate: number;
  suspensions: number;
  suspendedUntil: Millis;
  inFlight: number;
};

/** What this node has seen of the servers that it sends to. */
export type ServerHealth = { readonly records: Map<ServerId, Record> };

/** Health without observations. */
export function createServerHealth(): ServerHealth {
  return { records: new Map() };
}

function obtainRecord(health: ServerHealth, id: ServerId): Record {
  let record = health.records.get(id);
  if (record === undefined) {
    record = {
      failuresInRow: 0,
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
  obtainRecord(health, id).inFlight++;
}

/** Counts a call that ended. */
export function recordCallEnd(health: ServerHealth, id: ServerId): void {
  const record = obtainRecord(health, id);
  record.inFlight = Math.max(0, record.inFlight - 1);
}

/** Records what a call told about its server; true if the server is left out from now on. */
export function recordCallResult(
  health: ServerHealth,
  id: ServerId,
  observation: { readonly result: CallResult; readonly now: Millis },
): boolean {
  const record = obtainRecord(health, id);
  const { result, now } = observation;
  const failed = result === "good" ? 0 : 1;
  record.failureRate += failureWeight * (failed - record.failureRate);
  if (failed === 0) {
    record.failuresInRow = 0;
    if (record.failureRate < failureRateLimit) record.suspensions = 0;
    return false;
  }
  record.failuresInRow++;
  const isSuspect =
    result === "unreachable" ||
    record.failuresInRow >= failuresToSuspend ||
    record.failureRate > failureRateLimit;
  if (!isSuspect || now < record.suspendedUntil) return false;
  const time = Math.min(
    longestSuspension,
    firstSuspension * 2 ** record.suspensions,
  );
  record.suspensions++;
  record.suspendedUntil = millis(now + time);
  return true;
}

/** Whether a server is left out because of its failures. */
export function isSuspended(
  health: ServerHealth,
  id: ServerId,
  now: Millis,
): boolean {
  const record = health.records.get(id);
  return record !== undefined && now < record.suspendedUntil;
}

/** Moving share of failed calls, 0 to 1. */
export function readFailureRate(health: ServerHealth, id: ServerId): number {
  return health.records.get(id)?.failureRate ?? 0;
}

/** Calls of this node that are in flight at a server. */
export function countInFlight(health: ServerHealth, id: ServerId): number {
  return health.records.get(id)?.inFlight ?? 0;
}

/** Forgets a server that is gone. */
export function forgetServer(health: ServerHealth, id: ServerId): void {
  health.records.delete(id);
}
