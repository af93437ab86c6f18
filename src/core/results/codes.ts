import type { Outcome } from "./outcome.ts";

/** One row of the table of result codes. */
export type ResultCode = {
  /** Stable number shown to callers and operators. */
  readonly number: number;
  /** HTTP status of the answer. */
  readonly status: number;
  /** Outcome that is reported unless the sender knows a more specific one. */
  readonly outcome: Outcome;
  /** Short description of the failure. */
  readonly meaning: string;
  /** Action for the caller or operator. */
  readonly remedy: string;
};

/**
 * Result codes: 1xxx bad input, 2xxx limits and load, 3xxx engines,
 * 4xxx booking calls, 5xxx nodes and configuration, 6xxx operators.
 */
export const resultCodes = {
  malformedBody: {
    number: 1001,
    status: 400,
    outcome: "not-run",
    meaning: "The request body is not valid JSON or lacks a field",
    remedy: "Correct the field named in the message",
  },
  unknownAdapter: {
    number: 1002,
    status: 404,
    outcome: "not-run",
    meaning: "The adapter is not in the configuration in force",
    remedy:
      "Use a name listed by GET /v1/models, or add the adapter to the sheet",
  },
  unknownVersion: {
    number: 1003,
    status: 404,
    outcome: "not-run",
    meaning: "The adapter has no such version in the configuration in force",
    remedy: "Use a version listed by GET /v1/models",
  },
  bodyTooLarge: {
    number: 1004,
    status: 413,
    outcome: "not-run",
    meaning: "The request body exceeds the size limit",
    remedy: "Send a smaller body",
  },
  unknownPath: {
    number: 1005,
    status: 404,
    outcome: "not-run",
    meaning: "No such path or method",
    remedy: "See the calls listed in the README",
  },
  slowBody: {
    number: 1006,
    status: 408,
    outcome: "not-run",
    meaning: "The request body did not arrive in time",
    remedy: "Send the body without pauses",
  },
  badHeader: {
    number: 1007,
    status: 400,
    outcome: "not-run",
    meaning: "A request header has an invalid value",
    remedy: "Correct the header named in the message",
  },
  unauthorized: {
    number: 1008,
    status: 401,
    outcome: "not-run",
    meaning: "The message carries no valid signature",
    remedy:
      "Sign with a key from the key file and check the clock of the sender",
  },
  unknownRoute: {
    number: 1009,
    status: 404,
    outcome: "not-run",
    meaning: "No route of the configuration in force matches host and path",
    remedy: "Correct host and path, or add the route to the configuration",
  },
  deadlineTooClose: {
    number: 2001,
    status: 503,
    outcome: "not-run",
    meaning: "The expected wait exceeds the deadline of the request",
    remedy: "Send again after Retry-After",
  },
  queueFull: {
    number: 2002,
    status: 503,
    outcome: "not-run",
    meaning: "The queue of the engine is full",
    remedy: "Send again after Retry-After",
  },
  fairShareExceeded: {
    number: 2003,
    status: 429,
    outcome: "not-run",
    meaning:
      "The customer or adapter uses more than its fair share under overload",
    remedy: "Send again after Retry-After",
  },
  tooManyInFlight: {
    number: 2004,
    status: 429,
    outcome: "not-run",
    meaning: "Too many requests of this caller are in flight",
    remedy: "Wait for earlier answers",
  },
  deadlinePassed: {
    number: 2005,
    status: 504,
    outcome: "not-run",
    meaning: "The deadline passed while the request was queued",
    remedy: "Send again with a longer deadline",
  },
  retryBudgetSpent: {
    number: 2006,
    status: 503,
    outcome: "may-have-run",
    meaning: "The answer was cut off and the retry budget is used up",
    remedy: "Send again after Retry-After",
  },
  noEngine: {
    number: 3001,
    status: 503,
    outcome: "not-run",
    meaning: "No engine can take the request",
    remedy: "Send again after Retry-After; operators: see the status command",
  },
  loadFailed: {
    number: 3002,
    status: 503,
    outcome: "not-run",
    meaning: "The adapter could not be loaded in time",
    remedy: "Send again after Retry-After",
  },
  engineLost: {
    number: 3003,
    status: 502,
    outcome: "may-have-run",
    meaning:
      "The engine stopped during the request and no other could resume it",
    remedy: "Send again",
  },
  poisonRequest: {
    number: 3004,
    status: 422,
    outcome: "may-have-run",
    meaning: "This content crashed engines and is refused",
    remedy: "Do not send this content again; operators: see the poison rows",
  },
  wrongAdapter: {
    number: 3005,
    status: 502,
    outcome: "ran",
    meaning:
      "An engine answered for another adapter or version; the answer was dropped",
    remedy: "Send again; operators: check the engine",
  },
  notOwner: {
    number: 3006,
    status: 503,
    outcome: "not-run",
    meaning: "This node does not own the engine",
    remedy: "Route through the owner",
  },
  engineRefused: {
    number: 3007,
    status: 503,
    outcome: "not-run",
    meaning: "The engine refused the order",
    remedy: "Send again after Retry-After",
  },
  cancelled: {
    number: 3008,
    status: 499,
    outcome: "may-have-run",
    meaning: "The caller disconnected and left before the answer was whole",
    remedy: "None",
  },
  noServer: {
    number: 3009,
    status: 503,
    outcome: "not-run",
    meaning: "No server of the service can take the request now",
    remedy: "Send again after Retry-After",
  },
  adapterNotInTime: {
    number: 3010,
    status: 503,
    outcome: "not-run",
    meaning: "The adapter cannot be loaded on any engine in time",
    remedy: "Send again after Retry-After",
  },
  partWithheld: {
    number: 3011,
    status: 503,
    outcome: "not-run",
    meaning: "A part of the prompt has crashed engines, or may have",
    remedy:
      "Send again after Retry-After without that part; operators: see the poison rows",
  },
  unknownService: {
    number: 4001,
    status: 404,
    outcome: "not-run",
    meaning: "No such booking service",
    remedy: "Use a service named in the settings",
  },
  keyReused: {
    number: 4002,
    status: 422,
    outcome: "not-run",
    meaning: "The idempotency key was used with another body",
    remedy: "Use a new key for a new call",
  },
  callInProgress: {
    number: 4003,
    status: 409,
    outcome: "may-have-run",
    meaning: "A call with this idempotency key is in progress",
    remedy: "Send again with the same key after Retry-After",
  },
  outcomeUnknown: {
    number: 4004,
    status: 409,
    outcome: "may-have-run",
    meaning:
      "A call with this idempotency key may have run; its outcome is not known",
    remedy: "Check with the booking service before booking again",
  },
  claimUnavailable: {
    number: 4005,
    status: 503,
    outcome: "not-run",
    meaning: "The claim of the idempotency key could not be recorded",
    remedy: "Send again with the same key after Retry-After",
  },
  serviceUnreachable: {
    number: 4006,
    status: 502,
    outcome: "not-run",
    meaning: "No server of the booking service could be reached",
    remedy: "Send again after Retry-After",
  },
  serviceBroken: {
    number: 4007,
    status: 502,
    outcome: "may-have-run",
    meaning: "The connection broke after the call was sent",
    remedy: "Check with the booking service before calling again",
  },
  serviceTimeout: {
    number: 4008,
    status: 504,
    outcome: "may-have-run",
    meaning: "The booking service did not answer in time",
    remedy: "Check with the booking service before calling again",
  },
  answerNotKept: {
    number: 4009,
    status: 409,
    outcome: "ran",
    meaning:
      "The call with this idempotency key ran; its answer was too large to keep",
    remedy: "Look the booking up at the booking service",
  },
  draining: {
    number: 5001,
    status: 503,
    outcome: "not-run",
    meaning: "The node is stopping and accepts no new work",
    remedy: "Send to another node",
  },
  notReady: {
    number: 5002,
    status: 503,
    outcome: "not-run",
    meaning: "The node has no configuration yet",
    remedy: "Send to another node",
  },
  peerLost: {
    number: 5003,
    status: 502,
    outcome: "may-have-run",
    meaning: "The connection to the forwarding node broke",
    remedy: "Send again",
  },
  crossedAnswer: {
    number: 5004,
    status: 502,
    outcome: "may-have-run",
    meaning: "The answer carried the id of another request and was dropped",
    remedy: "Send again",
  },
  invalidSettings: {
    number: 6001,
    status: 400,
    outcome: "not-run",
    meaning: "The settings file is invalid",
    remedy: "Correct the field named in the message",
  },
  invalidSheet: {
    number: 6002,
    status: 400,
    outcome: "not-run",
    meaning: "The morning sheet is invalid",
    remedy: "Correct the entry named in the message",
  },
  revisionConflict: {
    number: 6003,
    status: 409,
    outcome: "not-run",
    meaning:
      "The configuration changed since the revision that the change was made from",
    remedy: "Run sheet diff against the newest revision and apply again",
  },
  storeUnavailable: {
    number: 6004,
    status: 503,
    outcome: "not-run",
    meaning: "The platform's store does not answer",
    remedy: "Try again when the store is available",
  },
  applyUnknown: {
    number: 6005,
    status: 504,
    outcome: "may-have-run",
    meaning: "The store did not confirm whether the change was accepted",
    remedy: "Run sheet history and look for the attempt token",
  },
  nodeUnreachable: {
    number: 6006,
    status: 502,
    outcome: "not-run",
    meaning: "The node does not answer",
    remedy: "Check the address and the key file",
  },
} as const satisfies Record<string, ResultCode>;

/** Name of a result code. */
export type ResultCodeName = keyof typeof resultCodes;
