import { recordCallResult } from "../../../core/gateway/server_health.ts";
import type { BackendServer } from "../../../core/gateway/servers.ts";
import type { GatewayContext } from "../context.ts";
import type { AttemptResult } from "./server_attempt.ts";

type EndKind = AttemptResult["end"]["kind"];

/** Records how an attempt ended in the health of its server; true if that suspends the server. */
export function recordAttemptHealth(
  context: GatewayContext,
  server: BackendServer,
  kind: EndKind,
): boolean {
  // The pause already keeps requests away; a suspension would outlast it.
  if (kind === "not-run" && context.availability.isPaused(server)) return false;
  // A server without room is asked less often; it has not failed.
  if (kind === "not-run") {
    context.availability.recordRejection(server);
    return false;
  }
  const result = toHealthResult(kind);
  if (result === undefined) return false;
  const now = context.now();
  return recordCallResult(context.health, server.id, { result, now });
}

/** Result to record in the server's health; undefined if the attempt says nothing about it. */
function toHealthResult(kind: EndKind): "bad" | "unreachable" | undefined {
  if (kind === "unreachable") return "unreachable";
  const isNeutral = ["misdirected", "left", "whole"].includes(kind);
  return isNeutral ? undefined : "bad";
}
