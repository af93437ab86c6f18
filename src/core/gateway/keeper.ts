import { type Millis, millis } from "../clock.ts";
import type { Decide, Decision } from "../decision.ts";
import type { EngineTraits } from "./configuration.ts";
import {
  confirmListed,
  contradicts,
  countCapacity,
  readPlaces,
  reportSkew,
} from "./engine_places.ts";
import { acquire, noteUse, refuseOverdue } from "./keeper_acquire.ts";
import {
  absorbAnswer,
  shortestLoadTime,
  unloadTime,
} from "./keeper_answers.ts";
import type {
  KeeperCommand,
  KeeperEvent,
  KeeperPolicies,
  KeeperState,
} from "./keeper_messages.ts";
import { chooseNextOrder } from "./keeper_orders.ts";
import { absorbStatus } from "./keeper_reports.ts";
import type { BackendServer } from "./servers.ts";

/** Time by which reports lag, and shortest time between two questions about loads, in ms. */
const reportDelay = 110;
const reportPause = 250;
/** Count of orders before the first report. */
const unknownCount = -1;
/** Shortest time between two questions that registrations raise, in ms. */
const questionPause = 4_000;

/** State of the owner of an engine that reports its contents. */
export function createKeeperState(options: {
  readonly traits: EngineTraits;
  readonly models: BackendServer["models"];
  readonly policies: KeeperPolicies;
  readonly now: Millis;
}): KeeperState {
  return {
    traits: options.traits,
    contents: readPlaces(options.models, options.now),
    policies: options.policies,
    orderCount: undefined,
    sending: undefined,
    unanswered: new Map(),
    highestCount: unknownCount,
    staleReports: 0,
    asking: false,
    askedAt: options.now,
    retryAt: options.now,
    mayOrder: false,
    coldLoadTime: shortestLoadTime,
    waiting: new Map(),
  };
}

/** Decides which orders one engine gets and when. */
export const decideKeeper: Decide<KeeperState, KeeperEvent, KeeperCommand> = (
  state,
  event,
  now,
): Decision<KeeperState, KeeperCommand> => {
  const commands: KeeperCommand[] = [];
  settleLoads(state, now);
  switch (event.type) {
    case "acquire":
      acquire(state, event, { now, commands });
      break;
    case "used":
      noteUse(state, event, now);
      break;
    case "answered":
      absorbAnswer(state, event, { now, commands });
      break;
    case "status":
      absorbStatus(state, event.status, now);
      break;
    case "registered":
      confirmListed(state.contents, event.models);
      // A registration may be older than the last orders, so it only raises the question.
      if (
        contradicts(state.contents, event.models, now) &&
        now > state.askedAt + questionPause
      ) {
        state.orderCount = undefined;
      }
      break;
    case "tick":
      state.mayOrder = event.mayOrder;
      break;
  }
  refuseOverdue(state, now, commands);
  advance(state, now, commands);
  return { state, commands };
};

/** Marks loads whose time has passed as complete; unloads that take too long raise a question. */
function settleLoads(state: KeeperState, now: Millis): void {
  for (const place of state.contents.places.values()) {
    if (place.readyAt > now) continue;
    if (place.phase === "loading") place.phase = "held";
    if (place.phase === "unloading") {
      place.readyAt = millis(now + unloadTime);
      state.orderCount = undefined;
    }
  }
}

/** Sends the next order unless one is under way. */
function advance(
  state: KeeperState,
  now: Millis,
  commands: KeeperCommand[],
): void {
  if (!state.mayOrder || state.sending !== undefined || state.asking) return;
  if (now < state.retryAt) return;
  if (state.orderCount === undefined || isReportDue(state, now)) {
    state.asking = true;
    state.askedAt = now;
    commands.push({ type: "ask-status" });
    return;
  }
  const order = chooseNextOrder(state, state.orderCount, now);
  if (order === undefined) return;
  state.sending = order;
  commands.push({ type: "order", order });
}

/** Whether loads that should be complete hold up others until a report confirms them. */
function isReportDue(state: KeeperState, now: Millis): boolean {
  if (state.waiting.size === 0) return false;
  if (now < state.askedAt + reportPause) return false;
  const { contents, traits } = state;
  const isFull = contents.places.size >= countCapacity(contents, traits);
  let overdue = 0;
  for (const { isConfirmed, missedAt, readyAt } of contents.places.values()) {
    if (missedAt !== undefined && now > missedAt + reportSkew) return true;
    if (!isConfirmed && now > readyAt + reportDelay) overdue++;
  }
  if (overdue === 0) return false;
  return isFull;
}
