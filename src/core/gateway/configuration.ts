import type { Millis } from "../clock.ts";
import type { ModelName, Revision, ServiceName } from "../ids.ts";

/**
 * How often a request of a route may run: `repeatable` any number of times,
 * `once` at most once, `stream` at most once unless the route is resumable.
 */
export type RetryRule = "repeatable" | "once" | "stream";

/** One service of a route with its share of the requests. */
export type RouteTarget = {
  readonly service: ServiceName;
  readonly weight: number;
};

/** Which requests go to which service, and within which limits. */
export type GatewayRoute = {
  readonly name: string;
  /** Host name in lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly retryRule: RetryRule;
  /** A broken stream may go on at another server after its last event. */
  readonly resumable: boolean;
  /** Longest time that a request is kept waiting, in ms. */
  readonly timeout: Millis;
  /** Time to the answer, or to the first event, that earns full credit, in ms. */
  readonly targetLatency: Millis;
  /** Rank among routes; 0 is the most urgent. */
  readonly priority: number;
  /** Servers that one request may run on. */
  readonly maxAttempts: number;
  readonly targets: readonly RouteTarget[];
};

/** A base model that the engines of a service can load. */
export type EngineModel = {
  readonly name: ModelName;
  /** Size of the weights, in MB. */
  readonly weightsMb: number;
  /** Size of one adapter, in MB. */
  readonly adapterMb: number;
  /** Time to load the weights from the weight store, in ms. */
  readonly loadTime: Millis;
};

/** What the engines of a service are able to do. */
export type EngineTraits = {
  /** Requests in one batch. */
  readonly slots: number;
  /** Tokens that running requests and cached prompts share. */
  readonly cacheTokens: number;
  readonly models: readonly EngineModel[];
  /** Memory for weights and adapters, in MB. */
  readonly weightsMb: number;
  /** Adapters that one engine holds at most. */
  readonly maxAdapters: number;
};

/** A service that requests are routed to. */
export type GatewayService = {
  readonly name: ServiceName;
  /** Connections that one server accepts from all nodes together. */
  readonly maxConnections: number;
  /** Undefined for a service without models. */
  readonly engine: EngineTraits | undefined;
};

/** What a caller may send, and how long it may take. */
export type CallerLimits = {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeout: Millis;
  readonly idleTimeout: Millis;
};

/** One version of the operator's configuration. */
export type GatewayConfiguration = {
  readonly revision: Revision;
  /** Routes by host, longest prefix first. */
  readonly routes: ReadonlyMap<string, readonly GatewayRoute[]>;
  readonly services: ReadonlyMap<ServiceName, GatewayService>;
  readonly limits: CallerLimits;
};

/** Groups routes by host, longest prefix first. */
export function groupRoutes(
  routes: Iterable<GatewayRoute>,
): Map<string, GatewayRoute[]> {
  const byHost = new Map<string, GatewayRoute[]>();
  for (const route of routes) {
    const group = byHost.get(route.host);
    if (group === undefined) byHost.set(route.host, [route]);
    else group.push(route);
  }
  for (const group of byHost.values()) {
    group.sort((a, b) => b.prefix.length - a.prefix.length);
  }
  return byHost;
}

/** Route of a request: the longest prefix of the host that begins the path. */
export function findRoute(
  configuration: GatewayConfiguration,
  request: { readonly host: string; readonly path: string },
): GatewayRoute | undefined {
  const group = configuration.routes.get(request.host);
  return group?.find((route) => request.path.startsWith(route.prefix));
}

/** Service of a request; `share` in [0, 1) places it among the weighted targets. */
export function chooseTarget(
  route: GatewayRoute,
  share: number,
): ServiceName | undefined {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
  let rest = share * total;
  for (const { service, weight } of route.targets) {
    if (weight <= 0) continue;
    rest -= weight;
    if (rest < 0) return service;
  }
  return route.targets.findLast(({ weight }) => weight > 0)?.service;
}
