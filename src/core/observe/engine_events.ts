import type { EventEntry } from "./event_entry.ts";

/** Events of engines and backend servers (2xx). */
export const engineEvents = {
  engineOwned: {
    number: 201,
    level: "info",
    meaning: "The node became owner of an engine",
  },
  engineReleased: {
    number: 202,
    level: "info",
    meaning: "The node gave up an engine",
  },
  adapterLoadStarted: {
    number: 203,
    level: "debug",
    meaning: "A load order was sent to an engine",
  },
  adapterLoaded: {
    number: 204,
    level: "debug",
    meaning: "An adapter is loaded",
  },
  adapterLoadFailed: {
    number: 205,
    level: "warn",
    meaning: "An adapter load failed",
  },
  adapterUnloaded: {
    number: 206,
    level: "debug",
    meaning: "An adapter was evicted",
  },
  engineCrashed: {
    number: 207,
    level: "warn",
    meaning: "An engine stopped or restarted with requests running",
  },
  engineSlow: {
    number: 208,
    level: "info",
    meaning: "An engine was classified as slow",
  },
  engineRecovered: {
    number: 209,
    level: "info",
    meaning: "A slow or failed engine serves normally again",
  },
  serverLeaving: {
    number: 210,
    level: "info",
    meaning: "A backend server is leaving and gets no new work",
  },
  serverSeen: {
    number: 213,
    level: "info",
    meaning: "A backend server registered itself",
  },
  serverGone: {
    number: 214,
    level: "info",
    meaning: "The entry of a backend server was removed",
  },
  serverUnlisted: {
    number: 220,
    level: "info",
    meaning:
      "The entry of a backend server disappeared, possibly only expired; it stays usable for a time",
  },
  serverPaused: {
    number: 231,
    level: "info",
    meaning:
      "A backend server turned a request away and asked for a pause; the node sends it nothing meanwhile",
  },
  retryAfterUnusual: {
    number: 232,
    level: "info",
    meaning:
      "The Retry-After of a backend server is negative, endless, a date, too long or no number; the pause is bounded",
  },
  serverLimited: {
    number: 233,
    level: "info",
    meaning:
      "A backend server named the requests a second that it takes from all nodes together; each request to it needs a permit",
  },
  serverLimitEnded: {
    number: 234,
    level: "info",
    meaning: "A backend server names its limit no longer",
  },
  serverLimitUnusual: {
    number: 235,
    level: "info",
    meaning:
      "The limit that a backend server names is zero, negative, endless or no number; it is bounded or ignored",
  },
  serverSuspended: {
    number: 215,
    level: "warn",
    meaning:
      "A backend server is suspended: left out for a time after failures",
  },
  serverPaceChanged: {
    number: 335,
    level: "info",
    meaning:
      "The nodes together measured that an engine takes more or less time than the mean of its service",
  },
  engineClaimed: {
    number: 216,
    level: "info",
    meaning: "The node took the lease of an engine",
  },
  engineLeaseLost: {
    number: 217,
    level: "warn",
    meaning: "Another node took the lease of an engine",
  },
  engineOrdered: {
    number: 218,
    level: "info",
    meaning: "An engine answered an order",
  },
  adapterVersionDeclared: {
    number: 219,
    level: "info",
    meaning: "The operator declared a newer version of an adapter",
  },
  poisonSuspected: {
    number: 211,
    level: "warn",
    meaning: "A request was running on a server that crashed",
  },
  poisonConvicted: {
    number: 212,
    level: "warn",
    meaning: "Content is refused after its second crash",
  },
} as const satisfies Record<string, EventEntry>;
