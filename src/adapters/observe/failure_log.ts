import type { Clock } from "../../core/clock.ts";
import type { FailurePart, ReportFailure } from "../../ports/failures.ts";
import type { Journal, Meter } from "../../ports/journal.ts";

/** Minimum time between two log lines about one part, in ms; a failure may recur with every event. */
const reportInterval = 1_000;
/** Maximum length of a stack trace in a log line, in characters. */
const maxStackLength = 2_000;

/** Creates a function that counts unexpected errors and logs them with their stack traces. */
export function createFailureLog(options: {
  readonly clock: Clock;
  readonly journal: Journal;
  readonly meter: Meter;
}): ReportFailure {
  const { clock, journal, meter } = options;
  const parts = new Map<FailurePart, { reportAt: number; leftOut: number }>();
  return (part, error) => {
    meter.count("unexpected_errors_total", { part });
    const state = parts.get(part) ?? { reportAt: 0, leftOut: 0 };
    parts.set(part, state);
    if (clock.now() < state.reportAt) {
      state.leftOut++;
      return;
    }
    journal.record(part === "process" ? "errorUnhandled" : "eventFailed", {
      part,
      detail: String(error),
      stack: error instanceof Error ? describeStack(error) : undefined,
      leftOut: state.leftOut,
    });
    state.reportAt = clock.now() + reportInterval;
    state.leftOut = 0;
  };
}

function describeStack({ stack = "" }: Error): string {
  return stack.slice(0, maxStackLength);
}
