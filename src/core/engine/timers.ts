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

const NEVER = Number.POSITIVE_INFINITY;

function findNextDue(state: EngineState, now: Millis): number | undefined {
  const { report, queue, ownership } = state;
  let due = Math.min(
    queue.earliestDeadline,
    report.nextAt ?? NEVER,
    state.ageCheckAt ?? NEVER,
    state.loadCheckAt ?? NEVER,
    report.askedAt === undefined ? NEVER : report.askedAt + REPORT_DEADLINE,
    ifLater(ownership?.settledAt, now),
  );
  for (const slot of state.slots.values()) {
    const at =
      slot.phase === "loaded"
        ? ifLater(slot.evictableAt, now)
        : slot.since + LOAD_DEADLINE;
    due = Math.min(due, at);
  }
  for (const { retryAt } of state.backoffs.values()) {
    due = Math.min(due, ifLater(retryAt, now));
  }
  return due === NEVER ? undefined : due;
}

function ifLater(at: Millis | undefined, now: Millis): number {
  return at !== undefined && at > now ? at : NEVER;
}
