import { type Millis, millis } from "../clock.ts";
import { mergeStatusReport } from "./engine_contents.ts";
import { conflictRetryDelay } from "./engine_controller_answers.ts";
import type {
  EngineControllerEvent,
  EngineControllerState,
} from "./engine_controller_messages.ts";

/** Reports in a row that may miss accepted orders before one is believed. */
const maxStaleReports = 8;
/** Time until the next report where two are needed, in ms. */
const nextReportPause = 250;

/** Takes over an engine's report, unless it misses orders that were accepted. */
export function applyStatus(
  state: EngineControllerState,
  status: Extract<EngineControllerEvent, { type: "status" }>["status"],
  now: Millis,
): void {
  state.isStatusRequested = false;
  if (status === undefined) {
    state.retryAt = millis(now + conflictRetryDelay);
    return;
  }
  // A report lags; one that misses accepted orders would free places that are taken.
  const isStale = status.orderCount < state.highestOrderCount;
  if (isStale && state.staleReports < maxStaleReports) {
    state.staleReports++;
    state.retryAt = millis(now + conflictRetryDelay);
    return;
  }
  state.staleReports = 0;
  // An order that this owner does not know of may have been carried out just now, and its adapter be in no list yet.
  const isSettled =
    status.orderCount === state.highestOrderCount ||
    explainsCount(state, status.orderCount);
  state.highestOrderCount = status.orderCount;
  settleUnanswered(state, status.orderCount, now);
  state.contents = mergeStatusReport(state.contents, status, now);
  if (!isSettled) {
    state.retryAt = millis(now + nextReportPause);
    return;
  }
  state.orderCount = status.orderCount;
}

/** Whether an order without an answer explains that the count has risen by one. */
function explainsCount(
  state: EngineControllerState,
  orderCount: number,
): boolean {
  if (orderCount !== state.highestOrderCount + 1) return false;
  return [...state.unansweredOrders.values()].some(
    ({ expectedCount }) => expectedCount + 1 === orderCount,
  );
}

/** A count that has moved on shows that an order without an answer was carried out or never will be. */
function settleUnanswered(
  state: EngineControllerState,
  orderCount: number,
  now: Millis,
): void {
  for (const [key, { expectedCount }] of state.unansweredOrders) {
    if (expectedCount === orderCount) continue;
    state.unansweredOrders.delete(key);
    const place = state.contents.adapterSlots.get(key);
    if (place === undefined) continue;
    // It may have been carried out since the last report, so only this report and the next ones free the place.
    place.missingSince = undefined;
    if (place.phase !== "unloading") continue;
    place.phase = "held";
    place.readyAt = now;
    place.isConfirmed = false;
  }
}
