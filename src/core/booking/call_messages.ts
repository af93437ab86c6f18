import type { Millis } from "../clock.ts";
import type { LeaseId, NodeId, RequestId } from "../ids.ts";
import type { EventName } from "../observe/events.ts";
import type { Refusal } from "../results/refusal.ts";
import type { Claim, RecordedAnswer } from "./claim.ts";
import type { WriteResult } from "./writer_messages.ts";

/** `lookup`: may be repeated. `once`: no key, sent once. `keyed`: sent once under a claim. */
export type CallKind = "lookup" | "once" | "keyed";

/** Answer of a booking service. */
export type CallAnswer = {
  readonly status: number;
  readonly contentType: string | undefined;
  readonly body: Uint8Array;
};

/** Reason why a send got no answer; up to `denied`, no byte of the call was sent. */
export type SendFailureKind =
  | "not-sent"
  | "leaving"
  /** The server asked for a pause. */
  | "paused"
  | "no-server"
  /** Every server has asked for a pause. */
  | "all-paused"
  /** The deadline passed before the send. */
  | "too-late"
  /** The session lease of the claim ended before the send. */
  | "no-lease"
  /** The call may end after the exit of the node. */
  | "stopping"
  /** The retry or hedge budget is spent. */
  | "denied"
  | "broken"
  | "timeout"
  | "crossed";

/** Result of one send. */
export type SendResult =
  | { readonly kind: "answer"; readonly answer: CallAnswer }
  | SendFailure;

/** Send without an answer. */
export type SendFailure = {
  readonly kind: SendFailureKind;
  readonly detail: string;
  /** Time after which the caller may return, in ms, if it is known. */
  readonly retryAfter?: Millis;
};

/** State of one booking call at the node that received it. */
export type CallState = {
  readonly kind: CallKind;
  readonly requestId: RequestId;
  readonly deadlineAt: Millis;
  readonly phase:
    | "new"
    | "claiming"
    | "checking-session"
    | "marking"
    | "sending"
    | "waiting"
    | "releasing"
    | "answered"
    | "ended";
  /** Claim of this call; only for keyed calls. */
  readonly claim: Claim | undefined;
  /**
   * Version that the claim row has after the claim; `absent` while it is not
   * known whether the claim took effect.
   */
  readonly claimVersion: number | "absent";
  /** Wall-clock time minus node time, in ms. */
  readonly wallOffset: number;
  /** Time after which a lookup is sent to a second server, in ms. */
  readonly hedgeAfter: Millis;
  /** Claim of another call under the same key. */
  readonly existing:
    | { readonly version: number; readonly claim: Claim }
    | undefined;
  readonly claimAttempts: number;
  readonly sends: number;
  readonly open: number;
  readonly hedged: boolean;
  /** Reply to the caller if no later send succeeds. */
  readonly fallback: CallAnswer | Refusal | undefined;
};

/** Event that a booking call handles. */
export type CallEvent =
  | { readonly type: "start" }
  /** Result of writing a claim or of marking another call's claim. */
  | { readonly type: "written"; readonly result: WriteResult }
  /** The release of the claim was recorded or no longer applies. */
  | { readonly type: "settled" }
  /** Whether the claimant's session exists; undefined when the table gave no answer. */
  | { readonly type: "session"; readonly exists: boolean | undefined }
  | { readonly type: "result"; readonly result: SendResult }
  | { readonly type: "wake" }
  /** The node stops and cannot wait for the answer. */
  | { readonly type: "stop" };

/** Command that the call's task carries out. */
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
      readonly version: number | "absent";
      readonly state: "recorded" | "unknown" | "released";
      readonly answer?: CallAnswer;
    }
  | {
      readonly type: "check-session";
      readonly node: NodeId;
      readonly lease: LeaseId;
    }
  | {
      readonly type: "send";
      /** Time after which the answer is no longer awaited. */
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
