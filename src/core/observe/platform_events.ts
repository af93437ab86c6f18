import type { EventEntry } from "./event_entry.ts";

/** Events of the platform that the nodes rely on (5xx). */
export const platformEvents = {
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
    meaning:
      "An entry of the platform's store cannot be read and is ignored; the field and the reason are named",
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
  processStalled: {
    number: 521,
    level: "warn",
    meaning:
      "The process handled no event for a time: it was busy if its processor time is near the gap, else paused or not scheduled",
  },
  useChannelFailed: {
    number: 511,
    level: "warn",
    meaning:
      "The socket for reports between nodes failed and is opened again, or a report has an invalid address",
  },
  leaseCycleFailed: {
    number: 514,
    level: "error",
    meaning:
      "A read or claim of engine leases failed unexpectedly; the next one follows",
  },
  rowsNotApplied: {
    number: 518,
    level: "error",
    meaning:
      "Applying changed rows of the platform's store failed unexpectedly; later changes follow",
  },
  entryNotApplied: {
    number: 519,
    level: "error",
    meaning:
      "Applying one entry of the platform's store failed unexpectedly; the others are applied",
  },
  rowReaderChosen: {
    number: 512,
    level: "info",
    meaning: "The node reads the store's rows from another node",
  },
  rowsFetched: {
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
  declarationIgnored: {
    number: 517,
    level: "info",
    meaning:
      "A declaration of the operator that may come from a copy of the store is older than the one in force",
  },
  retrySlackShareChanged: {
    number: 520,
    level: "info",
    meaning:
      "The node's share of the slack of the retry budget has changed; it has none while it does not know the other nodes or they may not know it",
  },
  storeRestored: {
    number: 516,
    level: "warn",
    meaning:
      "The store states another epoch than the rows that the node has: it came back from a copy",
  },
  serversOutOfReach: {
    number: 236,
    level: "warn",
    meaning:
      "No server accepts connections of this node; its requests go to other nodes",
  },
  callersTurnedAway: {
    number: 340,
    level: "warn",
    meaning:
      "Connections of callers were closed at a limit of the node; at most one line in 10 s",
  },
  serversInReach: {
    number: 237,
    level: "info",
    meaning: "A server accepts connections of this node again",
  },
} as const satisfies Record<string, EventEntry>;
