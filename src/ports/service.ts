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
  /** The server is leaving and states that it did not run the call. */
  readonly notRun?: "leaving";
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
