import type { EventEntry } from "./event_entry.ts";

/** Events of nodes (1xx), membership (6xx), configuration (7xx) and security (8xx). */
export const nodeEvents = {
  nodeStarted: {
    number: 101,
    level: "info",
    meaning: "The daemon listens on its addresses",
  },
  nodeReady: {
    number: 102,
    level: "info",
    meaning: "The node has a configuration and takes requests",
  },
  drainStarted: {
    number: 103,
    level: "info",
    meaning: "The node stops taking new work",
  },
  drainFinished: {
    number: 104,
    level: "info",
    meaning: "All work has ended; the process exits",
  },
  logLinesLeftOut: {
    number: 105,
    level: "warn",
    meaning: "Log lines were left out because their rate exceeded the limit",
  },
  drainTimedOut: {
    number: 106,
    level: "warn",
    meaning: "A drain took too long; the node gives up what is in progress",
  },
  listenRetried: {
    number: 107,
    level: "warn",
    meaning:
      "An address cannot be opened; the node is not ready and tries again",
  },
  listenFailed: {
    number: 108,
    level: "error",
    meaning:
      "An address could not be opened in time; the process drains and ends with status 1",
  },
  listenerOpened: {
    number: 109,
    level: "info",
    meaning: "An address that could not be opened is open now",
  },
  acceptFailed: {
    number: 110,
    level: "warn",
    meaning: "A listener could not accept a connection; it goes on",
  },
  startFailed: {
    number: 111,
    level: "error",
    meaning: "The process cannot start; it ends with status 1",
  },
  eventFailed: {
    number: 112,
    level: "error",
    meaning:
      "Handling one event failed unexpectedly; its part of the node goes on with the next one",
  },
  errorUnhandled: {
    number: 113,
    level: "error",
    meaning: "An error that no part of the node handled; the process goes on",
  },
  memberJoined: {
    number: 601,
    level: "info",
    meaning: "A node became a member",
  },
  memberSuspected: {
    number: 602,
    level: "info",
    meaning: "A node did not answer probes",
  },
  memberDead: {
    number: 603,
    level: "warn",
    meaning: "A node was declared dead",
  },
  memberLeft: {
    number: 604,
    level: "info",
    meaning: "A node left after a drain",
  },
  revisionInForce: {
    number: 701,
    level: "info",
    meaning: "A configuration revision is in force",
  },
  revisionRejected: {
    number: 702,
    level: "error",
    meaning: "A configuration failed its digest or checks",
  },
  sheetApplied: {
    number: 703,
    level: "info",
    meaning: "An operator applied a sheet",
  },
  operatorAction: {
    number: 704,
    level: "info",
    meaning: "An operator's order was carried out",
  },
  signatureRejected: {
    number: 801,
    level: "warn",
    meaning: "A message without a valid signature was refused",
  },
  keysReloaded: {
    number: 802,
    level: "info",
    meaning: "The key file was read again",
  },
} as const satisfies Record<string, EventEntry>;
