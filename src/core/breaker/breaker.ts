import { type Millis, millis } from "../clock.ts";
import type { Decide } from "../decision.ts";

/** Consecutive failures after which calls are no longer sent. */
const failuresToOpen = 3;
/** Minimum and maximum delay between probes, in ms, before jitter. */
const minProbeDelay = 250;
const maxProbeDelay = 2000;
/** Time after an outage for which work is let through at a low rate. */
const recoveryDuration = millis(2000);

/** State of a circuit breaker. */
export type BreakerState = {
  readonly phase: "closed" | "open" | "recovering";
  /** Consecutive failures while closed, of probes while open. */
  readonly failures: number;
};

/** Event that a circuit breaker handles. */
export type BreakerEvent =
  | { readonly type: "succeeded" }
  | { readonly type: "failed" }
  | { readonly type: "probe-succeeded" }
  | { readonly type: "probe-failed" }
  /** The recovery time after an outage has passed. */
  | { readonly type: "recovered" };

/** Command that the breaker's owner carries out. */
export type BreakerCommand =
  | { readonly type: "probe-after"; readonly delay: Millis }
  | { readonly type: "recover-after"; readonly delay: Millis }
  | { readonly type: "outage-started" }
  | { readonly type: "outage-ended" };

/** Closed breaker without failures. */
export const closedBreaker: BreakerState = { phase: "closed", failures: 0 };

/** Decides when calls are sent; `random` adds jitter to the probes of many nodes. */
export function createBreakerDecision(
  random: () => number,
): Decide<BreakerState, BreakerEvent, BreakerCommand> {
  return (state, event) => {
    if (state.phase === "open") return decideOpen(state, event, random);
    if (event.type === "recovered") {
      return { state: { ...state, phase: "closed" }, commands: [] };
    }
    if (event.type === "succeeded") {
      return { state: { ...state, failures: 0 }, commands: [] };
    }
    if (event.type !== "failed") return { state, commands: [] };
    const failures = state.failures + 1;
    if (failures < failuresToOpen) {
      return { state: { ...state, failures }, commands: [] };
    }
    return {
      state: { phase: "open", failures: 0 },
      commands: [{ type: "outage-started" }, probeAfter(0, random)],
    };
  };
}

function decideOpen(
  state: BreakerState,
  event: BreakerEvent,
  random: () => number,
): ReturnType<Decide<BreakerState, BreakerEvent, BreakerCommand>> {
  if (event.type === "probe-succeeded") {
    return {
      state: { phase: "recovering", failures: 0 },
      commands: [
        { type: "outage-ended" },
        { type: "recover-after", delay: recoveryDuration },
      ],
    };
  }
  if (event.type !== "probe-failed") return { state, commands: [] };
  const failures = state.failures + 1;
  return {
    state: { ...state, failures },
    commands: [probeAfter(failures, random)],
  };
}

/** Doubles the delay up to its maximum and subtracts up to half of it at random. */
function probeAfter(failures: number, random: () => number): BreakerCommand {
  const full = Math.min(maxProbeDelay, minProbeDelay * 2 ** failures);
  return { type: "probe-after", delay: millis(full * (0.5 + random() / 2)) };
}
