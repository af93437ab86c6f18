import type { Either } from "purify-ts";
import type { Millis } from "../core/clock.ts";
import type { RequestId } from "../core/ids.ts";

/** One call to a server of a booking service. */
export type ServiceCall = {
  readonly requestId: RequestId;
  readonly method: string;
  /** Path and query below the service. */
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: Uint8Array;
  /** Time to wait for the whole answer, in ms. */
  readonly timeout: Millis;
  /** The call may run more than once; false unless set. */
  readonly repeatable?: boolean;
};

/** Whole answer of a booking service. */
export type ServiceAnswer = {
  readonly status: number;
  readonly contentType: string | undefined;
  readonly body: Uint8Array;
  /** The server is leaving and says that it did not run the call. */
  readonly notRun?: "leaving";
};

/** Why there is no answer. */
export type ServiceFailure = {
  /** `not-sent`: no byte of the call left. `broken`, `timeout`: the call may have run. `crossed`: the answer carried another request id. */
  readonly kind: "not-sent" | "broken" | "timeout" | "crossed";
  readonly detail: string;
};

/** One server of a booking service. */
export type ServiceLink = {
  call(call: ServiceCall): Promise<Either<ServiceFailure, ServiceAnswer>>;
};
