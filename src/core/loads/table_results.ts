import { millis } from "../clock.ts";
import type { LoadBudgetEvent, StoredRow } from "./messages.ts";
import { createBudgetRow, parseBudgetRow } from "./row.ts";
import type { LoadBudgetState } from "./state.ts";
import { type Step, type StepOptions, withoutCommands } from "./step.ts";
import { adoptRow } from "./table_calls.ts";

/** Event with the result of a call to the table. */
export type TableResult = Extract<
  LoadBudgetEvent,
  {
    type:
      | "row-read"
      | "read-failed"
      | "write-committed"
      | "write-conflict"
      | "write-failed";
  }
>;

/** Applies the result of a call to the table. */
export function applyTableResult(
  before: LoadBudgetState,
  event: TableResult,
  options: StepOptions,
): Step {
  const state: LoadBudgetState = {
    ...before,
    call: "none",
    pollScale: 0.75 + options.random() / 2,
  };
  switch (event.type) {
    case "row-read":
      return applyRow(state, event.row, options);
    case "write-conflict": {
      const applied = applyRow(
        { ...state, proposal: undefined },
        event.row,
        options,
      );
      return { ...applied, state: backOff(applied.state, options) };
    }
    case "write-committed":
      return withoutCommands(applyCommit(state, options));
    case "read-failed":
      return withoutCommands(backOff({ ...state, tableDown: true }, options));
    case "write-failed":
      return withoutCommands(applyWriteFailure(state, event, options));
  }
}

function applyCommit(
  state: LoadBudgetState,
  options: StepOptions,
): LoadBudgetState {
  const { proposal } = state;
  if (proposal === undefined) return state;
  const adopted = adoptRow(state, { ...options, row: proposal.row });
  return {
    ...adopted,
    proposal: undefined,
    removed: state.removed.filter((lease) => !proposal.removed.includes(lease)),
    previousLeases: state.previousLeases.filter(
      (lease) => !proposal.previousLeases.includes(lease),
    ),
    failures: 0,
    tableDown: false,
    backoffUntil: millis(options.now + options.limits.minBackoff),
  };
}

/** An unavailable table did not apply the write; an unknown result is resolved by the next read. */
function applyWriteFailure(
  state: LoadBudgetState,
  event: Extract<TableResult, { type: "write-failed" }>,
  options: StepOptions,
): LoadBudgetState {
  const failed = backOff({ ...state, tableDown: true }, options);
  if (event.kind === "unknown") return failed;
  return {
    ...failed,
    proposal: undefined,
    permits: failed.permits.map((permit) => ({ ...permit, stopped: false })),
  };
}

/**
 * Applies a row that was read. While the row still has the version that a
 * write with an unknown result was conditional on, that write could still take
 * effect, so the permits are left unchanged; `writeChange` then writes the row
 * again, after which the lost write can only fail. At a higher version the row
 * determines what this lease holds, whichever writes led to it.
 */
function applyRow(
  state: LoadBudgetState,
  stored: StoredRow | undefined,
  options: StepOptions,
): Step {
  const parsed =
    stored === undefined
      ? createBudgetRow()
      : parseBudgetRow(stored.value).extract();
  if (typeof parsed === "string")
    return {
      state: backOff(state, options),
      commands: [
        { type: "count", name: "load_budget_row_invalid_total" },
        { type: "record", event: "budgetRowInvalid", detail: parsed },
      ],
    };
  const healthy = { ...state, tableDown: false };
  const base = stored?.version ?? "absent";
  if (state.proposal?.base === base)
    return withoutCommands({
      ...healthy,
      row: parsed,
      rowReadAt: options.now,
    });
  const adopted = adoptRow(healthy, { ...options, row: parsed });
  return withoutCommands({ ...adopted, proposal: undefined });
}

/** Delays the next call exponentially, with jitter over half of the delay. */
function backOff(
  state: LoadBudgetState,
  options: StepOptions,
): LoadBudgetState {
  const { limits, now, random } = options;
  const delay = Math.min(
    limits.maxBackoff,
    limits.minBackoff * 2 ** Math.min(state.failures, 16),
  );
  return {
    ...state,
    failures: state.failures + 1,
    backoffUntil: millis(now + delay * (0.5 + random() / 2)),
  };
}
