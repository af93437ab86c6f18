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

/** Longest wait for a claim to be recorded, in ms. */
export const claimWriteTimeout = millis(2_000);
/** Claims found under the key that one call looks at. */
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

/** Goes on after a claim or a mark was written, or was not. */
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
      // The table may hold the claim although nothing was sent.
      return release(state, refusal, now);
    }
  }
}

/** Looks at the row that stands in the way of the claim. */
function handleExistingClaim(
  state: CallState,
  row: FoundRow,
  now: Millis,
): CallDecision {
  if (row === undefined) return writeClaim(state, "absent", now);
  const claim = parseClaim(row.value);
  if (claim === undefined || state.claim === undefined) {
    return finish(state, refuse("outcomeUnknown", "The claim is unreadable"));
  }
  const wallNow = millis(now + state.wallOffset);
  const verdict = evaluateClaim(claim, { body: state.claim.body, wallNow });
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

/** Goes on once it is known whether the claimant's session exists. */
export function handleSession(
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
  const giveUpAt = millis(Math.min(state.deadlineAt, now + claimWriteTimeout));
  const claim: Claim = { ...found.claim, state: "unknown" };
  return {
    state: { ...state, phase: "marking" },
    commands: [{ type: "write", claim, version: found.version, giveUpAt }],
  };
}

function handleMarkWritten(
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
