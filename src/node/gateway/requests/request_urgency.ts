import type { Millis } from "../../../core/clock.ts";
import type { LoadUrgency } from "../../../core/gateway/load_urgency.ts";
import { findPriorityScale } from "../../../core/gateway/priority_scale.ts";
import {
  describeUrgency,
  findTurn,
  isInTime,
  type Urgency,
} from "../../../core/gateway/urgency.ts";
import type { ProxiedRequest } from "../../../ports/gateway.ts";
import type { GatewayContext } from "../context.ts";
import type { RequestPlan } from "./request_intake.ts";

/** Describes the urgency of a request that waits for a server, or of one whose server has its adapter. */
export function findRequestUrgency(
  { arrivedAt }: Pick<ProxiedRequest, "arrivedAt">,
  { route, priority, work }: RequestPlan,
  { hasServer }: { readonly hasServer: boolean },
): Urgency {
  return describeUrgency({
    priority,
    arrivedAt,
    targetLatency: route.targetLatency,
    work,
    isAdapterMissing: !hasServer && work.adapter !== undefined,
    isStream: route.retryRule === "stream",
  });
}

/** Finds the level at which an engine queues a request; a stream that has begun is never late. */
export function findEngineLevel(
  context: Pick<GatewayContext, "configuration">,
  urgency: Urgency,
  { now, hasBegun }: { readonly now: Millis; readonly hasBegun: boolean },
): number {
  const { configuration } = context;
  if (configuration === undefined) return urgency.priority;
  const isLate = !hasBegun && !isInTime(urgency, now);
  return findPriorityScale(configuration).findLevel(urgency.priority, isLate);
}

/** Describes to the owner of an engine how urgent the load for a waiting request is. */
export function findLoadUrgency(
  context: Pick<GatewayContext, "configuration" | "now">,
  urgency: Urgency,
): LoadUrgency {
  const now = context.now();
  const level = findEngineLevel(context, urgency, { now, hasBegun: false });
  return { level, delay: Math.round(findTurn(urgency, now) - now) };
}
