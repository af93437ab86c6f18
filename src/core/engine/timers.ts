import { type Millis, millis } from "../clock.ts";
import { LOAD_DEADLINE } from "./loading.ts";
import { REPORT_DEADLINE } from "./reporting.ts";
import type { EngineState } from "./state.ts";
import type { Turn } from "./turn.ts";

/** Step to which wake times are rounded up, so that they are few, in ms. */
const TIMER_STEP = 10;

/** Sets the timer to the next time at which something falls due. */
export function setTimer(turn: Turn): void {
  const { state, now } = turn;
  const due = findNextDue(state, now);
  if (due === undefined) return;
  const at = millis(
    Math.ceil(Math.max(due, now + 1) / TIMER_STEP) * TIMER_STEP,
  );
  if (state.timerAt !== undefined && state.timerAt <= at) return;
  state.timerAt = at;
  turn.commands.push({ type: "set-timer", at });
}

function findNextDue(state: EngineState, now: Millis): number | undefined {
  let due = Number.POSITIVE_INFINITY;
  const consider = (at: number | undefined): void => {
    if (at !== undefined && at < due) due = at;
  };
  consider(state.queue.earliestDeadline);
  consider(state.report.nextAt);
  consider(state.ageCheckAt);
  consider(state.loadCheckAt);
  if (state.report.askedAt !== undefined) {
    consider(state.report.askedAt + REPORT_DEADLINE);
  }
  for (const slot of state.slots.values()) {
    if (slot.phase !== "loaded") consider(slot.since + LOAD_DEADLINE);
    else if (slot.evictableAt > now) consider(slot.evictableAt);
  }
  for (const { retryAt } of state.backoffs.values()) {
    if (retryAt > now) consider(retryAt);
  }
  const settledAt = state.ownership?.settledAt;
  if (settledAt !== undefined && settledAt > now) consider(settledAt);
  return due === Number.POSITIVE_INFINITY ? undefined : due;
}
