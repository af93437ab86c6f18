/** One row of the catalogue of log events. */
export type EventEntry = {
  readonly number: number;
  readonly level: "debug" | "info" | "warn" | "error";
  readonly meaning: string;
};

/**
 * Catalogue of log and timeline events: 1xx node, 2xx engines, 3xx requests,
 * 4xx booking calls, 5xx platform, 6xx membership, 7xx configuration, 8xx security.
 */
export const eventCatalogue = {
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
  serverSuspended: {
    number: 215,
    level: "warn",
    meaning:
      "A backend server is suspended: left out for a time after failures",
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
    meaning: "A request was running on an engine that crashed",
  },
  poisonConvicted: {
    number: 212,
    level: "warn",
    meaning: "Content is refused after its second crash",
  },
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
  tableOutageStarted: {
    number: 501,
    level: "warn",
    meaning: "The table service does not answer",
  },
  tableOutageEnded: {
    number: 502,
    level: "info",
    meaning: "The table service answers again",
  },
  leaseAcquired: {
    number: 503,
    level: "info",
    meaning: "The session lease was acquired",
  },
  leaseLost: {
    number: 504,
    level: "warn",
    meaning: "The session lease ended or was taken",
  },
  writeAmbiguous: {
    number: 505,
    level: "info",
    meaning: "An answer of the table was lost; the row is read back",
  },
  budgetRowInvalid: {
    number: 506,
    level: "error",
    meaning:
      "The row of the load budget is malformed; no permit is granted or returned until it is restored",
  },
  entryUnreadable: {
    number: 507,
    level: "warn",
    meaning: "An entry of the platform's store cannot be read and is ignored",
  },
  storeLost: {
    number: 508,
    level: "warn",
    meaning: "The platform's store does not answer this node",
  },
  storeRegained: {
    number: 509,
    level: "info",
    meaning: "The platform's store answers this node again",
  },
  processPaused: {
    number: 510,
    level: "warn",
    meaning:
      "The process was paused or its clock jumped; leases are read again",
  },
  useChannelFailed: {
    number: 511,
    level: "warn",
    meaning: "The socket for reports between nodes failed",
  },
  leaseCycleFailed: {
    number: 514,
    level: "error",
    meaning:
      "A read or claim of engine leases failed unexpectedly; the next one follows",
  },
  rowReaderChosen: {
    number: 512,
    level: "info",
    meaning: "The node reads the store's rows from another node",
  },
  rowsBorrowed: {
    number: 515,
    level: "info",
    meaning:
      "The store does not answer this node; another node passes its rows on",
  },
  rowReaderLost: {
    number: 513,
    level: "warn",
    meaning: "That node does not answer or has no recent rows",
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

/** Name of a log and timeline event. */
export type EventName = keyof typeof eventCatalogue;
