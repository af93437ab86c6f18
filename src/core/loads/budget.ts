import { type Millis, millis } from "../clock.ts";
import type { Decide } from "../decision.ts";
import { brandString } from "../ids.ts";
import { grantRequests } from "./grants.ts";
import { addRemovedLease, applyLease } from "./leases.ts";
import { requestLimit } from "./limits.ts";
import type {
  LoadBudgetCommand,
  LoadBudgetEvent,
  StoredRow,
} from "./messages.ts";
import { createBudgetRow } from "./row.ts";
import { expireGrants, releasePermit, stopPermits } from "./share.ts";
import { countUrgent, type LoadBudgetState } from "./state.ts";
import {
  type LoadBudgetPolicies,
  type Step,
  type StepOptions,
  withoutCommands,
} from "./step.ts";
import { planCall, planChange } from "./table_calls.ts";
import { applyTableResult } from "./table_results.ts";

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
    const called = startTableCall(granted.state, event, options);
    const commands: LoadBudgetCommand[] = [
      ...applied.commands,
      ...granted.commands,
      ...called.commands,
    ];
    if (expired.expired > 0)
      commands.push({ type: "count", name: "load_permits_expired_total" });
    const timer = planTimer(called.state, options);
    if (timer !== undefined) commands.push({ type: "set-timer", at: timer });
    return { state: called.state, commands };
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
      return withoutCommands({
        ...state,
        permits: releasePermit(state.permits, event),
      });
    case "withdraw":
      return withoutCommands({
        ...state,
        requests: state.requests.filter(
          (request) => request.engine !== event.engine,
        ),
      });
    case "lease":
      return withoutCommands(applyLease(state, event));
    case "lease-lost":
      return withoutCommands({ ...state, usableUntil: now });
    case "owners":
      return withoutCommands({
        ...state,
        localOwners: event.local,
        totalOwners: event.total,
      });
    case "lease-removed":
      return withoutCommands(addRemovedLease(state, event.lease));
    case "wake":
      return withoutCommands(state);
    default:
      return applyTableResult(state, event, options);
  }
}

/** Starts the next call to the table: a read, or the write that follows a read. */
function startTableCall(
  state: LoadBudgetState,
  event: LoadBudgetEvent,
  options: StepOptions,
): Step {
  const { now, limits } = options;
  if (state.call !== "none" || now >= state.usableUntil)
    return withoutCommands(state);
  const mayWrite = state.rowReadAt === now && state.backoffUntil <= now;
  if (event.type === "row-read" && mayWrite)
    return writeChange(state, event.row, options);
  const at = planCall(state, { now, limits });
  if (at === undefined || at > now) return withoutCommands(state);
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
    return withoutCommands({
      ...state,
      failures: 0,
      backoffUntil: millis(now + limits.minBackoff),
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
        previousLeases: state.previousLeases,
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

/** Returns the next time at which a call, a grant or an expiry falls due without another event. */
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
      times.push(permit.grantedAt + limits.loadTimeout);
    else if (state.requests.length > 0)
      times.push(permit.refilledAt + idleWait);
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
      commands: [{ type: "count", name: "load_requests_dropped_total" }],
    };
  return withoutCommands({
    ...state,
    requests: [...state.requests, { engine, urgent }],
    requestedAt: options.now,
  });
}
