import { type Millis, millis } from "../clock.ts";
import { mergeStatusReport } from "./engine_contents.ts";
import { conflictRetryDelay } from "./engine_controller_answers.ts";
import type {
  EngineControllerEvent,
  EngineControllerState,
} from "./engine_controller_messages.ts";
import { resolveUnansweredModel } from "./engine_controller_models.ts";

/** Consecutive reports without all accepted orders after which such a report is applied. */
const maxStaleReports = 8;
/** Delay until the next report where two are needed, in ms. */
const nextReportDelay = 250;

/** Applies an engine's status report, unless it does not reflect all accepted orders. */
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
  // Reports lag; one without all accepted orders would free slots that are taken.
  const isStale = status.orderCount < state.highestOrderCount;
  if (isStale && state.staleReports < maxStaleReports) {
    state.staleReports++;
    state.retryAt = millis(now + conflictRetryDelay);
    return;
  }
  state.staleReports = 0;
  // An order unknown to this controller may just have been carried out; its adapter may not be listed yet.
  const isCountExplained =
    status.orderCount === state.highestOrderCount ||
    explainsCount(state, status.orderCount);
  state.highestOrderCount = status.orderCount;
  resolveUnansweredModel(state, status.orderCount, now);
  resolveUnanswered(state, status.orderCount, now);
  state.contents = mergeStatusReport(state.contents, status, now);
  if (!isCountExplained) {
    state.retryAt = millis(now + nextReportDelay);
    return;
  }
  state.orderCount = status.orderCount;
}

/** Whether an order without an answer explains that the order count is higher by one. */
function explainsCount(
  state: EngineControllerState,
  orderCount: number,
): boolean {
  if (orderCount !== state.highestOrderCount + 1) return false;
  if (state.unansweredModel?.expectedCount === state.highestOrderCount)
    return true;
  return [...state.unansweredOrders.values()].some(
    ({ expectedCount }) => expectedCount + 1 === orderCount,
  );
}

/** Resolves the orders without an answer: a changed order count shows that each was carried out or never will be. */
function resolveUnanswered(
  state: EngineControllerState,
  orderCount: number,
  now: Millis,
): void {
  for (const [key, { expectedCount }] of state.unansweredOrders) {
    if (expectedCount === orderCount) continue;
    state.unansweredOrders.delete(key);
    const slot = state.contents.adapterSlots.get(key);
    if (slot === undefined) continue;
    // The order may have been carried out since the last report, so only this report and later ones can free the slot.
    slot.missingSince = undefined;
    if (slot.phase !== "unloading") continue;
    slot.phase = "held";
    slot.readyAt = now;
    slot.isConfirmed = false;
  }
}
