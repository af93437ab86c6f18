import type { Millis } from "../clock.ts";
import type { ModelName, Revision, ServiceName } from "../ids.ts";
import type { OrganisationDirectory } from "./organisations.ts";

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

/** Route of requests to services, with their limits. */
export type GatewayRoute = {
  readonly name: string;
  /** Host name in lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly retryRule: RetryRule;
  /** A broken stream may be resumed at another server after its last event. */
  readonly resumable: boolean;
  /** Maximum time that a request is kept waiting, in ms. */
  readonly timeout: Millis;
  /** Target for the time to the response, or to the first event of a stream, in ms; responses within it earn full credit. */
  readonly targetLatency: Millis;
  /** Priority among routes; 0 is the most urgent. */
  readonly priority: number;
  /** Maximum number of servers that one request may run on. */
  readonly maxAttempts: number;
  readonly targets: readonly RouteTarget[];
  /** Callers need no key even if the configuration has organisations. */
  readonly isPublic?: boolean;
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

/** Capacity of the engines of a service. */
export type EngineTraits = {
  /** Maximum number of requests in one batch. */
  readonly slots: number;
  /** Size of the KV cache that running requests and cached prompts share, in tokens. */
  readonly cacheTokens: number;
  readonly models: readonly EngineModel[];
  /** Memory for weights and adapters, in MB. */
  readonly weightsMb: number;
  /** Maximum number of adapters that one engine holds. */
  readonly maxAdapters: number;
  /** Loads of base models that the weight store allows per second over all engines. */
  readonly loadsPerSecond: number;
};

/** A service that requests are routed to. */
export type GatewayService = {
  readonly name: ServiceName;
  /** Maximum number of connections that one server accepts from all nodes together. */
  readonly maxConnections: number;
  /** Undefined for a service without models. */
  readonly engine: EngineTraits | undefined;
};

/** Size and time limits on the requests of callers. */
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
  /** Undefined if callers need no key. */
  readonly organisations?: OrganisationDirectory | undefined;
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

/** Finds the route of a request: the longest prefix of its path among the routes of its host. */
export function findRoute(
  configuration: GatewayConfiguration,
  request: { readonly host: string; readonly path: string },
): GatewayRoute | undefined {
  const group = configuration.routes.get(request.host);
  return group?.find((route) => request.path.startsWith(route.prefix));
}

/** Chooses the service of a request; `share` in [0, 1) selects among the weighted targets. */
export function chooseTarget(
  route: GatewayRoute,
  share: number,
): ServiceName | undefined {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = share * total;
  for (const { service, weight } of route.targets) {
    if (weight <= 0) continue;
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return route.targets.findLast(({ weight }) => weight > 0)?.service;
}
