import type { Either, Maybe } from "purify-ts";
import type { Millis } from "../clock.ts";
import type { EngineId } from "../ids.ts";
import type { EventName } from "../observe/events.ts";
import type { Refusal } from "../results/refusal.ts";

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
  /** Second engine for a request that has waited this long without a token, if it is worth the extra work. */
  readonly hedge: (history: DraftHistory, waited: Millis) => Maybe<DraftTarget>;
  /** Takes one attempt from the retry budget of the node, if any is left. */
  readonly takeRetry: () => boolean;
  readonly random: () => number;
};

/** Number of an attempt within its request, from 1. */
export type AttemptNumber = number;

/** An attempt that has not ended. */
export type Attempt = {
  readonly number: AttemptNumber;
  readonly startedAt: Millis;
  readonly expectedWait: Millis;
};

/** State of one draft request at its entry node. */
export type DraftState = {
  readonly deadlineAt: Millis;
  /** Attempts made; numbers them. */
  readonly attempts: number;
  /** Attempts that ended early although they reached an owner. */
  readonly failures: number;
  /** Time since which no engine could be reached. */
  readonly blockedSince: Millis | undefined;
  readonly open: readonly Attempt[];
  readonly tried: readonly EngineId[];
  readonly isolated: boolean;
  /** Stream events that the caller has. */
  readonly delivered: number;
  /** An ended attempt may have reached a back end. */
  readonly mayHaveRun: boolean;
  readonly phase: "waiting" | "running" | "streaming" | "ended";
};

/** Message to a draft request. */
export type DraftEvent =
  | { readonly type: "start" }
  | { readonly type: "wake" }
  /** The first chunk of an attempt; later chunks of other attempts are dropped. */
  | { readonly type: "first-token"; readonly attempt: AttemptNumber }
  | { readonly type: "ended" }
  /** An attempt ended early; the caller has `delivered` stream events. */
  | {
      readonly type: "refused";
      readonly attempt: AttemptNumber;
      readonly refusal: Refusal;
      readonly delivered: number;
    }
  | { readonly type: "cancel" };

/** Order of the decision to the task of the request. */
export type DraftCommand =
  | {
      readonly type: "submit";
      readonly attempt: AttemptNumber;
      readonly engine: EngineId;
      readonly expectedWait: Millis;
      readonly resumeAt: number;
      readonly isolated: boolean;
    }
  | { readonly type: "cancel-attempt"; readonly attempt: AttemptNumber }
  | { readonly type: "set-timer"; readonly at: Millis }
  | { readonly type: "finish" }
  | { readonly type: "fail"; readonly refusal: Refusal }
  | {
      readonly type: "record";
      readonly event: EventName;
      readonly detail: string;
    };
