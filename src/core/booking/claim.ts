import { type Millis, millis } from "../clock.ts";
import type {
  AttemptToken,
  Digest,
  LeaseId,
  NodeId,
  RequestId,
  RowKey,
  ServiceName,
} from "../ids.ts";
import { brandString } from "../ids.ts";

/** Retention of outcomes, in ms; a caller may repeat a key for this long. */
export const claimRetention = millis(7 * 24 * 3_600_000);
/** Time after a caller's deadline for which the outcome is still awaited, in ms. */
export const outcomeGrace = millis(10_000);
/** Tolerated difference between the wall clocks of two nodes, in ms. */
export const clockTolerance = millis(5_000);
/** Maximum size of an answer body that is stored with an outcome, in bytes before encoding. */
export const maxRecordedBytes = 16 * 1024;

/**
 * State of a claim row. `claimed`: the call may be sent or running.
 * `recorded`: ran, with its answer. `unknown`: may have run. `released`: not
 * sent, so the same key may run.
 */
export type ClaimState = "claimed" | "recorded" | "unknown" | "released";

/** Answer of a booking service as it is stored with the outcome. */
export type RecordedAnswer = {
  readonly status: number;
  readonly contentType: string | null;
  /** Body in base64; null when it was too long to keep. */
  readonly body: string | null;
};

/** Value of the row `claim/SERVICE/DIGEST`. */
export type Claim = {
  readonly state: ClaimState;
  /** Digest of method, path and body of the call. */
  readonly body: Digest;
  readonly node: NodeId;
  readonly lease: LeaseId;
  /** Request id that the booking service sees. */
  readonly requestId: RequestId;
  /** Identifies the claim through all writes of the row. */
  readonly token: AttemptToken;
  /** Identifies this write of the row, so that a lost answer can be resolved. */
  readonly write: AttemptToken;
  /** Wall-clock time in ms after which no node awaits the answer any more. */
  readonly expiresAt: number;
  /** Wall-clock time in ms of this write, for retention. */
  readonly writtenAt: number;
  readonly answer?: RecordedAnswer;
};

/** Key of the claim row of one idempotency key. */
export function formatClaimKey(service: ServiceName, digest: Digest): RowKey {
  return brandString(`claim/${service}/${digest}`);
}

/** Reads the value of a claim row; undefined when it is not a claim. */
export function parseClaim(value: unknown): Claim | undefined {
  if (typeof value !== "object" || value === null) return undefined;
  const claim = value as Record<string, unknown>;
  const strings = ["state", "body", "node", "lease", "requestId", "token"];
  const isComplete =
    strings.every((field) => typeof claim[field] === "string") &&
    typeof claim.write === "string" &&
    typeof claim.expiresAt === "number" &&
    typeof claim.writtenAt === "number" &&
    (claim.state !== "recorded" || typeof claim.answer === "object");
  return isComplete ? (value as Claim) : undefined;
}

/** What a call does about a claim that is stored under its key. */
export type ClaimEvaluation =
  | { readonly kind: "replay"; readonly answer: RecordedAnswer }
  | { readonly kind: "key-reused" }
  | { readonly kind: "unknown" }
  /** The claim was not used; it may be replaced. */
  | { readonly kind: "reclaim" }
  /** No node awaits the answer any more. */
  | { readonly kind: "expired" }
  /** Depends on whether the claimant's session still exists. */
  | { readonly kind: "check-session"; readonly node: NodeId };

/** Evaluates a claim stored under the key of a call with this body. */
export function evaluateClaim(
  claim: Claim,
  call: { body: Digest; wallNow: Millis },
): ClaimEvaluation {
  if (claim.body !== call.body) return { kind: "key-reused" };
  switch (claim.state) {
    case "recorded":
      return claim.answer === undefined
        ? { kind: "unknown" }
        : { kind: "replay", answer: claim.answer };
    case "released":
      return { kind: "reclaim" };
    case "claimed":
      return call.wallNow > claim.expiresAt + clockTolerance
        ? { kind: "expired" }
        : { kind: "check-session", node: claim.node };
    default:
      return { kind: "unknown" };
  }
}

/** Whether the row is older than the retention. */
export function isExpiredClaim(claim: Claim, wallNow: Millis): boolean {
  return wallNow > claim.writtenAt + claimRetention + clockTolerance;
}
