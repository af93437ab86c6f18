import type { LoadBudgetCommand } from "./messages.ts";
import { countReady, grantPermit, type Permit, selectPermit } from "./share.ts";
import {
  type LoadBudgetState,
  mustYield,
  type PermitRequest,
} from "./state.ts";
import type { Step, StepOptions } from "./step.ts";

/** Grants ready permits, loads on demand first, while the lease is usable. */
export function grantRequests(
  before: LoadBudgetState,
  options: StepOptions,
): Step {
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
  if (state.previousLeases.length > 0) return undefined;
  const permit = selectPermit(state.permits, {
    now,
    mayGrant: (entry) => !mustYield(state, entry),
  });
  if (permit === undefined) return undefined;
  const urgent = state.requests.find((request) => request.urgent);
  if (urgent !== undefined) return { request: urgent, permit };
  // The last ready permit is reserved for loads on demand for `prefetchDelay`.
  const mayGrantDeferred =
    countReady(state.permits, now) > 1 ||
    permit.refilledAt + limits.prefetchDelay <= now;
  return mayGrantDeferred ? { request: first, permit } : undefined;
}
