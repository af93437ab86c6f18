import {
  type CallResult,
  recordCallResult,
} from "../../../core/gateway/server_health.ts";
import type { BackendServer } from "../../../core/gateway/servers.ts";
import type { GatewayContext } from "../context.ts";
import type { AttemptResult } from "./server_attempt.ts";

/** What an attempt showed of its server. */
type AttemptObservation = {
  readonly kind: EndKind;
  /** Whether a rejection for want of room may be due to the size of the request. */
  readonly mayBeTooLarge: boolean;
};

type EndKind = AttemptResult["end"]["kind"];

/** Records how an attempt ended in the health of its server; true if that suspends the server. */
export function recordAttemptHealth(
  context: GatewayContext,
  server: BackendServer,
  { kind, mayBeTooLarge }: AttemptObservation,
): boolean {
  // The pause already keeps requests away; a suspension would outlast it.
  if (kind === "not-run" && context.availability.isPaused(server)) return false;
  const { availability } = context;
  // A brittle server keeps its own rule.
  const isBrittle = availability.isBrittle(server);
  if (kind === "not-run" && mayBeTooLarge && !isBrittle) return false;
  if (kind === "not-run") availability.recordRejection(server);
  if (kind === "not-run" && isBrittle) return false;
  const result = toHealthResult(kind);
  if (result === undefined) return false;
  const now = context.now();
  return recordCallResult(context.health, server.id, { result, now });
}

/** Result to record in the server's health; undefined if the attempt says nothing about it. */
function toHealthResult(kind: EndKind): CallResult | undefined {
  if (kind === "unreachable") return "unreachable";
  if (kind === "not-run") return "full";
  const isNeutral = ["misdirected", "left", "whole"].includes(kind);
  return isNeutral ? undefined : "bad";
}
