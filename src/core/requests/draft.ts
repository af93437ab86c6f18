import type { Either } from "purify-ts";
import { type Millis, millis } from "../clock.ts";
import type { Decision } from "../decision.ts";
import type { EngineId } from "../ids.ts";
import type { EventName } from "../observe/events.ts";
import type { ResultCodeName } from "../results/codes.ts";
import { type Refusal, refuse } from "../results/refusal.ts";

/** Attempts per request, the first one included. */
export const maxDraftAttempts = 5;
/** Longest delay before a further attempt, in ms; the delay is drawn below it. */
const retryDelayMillis = 100;

/** Refusals after which another engine may serve the request. */
const reroutable: ReadonlySet<ResultCodeName> = new Set([
  "deadlineTooClose",
  "queueFull",
  "noEngine",
  "loadFailed",
  "notOwner",
  "engineRefused",
  "engineLost",
  "draining",
  "notReady",
  "peerLost",
  "crossedAnswer",
  "wrongAdapter",
]);

/** Where an attempt goes. */
export type DraftTarget = {
  readonly engine: EngineId;
  /** Expected wait for the first token, in ms. */
  readonly expectedWait: Millis;
};

/** What routing needs to know of earlier attempts. */
export type DraftHistory = {
  readonly tried: readonly EngineId[];
  readonly isolated: boolean;
  readonly resuming: boolean;
};

/** Functions that vary between policies and tests. */
export type DraftPolicies = {
  readonly choose: (history: DraftHistory) => Either<Refusal, DraftTarget>;
  /** Takes one attempt from the retry budget of the node, if any is left. */
  readonly takeRetry: () => boolean;
  readonly random: () => number;
};

/** State of one draft request at its entry node. */
export type DraftState = {
  readonly deadlineAt: Millis;
  readonly attempts: number;
  readonly tried: readonly EngineId[];
  readonly isolated: boolean;
  readonly delivered: number;
  readonly phase: "new" | "waiting" | "running" | "ended";
};

/** Message to a draft request. */
export type DraftEvent =
  | { readonly type: "start" }
  | { readonly type: "wake" }
  | { readonly type: "ended" }
  /** The current attempt ended early; the caller has `delivered` stream events. */
  | {
      readonly type: "refused";
      readonly refusal: Refusal;
      readonly delivered: number;
    }
  | { readonly type: "cancel" };

/** Order of the decision to the task of the request. */
export type DraftCommand =
  | {
      readonly type: "submit";
      readonly engine: EngineId;
      readonly resumeAt: number;
      readonly isolated: boolean;
    }
  | { readonly type: "cancel-attempt" }
  | { readonly type: "set-timer"; readonly at: Millis }
  | { readonly type: "finish" }
  | { readonly type: "fail"; readonly refusal: Refusal }
  | {
      readonly type: "record";
      readonly event: EventName;
      readonly detail: string;
    };

type DraftDecision = Decision<DraftState, DraftCommand>;

/** State of a request that has not been routed yet. */
export function createDraftState(options: {
  deadlineAt: Millis;
  isolated: boolean;
}): DraftState {
  return {
    deadlineAt: options.deadlineAt,
    isolated: options.isolated,
    attempts: 0,
    tried: [],
    delivered: 0,
    phase: "new",
  };
}

/** Builds the decision function of draft requests. */
export function createDraftDecision(policies: DraftPolicies) {
  return (state: DraftState, event: DraftEvent, now: Millis): DraftDecision => {
    if (state.phase === "ended") return { state, commands: [] };
    switch (event.type) {
      case "start":
      case "wake":
        return route(state, policies);
      case "ended":
        return end(state, [{ type: "finish" }]);
      case "cancel":
        return end(state, [{ type: "cancel-attempt" }]);
      case "refused":
        return handleRefusal(
          { ...state, delivered: event.delivered, phase: "waiting" },
          event.refusal,
          { policies, now },
        );
    }
  };
}

function route(state: DraftState, policies: DraftPolicies): DraftDecision {
  const choice = policies.choose({
    tried: state.tried,
    isolated: state.isolated,
    resuming: state.delivered > 0,
  });
  return choice.caseOf<DraftDecision>({
    Left: (refusal) => fail(state, refusal),
    Right: (target) => ({
      state: {
        ...state,
        phase: "running",
        attempts: state.attempts + 1,
        tried: [...state.tried, target.engine],
      },
      commands: [
        {
          type: "submit",
          engine: target.engine,
          resumeAt: state.delivered,
          isolated: state.isolated,
        },
      ],
    }),
  });
}

function handleRefusal(
  state: DraftState,
  refusal: Refusal,
  context: { policies: DraftPolicies; now: Millis },
): DraftDecision {
  const { policies, now } = context;
  if (!reroutable.has(refusal.code)) return fail(state, refusal);
  if (refusal.suspect && state.isolated) {
    const detail = "The engine crashed while the request ran alone on it";
    return fail(state, refuse("poisonRequest", detail));
  }
  if (state.delivered === 0 && now >= state.deadlineAt) {
    return fail(state, refusal);
  }
  if (state.attempts >= maxDraftAttempts) return fail(state, refusal);
  if (!policies.takeRetry()) {
    return fail(
      state,
      refuse("retryBudgetSpent", refusal.detail, { outcome: refusal.outcome }),
    );
  }
  const next = {
    ...state,
    isolated: state.isolated || refusal.suspect === true,
  };
  const record: DraftCommand = {
    type: "record",
    event: "requestResumed",
    detail: `attempt ${state.attempts} ended with ${refusal.code}: ${refusal.detail}`,
  };
  if (refusal.outcome === "not-run" || state.attempts === 1) {
    const decision = route(next, policies);
    return { state: decision.state, commands: [record, ...decision.commands] };
  }
  const delay = millis(policies.random() * retryDelayMillis * state.attempts);
  return {
    state: next,
    commands: [record, { type: "set-timer", at: millis(now + delay) }],
  };
}

/** Ends the request; an earlier attempt that may have run outweighs a later refusal. */
function fail(state: DraftState, refusal: Refusal): DraftDecision {
  const ran = state.delivered > 0 && refusal.outcome === "not-run";
  return end(state, [
    {
      type: "fail",
      refusal: ran ? { ...refusal, outcome: "may-have-run" } : refusal,
    },
  ]);
}

function end(state: DraftState, commands: DraftCommand[]): DraftDecision {
  return { state: { ...state, phase: "ended" }, commands };
}
