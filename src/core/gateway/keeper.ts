import { type Millis, millis } from "../clock.ts";
import type { Decide, Decision } from "../decision.ts";
import { formatPlaceKey, type PlaceKey } from "../ids.ts";
import type { EngineTraits } from "./configuration.ts";
import {
  confirmListed,
  contradicts,
  countCapacity,
  countLoading,
  type Place,
  readPlaces,
  replacePlaces,
  reportSkew,
} from "./engine_places.ts";
import type {
  KeeperCommand,
  KeeperEvent,
  KeeperPolicies,
  KeeperState,
} from "./keeper_messages.ts";
import { chooseNextOrder, maxLoading } from "./keeper_orders.ts";
import type { EngineOrder, OrderAnswer } from "./orders.ts";
import type { BackendServer } from "./servers.ts";

/** Shortest and longest expected time of an adapter load from the weight store, in ms. */
const shortestLoadTime = 265;
const longestLoadTime = 1_500;
/** Expected time of a load of an adapter that the engine held earlier, in ms. */
const warmLoadTime = 45;
/** Part of its excess that the expected load time loses with each load. */
const loadTimeDecay = 0.1;
/** Wait before the next try when an engine turns out not to have an adapter yet, in ms. */
const deniedWait = 110;
/** How long a request for an adapter may wait for room, in ms. */
const maxWaitForRoom = 600;
/** Requests for adapters that wait at one engine. */
const maxWaitingPlaces = 64;
/** Pause after an answer that calls for another try, in ms. */
const conflictPause = 120;
const rejectionPause = 500;
/** Reports in a row that may miss accepted orders before one is believed. */
const maxStaleReports = 8;
/** Time by which reports lag, and shortest time between two questions about loads, in ms. */
const reportDelay = 110;
const reportPause = 250;
/** Time between the first reports, in ms. */
const firstReportPause = 250;
/** Count of orders before the first report. */
const unknownCount = -1;
/** Shortest time between two questions that registrations raise, in ms. */
const questionPause = 4_000;
/** Time that an unload which waits for running requests may take, in ms. */
const unloadTime = 4_000;

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
    highestCount: unknownCount,
    staleReports: 0,
    isNew: true,
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

type Step = { readonly now: Millis; readonly commands: KeeperCommand[] };

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

function noteUse(
  state: KeeperState,
  { ran, awaited }: Extract<KeeperEvent, { type: "used" }>,
  now: Millis,
): void {
  const { places } = state.contents;
  for (const key of awaited) {
    const place = places.get(key);
    if (place !== undefined) place.usedAt = now;
  }
  for (const key of ran) {
    const place = places.get(key);
    if (place === undefined) continue;
    place.usedAt = now;
    if (place.phase !== "held") continue;
    place.isConfirmed = true;
    place.missedAt = undefined;
  }
}

function acquire(
  state: KeeperState,
  event: Extract<KeeperEvent, { type: "acquire" }>,
  { now, commands }: Step,
): void {
  const { ticket, key, model, adapter, version, wasDenied } = event;
  const place = state.contents.places.get(key);
  if (wasDenied && place !== undefined) absorbDenial(state, place, now);
  const isUsable =
    place !== undefined &&
    place.phase !== "unloading" &&
    place.version >= version;
  if (isUsable) {
    place.usedAt = now;
    const inMs = Math.max(0, place.readyAt - now);
    commands.push({ type: "reply", ticket, reply: { kind: "ready", inMs } });
    return;
  }
  const waiting = state.waiting.get(key);
  if (waiting !== undefined) {
    waiting.version = Math.max(waiting.version, version);
    waiting.tickets.push(ticket);
    return;
  }
  if (state.waiting.size >= maxWaitingPlaces) {
    const reply = { kind: "refused", reason: "full" } as const;
    commands.push({ type: "reply", ticket, reply });
    return;
  }
  const tickets = [ticket];
  state.waiting.set(key, { model, adapter, version, since: now, tickets });
}

/** The engine does not hold an adapter that was thought to be there. */
function absorbDenial(state: KeeperState, place: Place, now: Millis): void {
  if (place.phase !== "held") return;
  if (place.isConfirmed) {
    // Something else than a slow load took it away.
    state.orderCount = undefined;
    return;
  }
  const taken = now - place.orderedAt + deniedWait;
  state.coldLoadTime = Math.min(
    longestLoadTime,
    Math.max(state.coldLoadTime, taken),
  );
  place.phase = "loading";
  place.readyAt = millis(now + deniedWait);
}

function refuseOverdue(
  state: KeeperState,
  now: Millis,
  commands: KeeperCommand[],
): void {
  for (const [key, { since, tickets, model }] of state.waiting) {
    if (now < since + maxWaitForRoom) continue;
    state.waiting.delete(key);
    const reason = state.contents.models.has(model) ? "full" : "cold";
    for (const ticket of tickets) {
      const reply = { kind: "refused", reason } as const;
      commands.push({ type: "reply", ticket, reply });
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
  return isFull || countLoading(contents) >= maxLoading;
}

function absorbAnswer(
  state: KeeperState,
  { order, answer }: { order: EngineOrder; answer: OrderAnswer },
  step: Step,
): void {
  if (state.sending !== order) return;
  state.sending = undefined;
  switch (answer.kind) {
    case "accepted":
      countOrder(state, order);
      return applyOrder(state, { order, isDone: false }, step);
    case "done":
      // An unload that is done at once counts; a load that holds already does not.
      if (order.operation === "unload") countOrder(state, order);
      return applyOrder(state, { order, isDone: true }, step);
    case "lost":
      keepDoubtfulLoad(state, order, step.now);
      state.orderCount = undefined;
      state.retryAt = millis(step.now + conflictPause);
      return;
    case "unreachable":
      withdrawLoad(state, order);
      state.retryAt = millis(step.now + conflictPause);
      return;
    case "conflict":
      withdrawLoad(state, order);
      state.orderCount = undefined;
      state.retryAt = millis(step.now + conflictPause);
      return;
    case "rejected":
      withdrawLoad(state, order);
      state.orderCount = undefined;
      state.retryAt = millis(step.now + rejectionPause);
      return;
  }
}

function countOrder(state: KeeperState, order: EngineOrder): void {
  state.orderCount = order.expectedCount + 1;
  state.highestCount = state.orderCount;
}

function applyOrder(
  state: KeeperState,
  { order, isDone }: { order: EngineOrder; isDone: boolean },
  { now, commands }: Step,
): void {
  const { contents } = state;
  const { model, adapter } = order;
  if (adapter === undefined) {
    const traits = state.traits.models.find(({ name }) => name === model);
    const loadTime = isDone ? 0 : (traits?.loadTime ?? 0);
    if (order.operation === "load") {
      contents.models.set(model, millis(now + loadTime));
    } else {
      contents.models.delete(model);
    }
    return;
  }
  const key = formatPlaceKey(model, adapter);
  if (order.operation === "load") {
    return finishLoad(state, { order, key, isDone }, { now, commands });
  }
  const place = contents.places.get(key);
  if (place === undefined) return;
  contents.earlier.add(key);
  if (isDone) contents.places.delete(key);
  else place.readyAt = millis(now + unloadTime);
}

/** The place of an accepted load counts whether or not anyone still waits for it. */
function finishLoad(
  state: KeeperState,
  load: { order: EngineOrder; key: PlaceKey; isDone: boolean },
  { now, commands }: Step,
): void {
  const { order, key, isDone } = load;
  const place = state.contents.places.get(key);
  if (place === undefined) return;
  const loadTime = isDone ? 0 : estimateLoadTime(state, key);
  place.phase = isDone ? "held" : "loading";
  place.readyAt = millis(now + loadTime);
  place.usedAt = place.readyAt;
  place.orderedAt = now;
  place.isConfirmed = isDone;
  place.version = Math.max(place.version, order.version ?? 0);
  const waiting = state.waiting.get(key);
  if (waiting === undefined || place.version < waiting.version) return;
  state.waiting.delete(key);
  for (const ticket of waiting.tickets) {
    const reply = { kind: "ready", inMs: loadTime } as const;
    commands.push({ type: "reply", ticket, reply });
  }
}

/** Frees the place of a load that the engine has not accepted. */
function withdrawLoad(state: KeeperState, order: EngineOrder): void {
  const { model, adapter, operation } = order;
  if (adapter === undefined || operation !== "load") return;
  const key = formatPlaceKey(model, adapter);
  const place = state.contents.places.get(key);
  if (place !== undefined && place.readyAt === Number.POSITIVE_INFINITY) {
    state.contents.places.delete(key);
  }
}

/** An order without an answer may still be carried out; its place stays until reports miss it. */
function keepDoubtfulLoad(
  state: KeeperState,
  order: EngineOrder,
  now: Millis,
): void {
  if (order.adapter === undefined || order.operation !== "load") return;
  const key = formatPlaceKey(order.model, order.adapter);
  const place = state.contents.places.get(key);
  if (place !== undefined && place.readyAt === Number.POSITIVE_INFINITY) {
    place.readyAt = millis(now + state.coldLoadTime);
  }
}

/** Expected time of a load; an excess learned under contention fades with each load. */
function estimateLoadTime(state: KeeperState, key: PlaceKey): number {
  if (state.contents.earlier.has(key)) return warmLoadTime;
  const excess = state.coldLoadTime - shortestLoadTime;
  state.coldLoadTime = shortestLoadTime + excess * (1 - loadTimeDecay);
  return state.coldLoadTime;
}

function absorbStatus(
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
}
