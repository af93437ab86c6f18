import type { Either } from "purify-ts";
import type { Millis } from "../core/clock.ts";
import type { RequestId } from "../core/ids.ts";

/** A call to a server of a booking service. */
export type ServiceCall = {
  readonly requestId: RequestId;
  readonly method: string;
  /** Path and query relative to the service. */
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: Uint8Array;
  /** Timeout for the complete answer, in ms. */
  readonly timeout: Millis;
  /** Whether the call may run more than once; false by default. */
  readonly repeatable?: boolean;
};

/** Complete answer of a booking service. */
export type ServiceAnswer = {
  readonly status: number;
  readonly contentType: string | undefined;
  readonly body: Uint8Array;
  /** Why the server states that it did not run the call: it leaves, or asks for a pause. */
  readonly notRun?: "leaving" | "paused";
  /** The server accepts no new calls from now on; it may have run this one. */
  readonly isLeaving?: boolean;
  /** Retry-After of an answer with status 503: the server wants no calls for this time. */
  readonly retryAfter?: string;
};

/** Why a call brought no answer. */
export type ServiceFailure = {
  /** `not-sent`: no byte was sent. `broken`, `timeout`: the call may have run. `crossed`: the answer carries another request id. */
  readonly kind: "not-sent" | "broken" | "timeout" | "crossed";
  readonly detail: string;
};

/** Connection to one server of a booking service. */
export type ServiceLink = {
  call(call: ServiceCall): Promise<Either<ServiceFailure, ServiceAnswer>>;
};
