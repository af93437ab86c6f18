/** Place at which an event enters a node's tasks; `process` for an error that none of them handled. */
export type FailurePart =
  | "timer"
  | "datagram"
  | "nodeCall"
  | "rows"
  | "request"
  | "process";

/** Reports an error that the program does not expect; the part goes on with its next event. */
export type ReportFailure = (part: FailurePart, error: unknown) => void;

/** Discards all errors. */
export const ignoreFailures: ReportFailure = () => {};
