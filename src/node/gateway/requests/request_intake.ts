import type { Either } from "purify-ts";
import { type Millis, millis } from "../../../core/clock.ts";
import {
  chooseTarget,
  findRoute,
  type GatewayConfiguration,
  type GatewayRoute,
} from "../../../core/gateway/configuration.ts";
import {
  authenticate,
  type Organisation,
} from "../../../core/gateway/organisations.ts";
import {
  plainWork,
  type RequestWork,
} from "../../../core/gateway/request_work.ts";
import {
  findLongestRun,
  type RunKind,
} from "../../../core/gateway/run_times.ts";
import { formatModelAdapterKey, type ServiceName } from "../../../core/ids.ts";
import { type Refusal, refuse } from "../../../core/results/refusal.ts";
import type { ProxiedRequest, UnreadRequest } from "../../../ports/gateway.ts";
import type { GatewayContext } from "../context.ts";
import { refuseWhileStopping } from "./request_refusals.ts";
import { RequestTimeLimits } from "./request_time_limits.ts";

/** Delay before a caller should send a request again to a node without a configuration, in ms. */
const configurationDelay = millis(300);

/** Route and service of a request, and the times that bound it. */
export type RequestPlan = {
  readonly route: GatewayRoute;
  readonly service: ServiceName;
  readonly kind: RunKind;
  readonly limits: RequestTimeLimits;
  /** Organisation of the caller; undefined without organisations, or on a public route without a known key. */
  readonly organisation: Organisation | undefined;
  /** Priority of the request: that of its organisation, or of its route; 0 is the most urgent. */
  readonly priority: number;
  readonly work: RequestWork;
};

/** Finds the route and the service of a request; a refusal if it cannot be served. */
export function planRequest(
  context: GatewayContext,
  request: ProxiedRequest,
): RequestPlan | Refusal {
  const { configuration } = context;
  const { journal } = context.dependencies;
  if (configuration === undefined) {
    const detail = "The node has not read its configuration yet";
    return refuse("notReady", detail, { retryAfter: configurationDelay });
  }
  // A request is passed on once.
  if (request.relayed !== undefined && context.reach.isLost)
    return refuse("noServer", "The node reaches no server", {
      retryAfter: configurationDelay,
    });
  const { requestId } = request;
  const { revision } = configuration;
  const route = findRoute(configuration, request);
  if (route === undefined) {
    const detail = `No route matches ${request.host}${request.path}`;
    const code = "unknownRoute";
    journal.record("requestRefused", { requestId, revision, code, detail });
    return refuse(code, detail);
  }
  return identifyCaller(configuration, route, request).caseOf({
    Left: (refusal) => recordRejection(context, request, route, refusal),
    Right: (organisation) =>
      planOnRoute(context, request, { route, organisation }),
  });
}

/**
 * Refuses a request by its head alone, if no organisation has its key; so its body need not
 * be kept. Without a configuration or a route, and if it was passed on, it is judged whole.
 */
export function rejectCaller(
  context: GatewayContext,
  request: UnreadRequest,
): Refusal | undefined {
  const { configuration } = context;
  if (configuration?.organisations === undefined) return undefined;
  if (request.relayed !== undefined) return undefined;
  const route = findRoute(configuration, request);
  if (route === undefined) return undefined;
  return identifyCaller(configuration, route, request).caseOf({
    Left: (refusal) => recordRejection(context, request, route, refusal),
    Right: () => undefined,
  });
}

function identifyCaller(
  { organisations }: GatewayConfiguration,
  route: GatewayRoute,
  { credential }: UnreadRequest,
): Either<Refusal, Organisation | undefined> {
  const isPublic = route.isPublic ?? false;
  return authenticate({ organisations, isPublic, credential });
}

/** Chooses the service of an identified caller's request on its route. */
function planOnRoute(
  context: GatewayContext,
  request: ProxiedRequest,
  { route, organisation }: Pick<RequestPlan, "route" | "organisation">,
): RequestPlan | Refusal {
  const { journal, random } = context.dependencies;
  const service = chooseTarget(route, random());
  if (service === undefined)
    return refuse("noServer", `Route ${route.name} has no service`);
  journal.record("requestRouted", {
    requestId: request.requestId,
    route: route.name,
    service,
    organisation: organisation?.name,
    revision: context.configuration?.revision,
  });
  const limits = RequestTimeLimits.create(request, route);
  const kind = { route: route.name, service };
  const priority = organisation?.priority ?? route.priority;
  const work = describeWork(request);
  const plan = { route, service, kind, limits, organisation, priority, work };
  return refuseIfTooLate(context, request, plan) ?? plan;
}

/** Records that a caller could not be identified. */
function recordRejection(
  { configuration, dependencies }: GatewayContext,
  { requestId }: UnreadRequest,
  route: GatewayRoute,
  refusal: Refusal,
): Refusal {
  const { code, detail } = refusal;
  dependencies.meter.count("gateway_callers_rejected_total", { code });
  dependencies.journal.record("callerRejected", {
    requestId,
    route: route.name,
    revision: configuration?.revision,
    code,
    detail,
  });
  return refusal;
}

/** Records a request that arrives while the node stops, and refuses it if the exit would cut it off. */
function refuseIfTooLate(
  context: GatewayContext,
  { requestId, arrivedAt, earlierRequests }: ProxiedRequest,
  { kind, limits }: RequestPlan,
): Refusal | undefined {
  const { stop } = context;
  if (stop === undefined) return undefined;
  const { journal } = context.dependencies;
  const now = context.now();
  const facts = {
    requestId,
    route: kind.route,
    sinceDrain: Math.round(now - stop.startedAt),
    sinceHead: Math.round(now - arrivedAt),
    earlierRequests,
    timeLeft: Math.round(stop.exitAt - now),
    limit: Math.round(limits.end - now),
    longestRun: describe(findLongestRun(context.runTimes, kind, now)),
  };
  if (now <= context.findLatestStart(kind, limits.end)) {
    journal.record("requestTakenInDrain", facts);
    return undefined;
  }
  const refusal = refuseWhileStopping();
  const { code, detail } = refusal;
  journal.record("requestRefused", { ...facts, code, detail });
  return refusal;
}

/** Describes the work of a request by the demand that its head states. */
export function describeWork({
  demand,
}: Pick<ProxiedRequest, "demand">): RequestWork {
  if (demand === undefined) return plainWork;
  const { model, adapter, promptTokens, answerTokens } = demand;
  return {
    promptTokens,
    answerTokens,
    adapter:
      adapter === undefined ? undefined : formatModelAdapterKey(model, adapter),
  };
}

function describe(duration: Millis | undefined): number | undefined {
  return duration === undefined ? undefined : Math.round(duration);
}
