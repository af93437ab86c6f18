import { type Millis, millis } from "../clock.ts";
import type { EventContext } from "./context.ts";
import { LOAD_TIMEOUT } from "./loading.ts";
import { REPORT_TIMEOUT } from "./reports.ts";
import type { EngineState } from "./state.ts";

/** Step to which wake times are rounded up to limit their number, in ms. */
const TIMER_STEP = 10;

/** Sets the timer to the next time at which the decision has work to do. */
export function setTimer(context: EventContext): void {
  const { state, now } = context;
  const due = findNextDue(state, now);
  if (due === undefined) return;
  const at = millis(
    Math.ceil(Math.max(due, now + 1) / TIMER_STEP) * TIMER_STEP,
  );
  if (state.timerAt !== undefined && state.timerAt <= at) return;
  state.timerAt = at;
  context.commands.push({ type: "set-timer", at });
}

const NEVER = Number.POSITIVE_INFINITY;

function findNextDue(state: EngineState, now: Millis): number | undefined {
  const { report, queue, ownership } = state;
  let due = Math.min(
    queue.earliestDeadline,
    report.nextAt ?? NEVER,
    state.ageCheckAt ?? NEVER,
    state.loadCheckAt ?? NEVER,
    report.requestedAt === undefined
      ? NEVER
      : report.requestedAt + REPORT_TIMEOUT,
    ifLater(ownership?.settledAt, now),
  );
  for (const slot of state.slots.values()) {
    const at =
      slot.phase === "loaded"
        ? ifLater(slot.evictableAt, now)
        : slot.since + LOAD_TIMEOUT;
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
