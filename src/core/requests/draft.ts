import { type Millis, millis } from "../clock.ts";
import type { Decision } from "../decision.ts";
import type { ResultCodeName } from "../results/codes.ts";
import { type Refusal, refuse } from "../results/refusal.ts";
import { computeHedgeTime } from "../routing/hedge.ts";
import type {
  Attempt,
  AttemptNumber,
  DraftCommand,
  DraftEvent,
  DraftHistory,
  DraftPolicies,
  DraftState,
  DraftTarget,
} from "./draft_messages.ts";

/** Maximum number of attempts of one request that reach an engine's owner, including hedges. */
export const maxDraftAttempts = 5;
/** Maximum delay per failure before a retry, in ms; the delay is random below it. */
const maxRetryDelay = 100;
/** Delay before a retry while no engine is reachable, in ms; up to the same time is added as jitter. */
const blockedRetryDelay = 250;
/** Time without a reachable engine after which a request fails, in ms; a takeover takes at most 9 s. */
const maxBlockedTime = 12_000;
/** Maximum number of attempts of one request that run at a time. */
const maxOpenAttempts = 2;

/** Result codes after which another engine may serve the request. */
const reroutableCodes: ReadonlySet<ResultCodeName> = new Set([
  "deadlineTooClose",
  "queueFull",
  "noEngine",
  "loadFailed",
  "notOwner",
  "engineRefused",
  "engineLost",
  "draining",
  "stopped",
  "notReady",
  "peerLost",
  "crossedAnswer",
  "wrongAdapter",
]);

/** Result codes that, as not-run, mean that the engine was not reached. */
const unreachedCodes: ReadonlySet<ResultCodeName> = new Set([
  "noEngine",
  "notOwner",
  "draining",
  "notReady",
  "peerLost",
]);

type DraftDecision = Decision<DraftState, DraftCommand>;
type EventContext = { readonly policies: DraftPolicies; readonly now: Millis };

/** Creates the state of a request that has not been routed yet. */
export function createDraftState(options: {
  deadlineAt: Millis;
  isolated: boolean;
}): DraftState {
  return {
    deadlineAt: options.deadlineAt,
    isolated: options.isolated,
    attempts: 0,
    failures: 0,
    blockedSince: undefined,
    open: [],
    tried: [],
    delivered: 0,
    mayHaveRun: false,
    phase: "waiting",
  };
}

/** Builds the decision function of draft requests. */
export function createDraftDecision(policies: DraftPolicies) {
  return (state: DraftState, event: DraftEvent, now: Millis): DraftDecision => {
    const context = { policies, now };
    if (state.phase === "ended") return { state, commands: [] };
    switch (event.type) {
      case "start":
        return route(state, context);
      case "wake":
        return state.phase === "waiting"
          ? route(state, context)
          : considerHedge(state, context);
      case "first-token":
        return selectAttempt(state, event.attempt);
      case "ended":
        return end(state, [{ type: "finish" }]);
      case "cancel":
        return end(state, cancelAttempts(state.open));
      case "stop":
        return stop(state);
      case "refused":
        return handleRefusal(state, event, context);
    }
  };
}

function route(state: DraftState, context: EventContext): DraftDecision {
  return context.policies.choose(describeHistory(state)).caseOf<DraftDecision>({
    Left: (refusal) =>
      refusal.code === "noEngine"
        ? waitForEngine(state, refusal, context)
        : fail(state, refusal),
    Right: (target) => submit(state, target, context.now),
  });
}

/** Retries all engines later, since a lost owner is replaced within seconds. */
function waitForEngine(
  state: DraftState,
  refusal: Refusal,
  context: EventContext,
): DraftDecision {
  const { now, policies } = context;
  const blockedSince = state.blockedSince ?? now;
  const delay = blockedRetryDelay * (1 + policies.random());
  const retryAt = millis(now + delay);
  const isLate = state.delivered === 0 && retryAt >= state.deadlineAt;
  if (isLate || retryAt - blockedSince > maxBlockedTime) {
    return fail(state, refusal);
  }
  return {
    state: { ...state, phase: "waiting", tried: [], blockedSince },
    commands: [{ type: "set-timer", at: retryAt }],
  };
}

function submit(
  state: DraftState,
  target: DraftTarget,
  now: Millis,
): DraftDecision {
  const number = state.attempts + 1;
  const { engine, expectedWait } = target;
  const attempt = { number, startedAt: now, expectedWait };
  return {
    state: {
      ...state,
      phase: "running",
      attempts: number,
      open: [...state.open, attempt],
      tried: [...state.tried, engine],
    },
    commands: [
      {
        type: "submit",
        attempt: number,
        engine,
        expectedWait,
        resumeAt: state.delivered,
        isolated: state.isolated,
      },
      {
        type: "set-timer",
        at: computeHedgeTime({ sentAt: now, expectedWait }),
      },
    ],
  };
}

/** Starts an attempt at a second engine if the first one has not sent a token in time. */
function considerHedge(
  state: DraftState,
  context: EventContext,
): DraftDecision {
  const [first] = state.open;
  const mayHedge =
    state.phase === "running" &&
    first !== undefined &&
    state.open.length < maxOpenAttempts &&
    state.failures < maxDraftAttempts &&
    !state.isolated;
  if (!mayHedge) return { state, commands: [] };
  const waited = millis(context.now - first.startedAt);
  return context.policies
    .hedge(describeHistory(state), waited)
    .caseOf<DraftDecision>({
      Nothing: () => ({
        state,
        commands: [
          {
            type: "set-timer",
            at: computeHedgeTime({ sentAt: context.now, expectedWait: waited }),
          },
        ],
      }),
      Just: (target) => submit(state, target, context.now),
    });
}

/** Keeps the attempt with the first token and cancels the others. */
function selectAttempt(
  state: DraftState,
  winner: AttemptNumber,
): DraftDecision {
  const losers = state.open.filter(({ number }) => number !== winner);
  return {
    state: {
      ...state,
      phase: "streaming",
      blockedSince: undefined,
      open: state.open.filter(({ number }) => number === winner),
    },
    commands: cancelAttempts(losers),
  };
}

function handleRefusal(
  before: DraftState,
  event: Extract<DraftEvent, { type: "refused" }>,
  context: EventContext,
): DraftDecision {
  const { refusal, delivered } = event;
  const open = before.open.filter(({ number }) => number !== event.attempt);
  const ran = refusal.outcome !== "not-run";
  const isUnreached = !ran && unreachedCodes.has(refusal.code);
  const state: DraftState = {
    ...before,
    delivered,
    open,
    mayHaveRun: before.mayHaveRun || ran,
    failures: before.failures + (isUnreached ? 0 : 1),
  };
  if (!reroutableCodes.has(refusal.code)) {
    return fail(state, refusal);
  }
  if (refusal.suspect && state.isolated) {
    const detail = "The engine crashed while the request ran alone on it";
    return fail(state, refuse("poisonRequest", detail));
  }
  const next: DraftState = {
    ...state,
    isolated: state.isolated || refusal.suspect === true,
  };
  // A hedge that is still running replaces a retry.
  if (open.length > 0 && !refusal.suspect) return { state: next, commands: [] };
  return retry(next, refusal, context);
}

function retry(
  state: DraftState,
  refusal: Refusal,
  context: EventContext,
): DraftDecision {
  const { policies, now } = context;
  const waiting: DraftState = {
    ...state,
    phase: "waiting",
    open: [],
    mayHaveRun: state.mayHaveRun || state.open.length > 0,
  };
  const cancels = cancelAttempts(state.open);
  const expired = state.delivered === 0 && now >= state.deadlineAt;
  if (expired || state.failures >= maxDraftAttempts) {
    return fail(state, refusal);
  }
  const isUnreached =
    refusal.outcome === "not-run" && unreachedCodes.has(refusal.code);
  if (!isUnreached && !policies.takeRetry()) {
    const { detail, outcome } = refusal;
    return fail(state, refuse("retryBudgetSpent", detail, { outcome }));
  }
  const record: DraftCommand = {
    type: "record",
    event: "requestResumed",
    detail: `attempt ${state.attempts} ended with ${refusal.code}: ${refusal.detail}`,
  };
  if (refusal.outcome === "not-run" || state.failures === 1) {
    const decision = route(waiting, context);
    return {
      state: decision.state,
      commands: [...cancels, record, ...decision.commands],
    };
  }
  const delay = millis(policies.random() * maxRetryDelay * state.failures);
  return {
    state: waiting,
    commands: [
      ...cancels,
      record,
      { type: "set-timer", at: millis(now + delay) },
    ],
  };
}

/** Ends the request since its node has no time left for it. */
function stop(state: DraftState): DraftDecision {
  const mayHaveRun = state.mayHaveRun || state.open.length > 0;
  const detail = "The node stopped before the answer was complete";
  return fail(state, refuse(mayHaveRun ? "stopped" : "draining", detail));
}

/** Ends the request; a refusal as not-run becomes may-have-run if an earlier attempt may have run. */
function fail(state: DraftState, refusal: Refusal): DraftDecision {
  const mayHaveRun = state.mayHaveRun || state.open.length > 0;
  const ran = mayHaveRun && refusal.outcome === "not-run";
  return end(state, [
    ...cancelAttempts(state.open),
    {
      type: "fail",
      refusal: ran ? { ...refusal, outcome: "may-have-run" } : refusal,
    },
  ]);
}

function end(state: DraftState, commands: DraftCommand[]): DraftDecision {
  return { state: { ...state, phase: "ended", open: [] }, commands };
}

function cancelAttempts(attempts: readonly Attempt[]): DraftCommand[] {
  return attempts.map(({ number }) => ({
    type: "cancel-attempt",
    attempt: number,
  }));
}

function describeHistory(state: DraftState): DraftHistory {
  return {
    tried: state.tried,
    isolated: state.isolated,
    resuming: state.delivered > 0,
  };
}
