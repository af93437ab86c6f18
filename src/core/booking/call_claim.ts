import { type Millis, millis } from "../clock.ts";
import { type Refusal, refuse } from "../results/refusal.ts";
import type { CallState } from "./call_messages.ts";
import {
  type CallDecision,
  close,
  finish,
  release,
  retryAfter,
  send,
} from "./call_send.ts";
import { type Claim, evaluateClaim, parseClaim } from "./claim.ts";
import type { FoundRow, WriteResult } from "./writer_messages.ts";

/** Time limit for writing a claim, in ms; the call is refused after it. */
export const claimWriteTimeout = millis(2_000);
/** Attempts of one call to claim its key; beyond them the key counts as contended. */
export const maxClaimAttempts = 3;

/** Records the claim before the first byte is sent. */
export function writeClaim(
  state: CallState,
  version: number | "absent",
  now: Millis,
): CallDecision {
  if (state.claim === undefined) return { state, commands: [] };
  if (state.claimAttempts >= maxClaimAttempts) {
    return finish(state, refuse("callInProgress", "The key is contended"));
  }
  const giveUpAt = millis(Math.min(state.deadlineAt, now + claimWriteTimeout));
  return {
    state: {
      ...state,
      phase: "claiming",
      claimAttempts: state.claimAttempts + 1,
    },
    commands: [{ type: "write", claim: state.claim, version, giveUpAt }],
  };
}

/** Handles the result of writing a claim, or of marking another call's claim as unknown. */
export function handleWritten(
  state: CallState,
  result: WriteResult,
  now: Millis,
): CallDecision {
  if (state.phase === "marking") return handleMarkWritten(state, result, now);
  if (state.phase !== "claiming") return { state, commands: [] };
  switch (result.kind) {
    case "written":
      return send(
        { ...state, claimVersion: result.version },
        {
          now,
          budget: "none",
          record: { type: "record", event: "callClaimed", detail: "" },
        },
      );
    case "conflict":
      return handleExistingClaim(state, result.current, now);
    case "failed": {
      const refusal = refuse(
        "claimUnavailable",
        "The table service does not answer",
        { retryAfter },
      );
      if (!result.maybeApplied) return finish(state, refusal);
      // The table may hold the claim although the call was not sent.
      return release(state, refusal, now);
    }
  }
}

/** Decides what follows from the row that is already stored under the key. */
function handleExistingClaim(
  state: CallState,
  row: FoundRow,
  now: Millis,
): CallDecision {
  if (row === undefined) return writeClaim(state, "absent", now);
  const claim = parseClaim(row.value);
  if (claim === undefined || state.claim === undefined) {
    return finish(
      state,
      refuse("outcomeUnknown", "The claim row is malformed"),
    );
  }
  const wallNow = millis(now + state.wallOffset);
  const evaluation = evaluateClaim(claim, { body: state.claim.body, wallNow });
  const next = { ...state, existing: { version: row.version, claim } };
  switch (evaluation.kind) {
    case "replay":
      return close(state, [
        { type: "replay", answer: evaluation.answer },
        { type: "record", event: "callReplayed", detail: claim.requestId },
      ]);
    case "key-reused":
      return finish(
        state,
        refuse(
          "keyReused",
          "The key was used with another method, path or body",
        ),
      );
    case "unknown":
      return finish(state, describeUnknown(claim));
    case "reclaim":
      return writeClaim(state, row.version, now);
    case "expired":
      return markUnknown(next, now);
    case "check-session":
      return {
        state: { ...next, phase: "checking-session" },
        commands: [
          { type: "check-session", node: evaluation.node, lease: claim.lease },
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

/** Handles the result of looking up the claimant's session. */
export function handleSession(
  state: CallState,
  exists: boolean | undefined,
  now: Millis,
): CallDecision {
  if (state.phase !== "checking-session") return { state, commands: [] };
  if (exists === false) return markUnknown(state, now);
  return finish(state, describeInProgress(state));
}

function describeInProgress(state: CallState): Refusal {
  const id = state.existing?.claim.requestId ?? "unknown";
  return refuse("callInProgress", `Request ${id} holds the key`, {
    retryAfter,
  });
}

/**
 * Marks the claim as unknown before the caller is refused, so that a claimant
 * that recovers cannot release the key for another run.
 */
function markUnknown(state: CallState, now: Millis): CallDecision {
  const { existing } = state;
  if (existing === undefined) return { state, commands: [] };
  const giveUpAt = millis(Math.min(state.deadlineAt, now + claimWriteTimeout));
  const claim: Claim = { ...existing.claim, state: "unknown" };
  return {
    state: { ...state, phase: "marking" },
    commands: [{ type: "write", claim, version: existing.version, giveUpAt }],
  };
}

function handleMarkWritten(
  state: CallState,
  result: WriteResult,
  now: Millis,
): CallDecision {
  switch (result.kind) {
    case "written":
      return state.existing === undefined
        ? { state, commands: [] }
        : finish(state, describeUnknown(state.existing.claim));
    case "conflict":
      return state.claimAttempts < maxClaimAttempts
        ? handleExistingClaim(
            { ...state, claimAttempts: state.claimAttempts + 1 },
            result.current,
            now,
          )
        : finish(state, describeInProgress(state));
    case "failed":
      return finish(state, describeInProgress(state));
  }
}
