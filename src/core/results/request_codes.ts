import type { ResultCode } from "./code.ts";

/** Result codes of bad input (1xxx), and of limits and load (2xxx). */
export const requestCodes = {
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
  unknownKey: {
    number: 1010,
    status: 401,
    outcome: "not-run",
    meaning:
      "The request carries no key, or one that belongs to no organisation of the configuration in force",
    remedy: "Send a current key of your organisation",
  },
  malformedKey: {
    number: 1011,
    status: 401,
    outcome: "not-run",
    meaning: "The request carries several keys, or text that cannot be a key",
    remedy: "Send the key alone, once",
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
  noRoomForBody: {
    number: 2007,
    status: 503,
    outcome: "not-run",
    meaning: "The node keeps as many bytes of request bodies as it may",
    remedy: "Send to another node, or again after Retry-After",
  },
  quotaExceeded: {
    number: 2008,
    status: 429,
    outcome: "not-run",
    meaning: "The organisation of the caller has used up its quota",
    remedy: "Send again after Retry-After",
  },
  tooLateToBegin: {
    number: 2010,
    status: 503,
    outcome: "not-run",
    meaning: "No server is expected to begin the request before its deadline",
    remedy: "Send again after Retry-After",
  },
  outranked: {
    number: 2011,
    status: 503,
    outcome: "not-run",
    meaning:
      "More urgent requests fill the queue of those that wait for the service",
    remedy: "Send again after Retry-After",
  },
  noRoomForConnection: {
    number: 2013,
    status: 503,
    outcome: "not-run",
    meaning:
      "The body had stopped, and its connection was needed for another caller",
    remedy: "Send the body without pauses, again after Retry-After",
  },
  retryBudgetSpent: {
    number: 2006,
    status: 503,
    outcome: "may-have-run",
    meaning: "The answer was cut off and the retry budget is used up",
    remedy: "Send again after Retry-After",
  },
} as const satisfies Record<string, ResultCode>;
