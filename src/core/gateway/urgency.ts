import { type Millis, millis } from "../clock.ts";
import type { RequestWork } from "./request_work.ts";

/** Usual pace of an engine, in prompt tokens per ms, for requests whose engine is not chosen yet. */
const promptTokensPerMs = 14;
/** Work of one answer token, in prompt tokens. */
const answerTokenWork = 10;
/** Usual time to load an adapter, in ms. */
const adapterLoadTime = 320;

/** What decides when a waiting request is served; times are those of this node's clock. */
export type Urgency = {
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly arrivedAt: Millis;
  /** Time by which the answer, or the first event of a stream, earns full credit. */
  readonly target: Millis;
  /** Expected time from the send to that answer or event. */
  readonly answerTime: Millis;
  /** Expected time for which the request occupies a server. */
  readonly workTime: Millis;
};

/** What the urgency of a request follows from. */
export type UrgencyFacts = {
  readonly priority: number;
  readonly arrivedAt: Millis;
  readonly targetLatency: Millis;
  readonly work: RequestWork;
  /** The adapter has to be loaded first. */
  readonly isAdapterMissing: boolean;
  /** The target holds for the first event, not for the whole answer. */
  readonly isStream: boolean;
};

/** Describes the urgency of a request. */
export function describeUrgency(facts: UrgencyFacts): Urgency {
  const { priority, arrivedAt, targetLatency, work } = facts;
  const load = facts.isAdapterMissing ? adapterLoadTime : 0;
  const prompt = work.promptTokens / promptTokensPerMs;
  const answer = (work.answerTokens * answerTokenWork) / promptTokensPerMs;
  return {
    priority,
    arrivedAt,
    target: millis(arrivedAt + targetLatency),
    answerTime: millis(load + prompt + (facts.isStream ? 0 : answer)),
    workTime: millis(load + prompt + answer),
  };
}

/** Whether a request that is sent now can still be answered within its target latency. */
export function isInTime(
  { target, answerTime }: Urgency,
  now: Millis,
): boolean {
  return now + answerTime <= target;
}

/**
 * Time by which requests of one priority are ordered; the earliest goes first.
 * Work delays a request by at most the target latency, and so does a target that
 * it cannot meet any more. Younger requests therefore overtake it for a limited
 * time, however many there are.
 */
export function findTurn(urgency: Urgency, now: Millis): Millis {
  const { arrivedAt, target, workTime } = urgency;
  const targetLatency = target - arrivedAt;
  const workDelay = Math.min(workTime, targetLatency);
  const lateDelay = isInTime(urgency, now) ? 0 : targetLatency;
  return millis(arrivedAt + workDelay + lateDelay);
}

/** Orders requests by priority, then by their turns; negative if `a` goes first. */
export function compareUrgency(a: Urgency, b: Urgency, now: Millis): number {
  return (
    a.priority - b.priority ||
    findTurn(a, now) - findTurn(b, now) ||
    a.arrivedAt - b.arrivedAt
  );
}
