import { type Millis, millis } from "../clock.ts";
import type { Decide } from "../decision.ts";
import { type Refusal, refuse } from "../results/refusal.ts";
import { handleSession, handleWritten, writeClaim } from "./call_claim.ts";
import type {
  CallAnswer,
  CallCommand,
  CallEvent,
  CallState,
  SendFailure,
  SendResult,
} from "./call_messages.ts";
import {
  type CallDecision,
  close,
  describeFailure,
  finish,
  release,
  send,
} from "./call_send.ts";
import { outcomeGrace } from "./claim.ts";

/** Maximum number of sends per call, the first one included. */
export const maxSends = 3;
/** Upper bound of the random delay before a lookup's first retry, in ms; it grows with each send. */
const lookupRetryDelay = millis(50);
/** Response statuses of a server that cannot serve a lookup now. */
const overloadStatuses: ReadonlySet<number> = new Set([502, 503, 504]);

/** Initial state of a call. */
export function createCallState(
  options: Pick<
    CallState,
    "kind" | "requestId" | "deadlineAt" | "claim" | "wallOffset" | "hedgeAfter"
  >,
): CallState {
  return {
    ...options,
    phase: "new",
    claimVersion: "absent",
    existing: undefined,
    claimAttempts: 0,
    sends: 0,
    open: 0,
    hedged: false,
    fallback: undefined,
  };
}

/** Builds the decision function of booking calls. */
export function createCallDecision(
  random: () => number,
): Decide<CallState, CallEvent, CallCommand> {
  return (state, event, now) => {
    if (state.phase === "ended") return { state, commands: [] };
    switch (event.type) {
      case "start":
        return state.claim === undefined
          ? send(state, { now, budget: "none" })
          : writeClaim(state, "absent", now);
      case "written":
        return handleWritten(state, event.result, now);
      case "settled":
        return state.phase === "releasing"
          ? close(state, [])
          : { state, commands: [] };
      case "session":
        return handleSession(state, event.exists, now);
      case "result":
        return handleResult(state, event.result, { random, now });
      case "wake":
        return handleWake(state, now);
      case "stop":
        return handleStop(state, now);
    }
  };
}

function handleResult(
  before: CallState,
  result: SendResult,
  context: { random: () => number; now: Millis },
): CallDecision {
  const state = { ...before, open: before.open - 1 };
  if (state.kind === "lookup") return handleLookup(state, result, context);
  if (state.phase === "releasing") return { state, commands: [] };
  if (result.kind === "answer") return recordAnswer(state, result.answer);
  switch (result.kind) {
    case "broken":
    case "timeout":
    case "crossed":
      return recordUnknown(state, describeFailure(result));
    default:
      return handleNotSent(state, result, context.now);
  }
}

function recordAnswer(state: CallState, answer: CallAnswer): CallDecision {
  const commands: CallCommand[] = [];
  if (state.phase !== "answered") commands.push({ type: "answer", answer });
  if (state.claim !== undefined) {
    const { claim } = state;
    const version = state.claimVersion;
    commands.push({
      type: "settle",
      claim,
      version,
      state: "recorded",
      answer,
    });
  }
  return close(state, commands);
}

/** Ends a call whose outcome is unknown, and records that. */
function recordUnknown(state: CallState, refusal: Refusal): CallDecision {
  const commands: CallCommand[] = [
    { type: "record", event: "callOutcomeUnknown", detail: refusal.detail },
  ];
  if (state.phase !== "answered") commands.push({ type: "refuse", refusal });
  if (state.claim !== undefined) {
    const { claim, claimVersion: version } = state;
    commands.push({ type: "settle", claim, version, state: "unknown" });
  }
  return close(state, commands);
}

/** Handles a send that failed before any byte was sent: tries another server if allowed, otherwise releases the key. */
function handleNotSent(
  state: CallState,
  failure: SendFailure,
  now: Millis,
): CallDecision {
  const mayTry = ["not-sent", "leaving", "paused"].includes(failure.kind);
  if (mayTry && state.sends < maxSends && now < state.deadlineAt) {
    return send(state, { now, budget: "retry" });
  }
  return release(state, describeFailure(failure), now);
}

function handleLookup(
  state: CallState,
  result: SendResult,
  context: { random: () => number; now: Millis },
): CallDecision {
  const { now, random } = context;
  if (result.kind === "answer" && !overloadStatuses.has(result.answer.status)) {
    return close(state, [{ type: "answer", answer: result.answer }]);
  }
  // A hedge that is not allowed does not end the sends that are in flight.
  const isDenied = result.kind === "denied" || result.kind === "stopping";
  if (isDenied && state.open > 0) return { state, commands: [] };
  const fallback = chooseFallback(state, result);
  const next = { ...state, fallback };
  if (next.open > 0) return { state: next, commands: [] };
  const isExhausted =
    isDenied ||
    result.kind === "no-server" ||
    result.kind === "all-paused" ||
    now >= state.deadlineAt;
  if (isExhausted || state.sends >= maxSends) return finish(next, fallback);
  const delay = random() * lookupRetryDelay * state.sends;
  return {
    state: { ...next, phase: "waiting" },
    commands: [
      {
        type: "set-timer",
        at: millis(Math.min(now + delay, state.deadlineAt)),
      },
    ],
  };
}

/** Reply to the caller if no later send succeeds: a send that may have run takes precedence over one that did not. */
function chooseFallback(
  state: CallState,
  result: SendResult,
): CallAnswer | Refusal {
  if (result.kind === "answer") return result.answer;
  const { fallback } = state;
  const isReplaced =
    fallback === undefined ||
    ("code" in fallback && fallback.outcome === "not-run");
  return isReplaced ? describeFailure(result) : fallback;
}

function handleWake(state: CallState, now: Millis): CallDecision {
  if (state.phase === "releasing") return close(state, []);
  if (state.phase === "answered") {
    return now < state.deadlineAt + outcomeGrace
      ? { state, commands: [] }
      : recordUnknown(state, refuse("serviceTimeout", "No answer in time"));
  }
  if (now >= state.deadlineAt) return handleDeadline(state, now);
  if (state.kind !== "lookup") {
    return {
      state,
      commands: [{ type: "set-timer", at: state.deadlineAt }],
    };
  }
  if (state.phase === "waiting") return send(state, { now, budget: "retry" });
  if (state.phase !== "sending" || state.hedged || state.sends >= maxSends) {
    return { state, commands: [{ type: "set-timer", at: state.deadlineAt }] };
  }
  return send({ ...state, hedged: true }, { now, budget: "hedge" });
}

/** Ends the call as at its deadline; an answer that may still come is not awaited. */
function handleStop(before: CallState, now: Millis): CallDecision {
  const deadlineAt = millis(Math.min(before.deadlineAt, now));
  const state = { ...before, deadlineAt };
  const isSent = state.phase === "sending" || state.phase === "answered";
  if (state.kind === "lookup" || !isSent) return handleWake(state, now);
  const detail = "The node stopped before the service answered";
  return recordUnknown(state, refuse("serviceTimeout", detail));
}

function handleDeadline(state: CallState, now: Millis): CallDecision {
  const detail = "No answer before the deadline";
  const refusal = refuse("serviceTimeout", detail);
  if (state.kind === "lookup") {
    const { fallback, open } = state;
    const last: SendResult = { kind: "timeout", detail };
    return finish(
      state,
      fallback === undefined || open > 0
        ? chooseFallback(state, last)
        : fallback,
    );
  }
  if (state.kind === "once") return recordUnknown(state, refusal);
  if (state.phase !== "sending") return { state, commands: [] };
  // The caller is refused now; the answer is awaited until the grace ends, to record it.
  return {
    state: { ...state, phase: "answered" },
    commands: [
      { type: "refuse", refusal },
      {
        type: "set-timer",
        at: millis(Math.max(now, state.deadlineAt + outcomeGrace)),
      },
    ],
  };
}
