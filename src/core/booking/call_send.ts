import { type Millis, millis } from "../clock.ts";
import type { Decision } from "../decision.ts";
import type { ResultCodeName } from "../results/codes.ts";
import { type Refusal, refuse } from "../results/refusal.ts";
import type {
  CallAnswer,
  CallCommand,
  CallState,
  SendFailure,
  SendFailureKind,
} from "./call_messages.ts";
import { outcomeGrace } from "./claim.ts";

/** Time limit for recording a release, in ms; the caller is refused after it in any case. */
export const releaseWriteTimeout = millis(500);
/** `Retry-After` of refusals after which a retry may succeed, in ms. */
export const retryAfter = millis(1_000);

/** Next state of a booking call and the commands for its task. */
export type CallDecision = Decision<CallState, CallCommand>;

/** Sends the call to one more server. */
export function send(
  state: CallState,
  options: {
    now: Millis;
    budget: "none" | "retry" | "hedge";
    record?: CallCommand;
  },
): CallDecision {
  const grace = state.kind === "keyed" ? outcomeGrace : 0;
  const awaitUntil = millis(state.deadlineAt + grace);
  const hedgeAt =
    state.kind === "lookup" && !state.hedged
      ? options.now + state.hedgeAfter
      : state.deadlineAt;
  return {
    state: {
      ...state,
      phase: "sending",
      sends: state.sends + 1,
      open: state.open + 1,
    },
    commands: [
      ...(options.record === undefined ? [] : [options.record]),
      {
        type: "send",
        awaitUntil,
        sendBefore: state.deadlineAt,
        lease: state.claim?.lease,
        budget: options.budget,
      },
      {
        type: "set-timer",
        at: millis(Math.min(hedgeAt, state.deadlineAt)),
      },
    ],
  };
}

/** Releases the key for another run, and refuses the call once that is recorded. */
export function release(
  state: CallState,
  refusal: Refusal,
  now: Millis,
): CallDecision {
  if (state.claim === undefined) return finish(state, refusal);
  return {
    state: { ...state, phase: "releasing", fallback: refusal },
    commands: [
      {
        type: "settle",
        claim: state.claim,
        version: state.claimVersion,
        state: "released",
      },
      { type: "set-timer", at: millis(now + releaseWriteTimeout) },
    ],
  };
}

const failureCodes: Record<SendFailureKind, ResultCodeName> = {
  "not-sent": "serviceUnreachable",
  leaving: "serviceUnreachable",
  paused: "serversPaused",
  "no-server": "serviceUnreachable",
  "all-paused": "serversPaused",
  "too-late": "deadlinePassed",
  "no-lease": "claimUnavailable",
  stopping: "draining",
  denied: "serviceUnreachable",
  broken: "serviceBroken",
  timeout: "serviceTimeout",
  crossed: "crossedAnswer",
};

/** Refusal of a call after a failed send. */
export function describeFailure(failure: SendFailure): Refusal {
  const code = failureCodes[failure.kind];
  return refuse(code, failure.detail, {
    retryAfter: failure.retryAfter ?? retryAfter,
  });
}

/** Ends the call with its answer or refusal. */
export function finish(
  state: CallState,
  last: CallAnswer | Refusal,
): CallDecision {
  return close(state, [
    "status" in last
      ? { type: "answer", answer: last }
      : { type: "refuse", refusal: last },
  ]);
}

/** Ends the call; a refusal that waited for the release of the claim is sent now. */
export function close(state: CallState, commands: CallCommand[]): CallDecision {
  const replies: CallCommand[] = [];
  if (state.phase === "releasing" && state.fallback !== undefined) {
    replies.push(
      "status" in state.fallback
        ? { type: "answer", answer: state.fallback }
        : { type: "refuse", refusal: state.fallback },
    );
  }
  return {
    state: { ...state, phase: "ended" },
    commands: [...replies, ...commands, { type: "end" }],
  };
}
