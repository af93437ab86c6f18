import type { Either, Maybe } from "purify-ts";
import type { Millis } from "../clock.ts";
import type { EngineId } from "../ids.ts";
import type { EventName } from "../observe/events.ts";
import type { Refusal } from "../results/refusal.ts";

/** Engine for an attempt. */
export type DraftTarget = {
  readonly engine: EngineId;
  /** Expected wait for the first token, in ms. */
  readonly expectedWait: Millis;
};

/** Earlier attempts of a request, as seen by routing. */
export type DraftHistory = {
  readonly tried: readonly EngineId[];
  readonly isolated: boolean;
  readonly resuming: boolean;
};

/** Policies of a draft request. */
export type DraftPolicies = {
  readonly choose: (history: DraftHistory) => Either<Refusal, DraftTarget>;
  /** Chooses a second engine for a request that has waited this long without a token, if the hedge is worth its cost. */
  readonly hedge: (history: DraftHistory, waited: Millis) => Maybe<DraftTarget>;
  /** Takes one retry from the budget of the node, if any is left. */
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
  /** Number of attempts so far; numbers the next one. */
  readonly attempts: number;
  /** Number of attempts that reached an owner and failed. */
  readonly failures: number;
  /** Time since which no engine has been reachable. */
  readonly blockedSince: Millis | undefined;
  readonly open: readonly Attempt[];
  readonly tried: readonly EngineId[];
  readonly isolated: boolean;
  /** Number of stream events that the caller has received. */
  readonly delivered: number;
  /** An attempt that ended may have reached a back end. */
  readonly mayHaveRun: boolean;
  readonly phase: "waiting" | "running" | "streaming" | "ended";
};

/** Event that a draft request handles. */
export type DraftEvent =
  | { readonly type: "start" }
  | { readonly type: "wake" }
  /** The first chunk of an attempt; later chunks of other attempts are dropped. */
  | { readonly type: "first-token"; readonly attempt: AttemptNumber }
  | { readonly type: "ended" }
  /** An attempt failed; the caller has received `delivered` stream events. */
  | {
      readonly type: "refused";
      readonly attempt: AttemptNumber;
      readonly refusal: Refusal;
      readonly delivered: number;
    }
  | { readonly type: "cancel" }
  /** The node stops and cannot wait for the answer. */
  | { readonly type: "stop" };

/** Command that the task of a draft request carries out. */
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
