import type { ResultCode } from "./code.ts";

/** Result codes of engines (3xxx). */
export const engineCodes = {
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
    meaning:
      "The request, or a part of its prompt, has crashed servers, or may have",
    remedy:
      "Send again after Retry-After without that content; operators: see the poison rows",
  },
  serversPaused: {
    number: 3012,
    status: 503,
    outcome: "not-run",
    meaning:
      "Every server that can take the request has asked this node for a pause, or has reached the limit that it named",
    remedy: "Send again after Retry-After; operators: see events 231 and 233",
  },
  streamNotContinued: {
    number: 3013,
    status: 503,
    outcome: "not-run",
    meaning:
      "The rest of a stream can only come from the software version that began it, which is not known or does not serve",
    remedy:
      "Send again after Retry-After, or start the request anew; operators: see the versions of the servers",
  },
} as const satisfies Record<string, ResultCode>;
