import { type Millis, millis } from "../clock.ts";
import { replacePlaces } from "./engine_places.ts";
import { conflictPause } from "./keeper_answers.ts";
import type { KeeperEvent, KeeperState } from "./keeper_messages.ts";

/** Reports in a row that may miss accepted orders before one is believed. */
const maxStaleReports = 8;
/** Time between the first reports, in ms. */
const firstReportPause = 250;

/** Takes over an engine's report, unless it misses orders that were accepted. */
export function absorbStatus(
  state: KeeperState,
  status: Extract<KeeperEvent, { type: "status" }>["status"],
  now: Millis,
): void {
  state.asking = false;
  if (status === undefined) {
    state.retryAt = millis(now + conflictPause);
    return;
  }
  // A report lags; one that misses accepted orders would free places that are taken.
  const isStale = status.orderCount < state.highestCount;
  if (isStale && state.staleReports < maxStaleReports) {
    state.staleReports++;
    state.retryAt = millis(now + conflictPause);
    return;
  }
  state.staleReports = 0;
  const isSettled = status.orderCount === state.highestCount;
  state.highestCount = status.orderCount;
  state.contents = replacePlaces(state.contents, status, now);
  if (state.isNew && !isSettled) {
    state.retryAt = millis(now + firstReportPause);
    return;
  }
  state.isNew = false;
  state.orderCount = status.orderCount;
  settleUnanswered(state, status.orderCount, now);
}

/** A count that has moved on shows that an order without an answer was carried out or never will be. */
function settleUnanswered(
  state: KeeperState,
  orderCount: number,
  now: Millis,
): void {
  for (const [key, { expectedCount }] of state.unanswered) {
    if (expectedCount === orderCount) continue;
    state.unanswered.delete(key);
    const place = state.contents.places.get(key);
    if (place?.phase !== "unloading") continue;
    // The next reports free the place unless they list the adapter.
    place.phase = "held";
    place.readyAt = now;
    place.isConfirmed = false;
  }
}
