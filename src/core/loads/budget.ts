import { type Millis, millis } from "../clock.ts";
import type { Decide, Decision } from "../decision.ts";
import { brandString, type LeaseId } from "../ids.ts";
import { type LoadLimits, requestLimit } from "./limits.ts";
import type {
  LoadBudgetCommand,
  LoadBudgetEvent,
  StoredRow,
} from "./messages.ts";
import { createBudgetRow, parseBudgetRow } from "./row.ts";
import {
  countReady,
  expireGrants,
  grantPermit,
  type Permit,
  releasePermit,
  selectPermit,
  stopPermits,
} from "./share.ts";
import {
  countUrgent,
  type LoadBudgetState,
  mustYield,
  type PermitRequest,
} from "./state.ts";
import { adoptRow, planCall, planChange } from "./table_work.ts";

/** What varies between installations and tests. */
export type LoadBudgetPolicies = {
  readonly limits: LoadLimits;
  /** Random numbers from 0 to 1 for jitter. */
  readonly random: () => number;
};

type Step = Decision<LoadBudgetState, LoadBudgetCommand>;
type StepOptions = LoadBudgetPolicies & { now: Millis };

/** Leases that wait to be marked as returning at one node. */
const removedLimit = 64;

/** Creates the decision function of one node's share of the load budget. */
export function createLoadBudgetDecision(
  policies: LoadBudgetPolicies,
): Decide<LoadBudgetState, LoadBudgetEvent, LoadBudgetCommand> {
  return (before, event, now) => {
    const options = { ...policies, now };
    const applied = applyEvent(before, event, options);
    const expired = expireGrants(applied.state.permits, options);
    const granted = grantRequests(
      { ...applied.state, permits: expired.permits },
      options,
    );
    const worked = workOnTable(granted.state, event, options);
    const commands: LoadBudgetCommand[] = [
      ...applied.commands,
      ...granted.commands,
      ...worked.commands,
    ];
    if (expired.expired > 0)
      commands.push({ type: "count", name: "load_permits_expired" });
    const timer = planTimer(worked.state, options);
    if (timer !== undefined) commands.push({ type: "set-timer", at: timer });
    return { state: worked.state, commands };
  };
}

function applyEvent(
  state: LoadBudgetState,
  event: LoadBudgetEvent,
  options: StepOptions,
): Step {
  const { now } = options;
  switch (event.type) {
    case "request-permit":
      return addRequest(state, { event, now });
    case "release-permit":
      return keep({
        ...state,
        permits: releasePermit(state.permits, event),
      });
    case "withdraw":
      return keep({
        ...state,
        requests: state.requests.filter(
          (request) => request.engine !== event.engine,
        ),
      });
    case "lease":
      return keep(applyLease(state, event));
    case "lease-lost":
      return keep({ ...state, usableUntil: now });
    case "owners":
      return keep({
        ...state,
        localOwners: event.local,
        totalOwners: event.total,
      });
    case "lease-removed":
      return keep(addRemoved(state, event.lease));
    case "wake":
      return keep(state);
    default:
      return applyAnswer(state, event, options);
  }
}

type TableAnswer = Extract<
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

function applyAnswer(
  before: LoadBudgetState,
  event: TableAnswer,
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
      return keep(applyCommit(state, options));
    case "read-failed":
      return keep(backOff({ ...state, tableDown: true }, options));
    case "write-failed":
      return keep(applyWriteFailure(state, event, options));
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
    former: state.former.filter((lease) => !proposal.former.includes(lease)),
    failures: 0,
    tableDown: false,
    quietUntil: millis(options.now + options.limits.firstBackoff),
  };
}

/** An unavailable table did not apply the write; an unknown result is settled by the next read. */
function applyWriteFailure(
  state: LoadBudgetState,
  event: Extract<TableAnswer, { type: "write-failed" }>,
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
 * Takes over a row that was read. While a write with an unknown result could
 * still take effect, that is while the row has the version that the write was
 * conditional on, nothing is taken over; `writeChange` then writes the row
 * again, after which the lost write can only fail. At a higher version the
 * row says what this lease holds, whichever writes led to it.
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
        { type: "count", name: "load_budget_row_invalid" },
        { type: "record", event: "revisionRejected", detail: parsed },
      ],
    };
  const healthy = { ...state, tableDown: false };
  const base = stored?.version ?? "absent";
  if (state.proposal?.base === base)
    return keep({
      ...healthy,
      row: parsed,
      rowAt: options.now,
    });
  const adopted = adoptRow(healthy, { ...options, row: parsed });
  return keep({ ...adopted, proposal: undefined });
}

/** Grants ready permits, loads on demand first, while the lease is usable. */
function grantRequests(before: LoadBudgetState, options: StepOptions): Step {
  const { now, limits } = options;
  let state = before;
  const commands: LoadBudgetCommand[] = [];
  for (;;) {
    const next = selectGrant(state, options);
    if (next === undefined) return { state, commands };
    const { request, permit } = next;
    const { engine } = request;
    state = {
      ...state,
      permits: grantPermit(state.permits, { permit, engine, now, limits }),
      requests: state.requests.filter((entry) => entry !== request),
    };
    commands.push({ type: "grant", engine });
  }
}

function selectGrant(
  state: LoadBudgetState,
  options: StepOptions,
): { request: PermitRequest; permit: Permit } | undefined {
  const { now, limits } = options;
  const [first] = state.requests;
  if (now >= state.usableUntil || first === undefined) return undefined;
  if (state.former.length > 0) return undefined;
  const permit = selectPermit(state.permits, {
    now,
    mayGrant: (entry) => !mustYield(state, entry),
  });
  if (permit === undefined) return undefined;
  const urgent = state.requests.find((request) => request.urgent);
  if (urgent !== undefined) return { request: urgent, permit };
  // The last ready permit is left for loads on demand for a while.
  const spare =
    countReady(state.permits, now) > 1 ||
    permit.fullAt + limits.prefetchDelay <= now;
  return spare ? { request: first, permit } : undefined;
}

/** Starts the next call to the table: a read, or a write after a read. */
function workOnTable(
  state: LoadBudgetState,
  event: LoadBudgetEvent,
  options: StepOptions,
): Step {
  const { now, limits } = options;
  if (state.call !== "none" || now >= state.usableUntil) return keep(state);
  const mayWrite = state.rowAt === now && state.quietUntil <= now;
  if (event.type === "row-read" && mayWrite)
    return writeChange(state, event.row, options);
  const at = planCall(state, { now, limits });
  if (at === undefined || at > now) return keep(state);
  return { state: { ...state, call: "reading" }, commands: [{ type: "read" }] };
}

function writeChange(
  state: LoadBudgetState,
  stored: StoredRow | undefined,
  options: StepOptions,
): Step {
  const { now, limits } = options;
  const unresolved = state.proposal !== undefined;
  const row = state.row ?? createBudgetRow();
  const change = unresolved
    ? { row: state.proposal?.row ?? row, stopped: 0 }
    : planChange(state, { now, limits });
  if (change === undefined || state.lease === undefined)
    return keep({
      ...state,
      failures: 0,
      quietUntil: millis(now + limits.firstBackoff),
    });
  const base = stored?.version ?? "absent";
  const attempts = state.attempts + 1;
  return {
    state: {
      ...state,
      attempts,
      call: "writing",
      proposal: {
        base,
        row: change.row,
        removed: state.removed,
        former: state.former,
      },
      permits: stopPermits(state.permits, { count: change.stopped, now }),
    },
    commands: [
      {
        type: "write",
        attempt: brandString(`${state.lease}/loads/${attempts}`),
        base,
        value: change.row,
      },
    ],
  };
}

/** Earliest time at which waiting alone makes something possible. */
function planTimer(
  state: LoadBudgetState,
  options: StepOptions,
): Millis | undefined {
  const { now, limits } = options;
  if (now >= state.usableUntil) return undefined;
  const times: number[] = [];
  const call = state.call === "none" ? planCall(state, options) : undefined;
  if (call !== undefined) times.push(call);
  const idleWait = countUrgent(state) > 0 ? 0 : limits.prefetchDelay;
  for (const permit of state.permits) {
    if (permit.engine !== undefined)
      times.push(permit.grantedAt + limits.loadDeadline);
    else if (state.requests.length > 0) times.push(permit.fullAt + idleWait);
  }
  const future = times.filter((at) => at > now);
  return future.length === 0 ? undefined : millis(Math.min(...future));
}

function addRequest(
  state: LoadBudgetState,
  options: {
    event: Extract<LoadBudgetEvent, { type: "request-permit" }>;
    now: Millis;
  },
): Step {
  const { engine, urgent } = options.event;
  if (state.requests.length >= requestLimit)
    return {
      state,
      commands: [{ type: "count", name: "load_requests_dropped" }],
    };
  return keep({
    ...state,
    requests: [...state.requests, { engine, urgent }],
    requestedAt: options.now,
  });
}

/**
 * A new lease takes over the permits of the earlier one of the same process,
 * which knows what it started under it; the wait for a dead node's loads is
 * not needed.
 */
function applyLease(
  state: LoadBudgetState,
  event: Extract<LoadBudgetEvent, { type: "lease" }>,
): LoadBudgetState {
  const { lease, usableUntil } = event;
  const earlier = state.lease;
  if (earlier === undefined || earlier === lease || !isInRow(state, earlier))
    return { ...state, lease, usableUntil };
  const former = state.former.includes(earlier)
    ? state.former
    : [...state.former, earlier];
  return { ...state, lease, usableUntil, former, proposal: undefined };
}

/** Whether the row names the lease or may do so after a write without a known result. */
function isInRow(state: LoadBudgetState, lease: LeaseId): boolean {
  return (
    state.permits.length > 0 ||
    state.former.length > 0 ||
    state.proposal !== undefined ||
    state.returning.count > 0 ||
    state.row?.waiting.includes(lease) === true
  );
}

function addRemoved(state: LoadBudgetState, lease: LeaseId): LoadBudgetState {
  const full = state.removed.length >= removedLimit;
  if (full || state.removed.includes(lease)) return state;
  return { ...state, removed: [...state.removed, lease] };
}

/** Delays the next call exponentially, with jitter over the whole range. */
function backOff(
  state: LoadBudgetState,
  options: StepOptions,
): LoadBudgetState {
  const { limits, now, random } = options;
  const longest = Math.min(
    limits.longestBackoff,
    limits.firstBackoff * 2 ** Math.min(state.failures, 16),
  );
  return {
    ...state,
    failures: state.failures + 1,
    quietUntil: millis(now + longest * (0.5 + random() / 2)),
  };
}

function keep(state: LoadBudgetState): Step {
  return { state, commands: [] };
}
