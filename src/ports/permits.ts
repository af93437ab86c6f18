import type { Millis } from "../core/clock.ts";
import type { ObservedLimit } from "../core/gateway/server_limits.ts";
import type { Incarnation } from "../core/gateway/servers.ts";
import type { MachineName } from "../core/ids.ts";

/** Request of a node for the right to send one request to a server that limits them. */
export type PermitRequest = {
  readonly from: MachineName;
  readonly server: Incarnation;
  /** Requests per second that the server named, and the time since then. */
  readonly rate: number;
  readonly age: Millis;
  /** Maximum wait until the request may be sent, in ms. */
  readonly patience: Millis;
  /** Nodes that would give out the permits and do not do so yet. */
  readonly except: readonly MachineName[];
};

/** Answer of the node that gives out the requests to a server. */
export type PermitAnswer =
  | { readonly kind: "granted"; readonly inMs: Millis }
  | { readonly kind: "denied"; readonly retryIn: Millis }
  /** The server has ended its limit, as learned `age` ms ago. */
  | { readonly kind: "ended"; readonly age: Millis };

/** News of the limit of a server. */
export type LimitMessage = {
  readonly type: "limit";
  readonly from: MachineName;
  readonly server: Incarnation;
  /** Requests per second; undefined once the server has ended its limit. */
  readonly rate: ObservedLimit["rate"];
  /** Time since a node learned it from the server, in ms. */
  readonly age: Millis;
};
