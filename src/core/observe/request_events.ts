import type { EventEntry } from "./event_entry.ts";

/** Events of requests (3xx) and booking calls (4xx). */
export const requestEvents = {
  requestAdmitted: {
    number: 301,
    level: "debug",
    meaning: "A request was admitted",
  },
  requestRefused: {
    number: 302,
    level: "info",
    meaning: "A request was refused",
  },
  requestDispatched: {
    number: 303,
    level: "debug",
    meaning: "A request was sent to an engine",
  },
  requestFinished: {
    number: 304,
    level: "debug",
    meaning: "The whole answer was passed on",
  },
  requestResumed: {
    number: 305,
    level: "info",
    meaning: "A broken stream goes on at another engine",
  },
  requestFailed: {
    number: 306,
    level: "warn",
    meaning: "An answer broke off for good; it could not be resumed",
  },
  requestCancelled: {
    number: 307,
    level: "debug",
    meaning: "The caller disconnected and left its request unfinished",
  },
  requestRouted: {
    number: 308,
    level: "debug",
    meaning: "A request was read and its route was found",
  },
  requestSent: {
    number: 309,
    level: "info",
    meaning: "A request was sent to a server",
  },
  requestRelayed: {
    number: 320,
    level: "info",
    meaning:
      "A request was passed on to another node, since this one reaches no server",
  },
  quotaExceeded: {
    number: 325,
    level: "debug",
    meaning:
      "A request was refused, since its organisation has used up its quota",
  },
  quotaPartChanged: {
    number: 326,
    level: "info",
    meaning:
      "The part of the quotas that this node earns has changed; it has none until the other nodes count it",
  },
  quotaPoolChanged: {
    number: 327,
    level: "info",
    meaning:
      "The node exchanges quota credit with the pool at another node; with none if no name is given",
  },
  callerRejected: {
    number: 321,
    level: "info",
    meaning:
      "A request was refused, since its key belongs to no organisation; names the route and the configuration",
  },
  organisationsReloaded: {
    number: 322,
    level: "info",
    meaning:
      "The organisation file was read again; with an error what was read before stays in force",
  },
  requestAwaitsAdapter: {
    number: 310,
    level: "info",
    meaning: "A request waits until an engine has its adapter",
  },
  requestSendFailed: {
    number: 311,
    level: "info",
    meaning: "An attempt got no answer that can be passed on",
  },
  requestAnswered: {
    number: 312,
    level: "info",
    meaning: "The answer was passed on",
  },
  requestTakenInDrain: {
    number: 313,
    level: "info",
    meaning: "A request was taken while the node stops",
  },
  requestCutOff: {
    number: 314,
    level: "warn",
    meaning: "The process exits before the answer to a request is complete",
  },
  requestNotPermitted: {
    number: 315,
    level: "debug",
    meaning:
      "The limit of a server left no room for a request; the node looks for another one",
  },
  requestStalled: {
    number: 316,
    level: "info",
    meaning:
      "The caller did not take its answer in time, and the request was ended",
  },
  streamTakenUp: {
    number: 317,
    level: "info",
    meaning:
      "A caller takes up a stream; names the software version that began it and where that was found",
  },
  streamOriginSettled: {
    number: 318,
    level: "debug",
    meaning:
      "It has become known which software version began a stream; names the start and version that the entry of the server stated, and the proof",
  },
  streamOriginLost: {
    number: 319,
    level: "info",
    meaning:
      "The server of a stream has started again with another software version, and either may have begun the stream",
  },
  requestOutranked: {
    number: 330,
    level: "info",
    meaning:
      "A request is refused, since more urgent ones fill the queue of its service",
  },
  requestTooLateToBegin: {
    number: 331,
    level: "info",
    meaning:
      "A request is refused, since no server is expected to begin it before its deadline",
  },
  retryAwaitsBudget: {
    number: 332,
    level: "debug",
    meaning:
      "A request that no server has run waits for a retry, since the retry budget is spent",
  },
  callClaimed: {
    number: 401,
    level: "debug",
    meaning: "The claim of a call was recorded",
  },
  callSent: { number: 402, level: "debug", meaning: "A booking call was sent" },
  callSettled: {
    number: 403,
    level: "debug",
    meaning: "The outcome of a booking call was recorded",
  },
  callOutcomeUnknown: {
    number: 404,
    level: "warn",
    meaning: "The outcome of a booking call is not known",
  },
  callReplayed: {
    number: 405,
    level: "debug",
    meaning: "A recorded outcome was returned",
  },
} as const satisfies Record<string, EventEntry>;
