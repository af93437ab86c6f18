import { recordCallResult } from "../../core/gateway/server_health.ts";
import type { ServerId } from "../../core/ids.ts";
import type { GatewayContext } from "./context.ts";
import type { AttemptResult } from "./server_attempt.ts";

type EndKind = AttemptResult["end"]["kind"];

/** Records how an attempt ended in the health of its server; true if that suspends the server. */
export function recordAttemptHealth(
  context: GatewayContext,
  server: ServerId,
  kind: EndKind,
): boolean {
  const result = toHealthResult(kind);
  if (result === undefined) return false;
  const now = context.now();
  return recordCallResult(context.health, server, { result, now });
}

/** Result to record in the server's health; undefined if the attempt says nothing about it. */
function toHealthResult(kind: EndKind): "bad" | "unreachable" | undefined {
  if (kind === "unreachable") return "unreachable";
  const isNeutral = ["misdirected", "left", "whole"].includes(kind);
  return isNeutral ? undefined : "bad";
}
