import { type Millis, millis } from "../clock.ts";
import type { Decide, Decision } from "../decision.ts";
import type { LeaseId, NodeId, RequestId } from "../ids.ts";
import type { EventName } from "../observe/events.ts";
import type { ResultCodeName } from "../results/codes.ts";
import { type Refusal, refuse } from "../results/refusal.ts";
import {
  type Claim,
  judgeClaim,
  outcomeGrace,
  parseClaim,
  type RecordedAnswer,
} from "./claim.ts";
import type { FoundRow, WriteResult } from "./writer.ts";

/** Longest wait for a claim to be recorded, in ms. */
export const claimPatience = millis(2_000);
/** Sends of one call, the first one included. */
export const maxSends = 3;
/** Claims found under the key that one call looks at. */
export const maxClaimRounds = 3;
/** Longest wait for a release to be recorded before the caller is told, in ms. */
export const releasePatience = millis(500);
/** `Retry-After` of a refusal that a second attempt may overcome, in ms. */
const retryAfter = millis(1_000);
/** Longest delay before a failed lookup is sent again, in ms. */
const lookupRetryDelay = millis(50);
/** Statuses with which a server says that it cannot serve a lookup now. */
const overloadStatuses: ReadonlySet<number> = new Set([502, 503, 504]);

/** `lookup`: may be repeated. `once`: no key, sent once. `keyed`: sent once under a claim. */
export type CallKind = "lookup" | "once" | "keyed";

/** Answer of a booking service. */
export type CallAnswer = {
  readonly status: number;
  readonly contentType: string | undefined;
  readonly body: Uint8Array;
};

/** Why a send brought no answer; up to `denied` no byte of the call has left. */
export type SendFailureKind =
  | "not-sent"
  | "leaving"
  | "no-server"
  /** The deadline passed before the send. */
  | "too-late"
  /** The session lease of the claim ended before the send. */
  | "no-lease"
  /** The retry or hedge budget is spent. */
  | "denied"
  | "broken"
  | "timeout"
  | "crossed";

/** What became of one send. */
export type SendResult =
  | { readonly kind: "answer"; readonly answer: CallAnswer }
  | { readonly kind: SendFailureKind; readonly detail: string };

/** State of one booking call at the node that it reached. */
export type CallState = {
  readonly kind: CallKind;
  readonly requestId: RequestId;
  readonly deadlineAt: Millis;
  readonly phase:
    | "new"
    | "claiming"
    | "judging"
    | "marking"
    | "sending"
    | "waiting"
    | "releasing"
    | "answered"
    | "ended";
  /** Claim of this call; only for keyed calls. */
  readonly claim: Claim | undefined;
  /** Wall-clock time minus node time, in ms. */
  readonly wallOffset: number;
  /** Time after which a lookup is sent to a second server, in ms. */
  readonly hedgeAfter: Millis;
  /** Another call's claim that is being judged. */
  readonly found:
    | { readonly version: number; readonly claim: Claim }
    | undefined;
  readonly claimRounds: number;
  readonly sends: number;
  readonly open: number;
  readonly hedged: boolean;
  /** What the caller is told when nothing better arrives. */
  readonly fallback: CallAnswer | Refusal | undefined;
};

/** Message to a booking call. */
export type CallEvent =
  | { readonly type: "start" }
  /** Result of a claim or of a mark on another call's claim. */
  | { readonly type: "written"; readonly result: WriteResult }
  /** The release of the claim is recorded or has become pointless. */
  | { readonly type: "settled" }
  /** Whether the claimant's session exists; undefined when the table gave no answer. */
  | { readonly type: "session"; readonly exists: boolean | undefined }
  | { readonly type: "result"; readonly result: SendResult }
  | { readonly type: "wake" };

/** Order of the decision to the task of the call. */
export type CallCommand =
  | {
      readonly type: "write";
      readonly claim: Claim;
      readonly version: number | "absent";
      readonly giveUpAt: Millis;
    }
  | {
      readonly type: "settle";
      readonly claim: Claim;
      readonly state: "recorded" | "unknown" | "released";
      readonly answer?: CallAnswer;
    }
  | {
      readonly type: "ask-session";
      readonly node: NodeId;
      readonly lease: LeaseId;
    }
  | {
      readonly type: "send";
      /** Time after which the answer is not awaited any more. */
      readonly awaitUntil: Millis;
      /** Time at or after which the call must not be sent. */
      readonly sendBefore: Millis;
      /** Lease that must be usable when the call is sent. */
      readonly lease: LeaseId | undefined;
      readonly budget: "none" | "retry" | "hedge";
    }
  | { readonly type: "answer"; readonly answer: CallAnswer }
  | { readonly type: "replay"; readonly answer: RecordedAnswer }
  | { readonly type: "refuse"; readonly refusal: Refusal }
  | { readonly type: "set-timer"; readonly at: Millis }
  | { readonly type: "end" }
  | {
      readonly type: "record";
      readonly event: EventName;
      readonly detail: string;
    };

type CallDecision = Decision<CallState, CallCommand>;

/** State of a call that has just arrived. */
export function createCallState(
  options: Pick<
    CallState,
    "kind" | "requestId" | "deadlineAt" | "claim" | "wallOffset" | "hedgeAfter"
  >,
): CallState {
  return {
    ...options,
    phase: "new",
    found: undefined,
    claimRounds: 0,
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
    }
  };
}

function writeClaim(
  state: CallState,
  version: number | "absent",
  now: Millis,
): CallDecision {
  if (state.claim === undefined) return { state, commands: [] };
  if (state.claimRounds >= maxClaimRounds) {
    return finish(state, refuse("callInProgress", "The key is contended"));
  }
  const giveUpAt = millis(Math.min(state.deadlineAt, now + claimPatience));
  return {
    state: {
      ...state,
      phase: "claiming",
      claimRounds: state.claimRounds + 1,
    },
    commands: [{ type: "write", claim: state.claim, version, giveUpAt }],
  };
}

function handleWritten(
  state: CallState,
  result: WriteResult,
  now: Millis,
): CallDecision {
  if (state.phase === "marking") return handleMarked(state, result, now);
  if (state.phase !== "claiming") return { state, commands: [] };
  switch (result.kind) {
    case "written":
      return send(state, {
        now,
        budget: "none",
        record: { type: "record", event: "callClaimed", detail: "" },
      });
    case "conflict":
      return judge(state, result.current, now);
    case "failed": {
      const refusal = refuse(
        "claimUnavailable",
        "The table service does not answer",
        { retryAfter },
      );
      if (!result.maybeApplied) return finish(state, refusal);
      // The table may hold the claim although nothing was sent.
      return release(state, refusal, now);
    }
  }
}

/** Looks at the row that stands in the way of the claim. */
function judge(state: CallState, row: FoundRow, now: Millis): CallDecision {
  if (row === undefined) return writeClaim(state, "absent", now);
  const claim = parseClaim(row.value);
  if (claim === undefined || state.claim === undefined) {
    return finish(state, refuse("outcomeUnknown", "The claim is unreadable"));
  }
  const wallNow = millis(now + state.wallOffset);
  const verdict = judgeClaim(claim, { body: state.claim.body, wallNow });
  const judged = { ...state, found: { version: row.version, claim } };
  switch (verdict.kind) {
    case "replay":
      return close(state, [
        { type: "replay", answer: verdict.answer },
        { type: "record", event: "callReplayed", detail: claim.requestId },
      ]);
    case "key-reused":
      return finish(state, refuse("keyReused", "The body differs"));
    case "unknown":
      return finish(state, describeUnknown(claim));
    case "reclaim":
      return writeClaim(state, row.version, now);
    case "expired":
      return markUnknown(judged, now);
    case "ask-session":
      return {
        state: { ...judged, phase: "judging" },
        commands: [
          { type: "ask-session", node: verdict.node, lease: claim.lease },
        ],
      };
  }
}

function describeUnknown(claim: Claim): Refusal {
  return refuse(
    "outcomeUnknown",
    `The call was sent, if at all, as request ${claim.requestId}`,
  );
}

function handleSession(
  state: CallState,
  exists: boolean | undefined,
  now: Millis,
): CallDecision {
  if (state.phase !== "judging") return { state, commands: [] };
  if (exists === false) return markUnknown(state, now);
  return finish(state, describeInProgress(state));
}

function describeInProgress(state: CallState): Refusal {
  const id = state.found?.claim.requestId ?? "unknown";
  return refuse("callInProgress", `Request ${id} has the key`, { retryAfter });
}

/**
 * Writes the mark before the caller is told, so that a claimant that comes
 * back cannot release the key for another run.
 */
function markUnknown(state: CallState, now: Millis): CallDecision {
  const { found } = state;
  if (found === undefined) return { state, commands: [] };
  const giveUpAt = millis(Math.min(state.deadlineAt, now + claimPatience));
  const claim: Claim = { ...found.claim, state: "unknown" };
  return {
    state: { ...state, phase: "marking" },
    commands: [{ type: "write", claim, version: found.version, giveUpAt }],
  };
}

function handleMarked(
  state: CallState,
  result: WriteResult,
  now: Millis,
): CallDecision {
  switch (result.kind) {
    case "written":
      return state.found === undefined
        ? { state, commands: [] }
        : finish(state, describeUnknown(state.found.claim));
    case "conflict":
      return state.claimRounds < maxClaimRounds
        ? judge(
            { ...state, claimRounds: state.claimRounds + 1 },
            result.current,
            now,
          )
        : finish(state, describeInProgress(state));
    case "failed":
      return finish(state, describeInProgress(state));
  }
}

function send(
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
      return handleUnsent(state, result, context.now);
  }
}

function recordAnswer(state: CallState, answer: CallAnswer): CallDecision {
  const commands: CallCommand[] = [];
  if (state.phase !== "answered") commands.push({ type: "answer", answer });
  if (state.claim !== undefined) {
    const { claim } = state;
    commands.push({ type: "settle", claim, state: "recorded", answer });
  }
  return close(state, commands);
}

/** Ends a call whose outcome nobody knows. */
function recordUnknown(state: CallState, refusal: Refusal): CallDecision {
  const commands: CallCommand[] = [
    { type: "record", event: "callOutcomeUnknown", detail: refusal.detail },
  ];
  if (state.phase !== "answered") commands.push({ type: "refuse", refusal });
  if (state.claim !== undefined) {
    commands.push({ type: "settle", claim: state.claim, state: "unknown" });
  }
  return close(state, commands);
}

/** No byte has left: another server may be tried, else the key is released. */
function handleUnsent(
  state: CallState,
  failure: { kind: SendFailureKind; detail: string },
  now: Millis,
): CallDecision {
  const mayTry = failure.kind === "not-sent" || failure.kind === "leaving";
  if (mayTry && state.sends < maxSends && now < state.deadlineAt) {
    return send(state, { now, budget: "retry" });
  }
  return release(state, describeFailure(failure), now);
}

/** Lets the key run again, and tells the caller once that is recorded. */
function release(
  state: CallState,
  refusal: Refusal,
  now: Millis,
): CallDecision {
  if (state.claim === undefined) return finish(state, refusal);
  return {
    state: { ...state, phase: "releasing", fallback: refusal },
    commands: [
      { type: "settle", claim: state.claim, state: "released" },
      { type: "set-timer", at: millis(now + releasePatience) },
    ],
  };
}

const failureCodes: Record<SendFailureKind, ResultCodeName> = {
  "not-sent": "serviceUnreachable",
  leaving: "serviceUnreachable",
  "no-server": "serviceUnreachable",
  "too-late": "deadlinePassed",
  "no-lease": "claimUnavailable",
  denied: "serviceUnreachable",
  broken: "serviceBroken",
  timeout: "serviceTimeout",
  crossed: "crossedAnswer",
};

function describeFailure(failure: {
  kind: SendFailureKind;
  detail: string;
}): Refusal {
  const code = failureCodes[failure.kind];
  return refuse(code, failure.detail, { retryAfter });
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
  // A refused hedge says nothing about the sends that are still open.
  const isDenied = result.kind === "denied";
  if (isDenied && state.open > 0) return { state, commands: [] };
  const fallback =
    result.kind === "answer"
      ? result.answer
      : (state.fallback ?? describeFailure(result));
  const next = { ...state, fallback };
  if (next.open > 0) return { state: next, commands: [] };
  const spent =
    isDenied || result.kind === "no-server" || now >= state.deadlineAt;
  if (spent || state.sends >= maxSends) return finish(next, fallback);
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

function handleDeadline(state: CallState, now: Millis): CallDecision {
  const refusal = refuse("serviceTimeout", "No answer before the deadline");
  if (state.kind === "lookup") {
    return finish(state, state.fallback ?? refusal);
  }
  if (state.kind === "once") return recordUnknown(state, refusal);
  if (state.phase !== "sending") return { state, commands: [] };
  // The caller is told; the answer is awaited a little longer to record it.
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

function finish(state: CallState, last: CallAnswer | Refusal): CallDecision {
  return close(state, [
    "status" in last
      ? { type: "answer", answer: last }
      : { type: "refuse", refusal: last },
  ]);
}

/** Ends the call; a refusal that waited for its release is told now. */
function close(state: CallState, commands: CallCommand[]): CallDecision {
  const told: CallCommand[] = [];
  if (state.phase === "releasing" && state.fallback !== undefined) {
    told.push(
      "status" in state.fallback
        ? { type: "answer", answer: state.fallback }
        : { type: "refuse", refusal: state.fallback },
    );
  }
  return {
    state: { ...state, phase: "ended" },
    commands: [...told, ...commands, { type: "end" }],
  };
}
