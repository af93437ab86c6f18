import { type Millis, millis } from "../clock.ts";
import { type EventContext, recordEvent } from "./context.ts";
import { type HealthSample, observeHealth } from "./health.ts";
import type { EngineState, RunningStream } from "./state.ts";

/** Time between checks for stalled requests, in ms. */
const AGE_CHECK_PERIOD = 250;

/** Time in ms without progress from which a stream that has tokens counts as stalled; progress is reported once a second. */
const PROGRESS_PERIOD = 1_000;

/** Updates the health of the engine and records a change of its state. */
export function recordHealthSample(
  context: EventContext,
  sample: HealthSample,
): void {
  const { state, now } = context;
  const previous = state.health.state;
  state.health = observeHealth(state.health, { sample, now });
  if (state.health.state === previous) return;
  const { kind, value } = sample;
  const detail = `${kind} ${Math.round(value)} ms`;
  const slow = state.health.state === "slow";
  recordEvent(context, slow ? "engineSlow" : "engineRecovered", { detail });
}

/** Observes the mean gap between the tokens that a stream produced since its last progress. */
export function observeProgress(
  context: EventContext,
  { running, tokens }: { running: RunningStream; tokens: number },
): void {
  const added = tokens - running.tokens;
  if (running.firstTokenAt === undefined || added <= 0) return;
  const value = (context.now - running.lastProgressAt) / added;
  recordHealthSample(context, { kind: "token-gap", value });
}

/** Periodically observes the longest time that a running request has made no progress. */
export function checkRequestAges(context: EventContext): void {
  const { state, now } = context;
  if (state.running.size === 0) {
    state.ageCheckAt = undefined;
    return;
  }
  state.ageCheckAt ??= millis(now + AGE_CHECK_PERIOD);
  if (now < state.ageCheckAt) return;
  state.ageCheckAt = millis(now + AGE_CHECK_PERIOD);
  const value = findOldestAge(state, now);
  if (value > 0) recordHealthSample(context, { kind: "age", value });
}

function findOldestAge(state: EngineState, now: Millis): number {
  let oldest = 0;
  for (const running of state.running.values()) {
    const allowance = running.firstTokenAt === undefined ? 0 : PROGRESS_PERIOD;
    const age = now - running.lastProgressAt - allowance;
    if (age > oldest) oldest = age;
  }
  return oldest;
}
