import { type Millis, millis } from "../../../core/clock.ts";
import type { GatewayRoute } from "../../../core/gateway/configuration.ts";
import type { ProxiedRequest } from "../../../ports/gateway.ts";

/** Maximum wait of a request for its first server, as a multiple of the route's target latency. */
const maxWaitFactor = 1.6;
/** Lower bound of that maximum, in ms, for routes with a short target latency. */
const minWaitLimit = 600;
/** Waiting for a server ends this long before the request's time limit, in ms. */
const reserveBeforeLimit = 300;
/** Maximum wait for another server after a failed attempt, in ms. */
const nextServerWait = 1_500;

/** Arrival of a request and the time that its caller allows. */
type RequestTimes = Pick<ProxiedRequest, "arrivedAt" | "deadline">;

/** Times until which one request may wait and run. */
export class RequestTimeLimits {
  /** End of the time that the route and the caller allow. */
  readonly end: Millis;
  readonly #firstServerWaitEnd: Millis;

  private constructor(request: RequestTimes, route: GatewayRoute) {
    const { deadline = Number.POSITIVE_INFINITY, arrivedAt } = request;
    this.end = millis(arrivedAt + Math.min(route.timeout, deadline));
    const wait = Math.max(minWaitLimit, route.targetLatency * maxWaitFactor);
    this.#firstServerWaitEnd = millis(
      Math.min(arrivedAt + wait, this.end - reserveBeforeLimit),
    );
  }

  static create(request: RequestTimes, route: GatewayRoute): RequestTimeLimits {
    return new RequestTimeLimits(request, route);
  }

  /** Time until which the request waits for a server; longer after a failed attempt. */
  findWaitEnd(now: Millis, isFirst: boolean): Millis {
    if (isFirst) return this.#firstServerWaitEnd;
    const next = Math.min(now + nextServerWait, this.end - reserveBeforeLimit);
    return millis(Math.max(this.#firstServerWaitEnd, next));
  }
}
