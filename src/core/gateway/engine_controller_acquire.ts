import { type Millis, millis } from "../clock.ts";
import {
  type AdapterSlot,
  countAdapterCapacity,
  recordSlotUse,
} from "./engine_contents.ts";
import type {
  EngineControllerCommand,
  EngineControllerEvent,
  EngineControllerState,
} from "./engine_controller_messages.ts";
import { maxConcurrentLoads } from "./engine_controller_orders.ts";

/** Longest expected time of an adapter load from the weight store, in ms. */
const longestLoadTime = 1_500;
/** Wait before the next try when an engine turns out not to have an adapter yet, in ms. */
const deniedWait = 110;
/** How long a request for an adapter may wait for room, in ms. */
const maxWaitForRoom = 600;
/** Expected wait for room where every adapter is in use, in ms. */
const roomWait = 250;
/** Requests for adapters that wait at one engine. */
const maxWaitingPlaces = 64;

/** Time of an event and the commands that it leads to. */
export type ControllerStep = {
  readonly now: Millis;
  readonly commands: EngineControllerCommand[];
};

/** Notes which adapters the requests of a node need or ran on. */
export function recordUse(
  state: EngineControllerState,
  {
    node,
    ran,
    queuedAdapters,
  }: Extract<EngineControllerEvent, { type: "used" }>,
  now: Millis,
): void {
  const running = new Set(ran);
  const needed = new Set([...ran, ...queuedAdapters]);
  for (const [key, place] of state.contents.adapterSlots) {
    recordSlotUse(place, { node, isUsing: needed.has(key) }, now);
    if (place.phase !== "held" || !running.has(key)) continue;
    place.isConfirmed = true;
    place.missingSince = undefined;
  }
}

/** Promises an adapter, or lets the request wait until its load is ordered. */
export function acquireAdapter(
  state: EngineControllerState,
  event: Extract<EngineControllerEvent, { type: "acquire" }>,
  { now, commands }: ControllerStep,
): void {
  const { ticket, key, model, adapter, version, wasDenied } = event;
  const place = state.contents.adapterSlots.get(key);
  if (wasDenied && place !== undefined) absorbDenial(state, place, now);
  const isUsable =
    place !== undefined &&
    place.phase !== "unloading" &&
    Number.isFinite(place.readyAt) &&
    place.version >= version;
  if (isUsable) {
    place.usedAt = now;
    place.isReleased = false;
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
  const isBusy = estimateStart(state, now) > event.patience;
  if (isBusy || state.waiting.size >= maxWaitingPlaces) {
    const reply = { kind: "refused", reason: "busy" } as const;
    commands.push({ type: "reply", ticket, reply });
    return;
  }
  const tickets = [ticket];
  state.waiting.set(key, { model, adapter, version, since: now, tickets });
}

/** Expected time until the load of one more adapter may begin, in ms. */
function estimateStart(state: EngineControllerState, now: Millis): number {
  const { contents, traits, waiting, policies } = state;
  const ends = [...contents.adapterSlots.values()]
    .filter(({ phase, readyAt }) => phase === "loading" && readyAt > now)
    .map(({ readyAt }) => readyAt - now)
    .sort((a, b) => a - b);
  const ahead = waiting.size + 1 + ends.length - maxConcurrentLoads;
  const isFull =
    contents.adapterSlots.size >= countAdapterCapacity(contents, traits);
  const victim = isFull
    ? policies.chooseVictim(contents.adapterSlots.values(), now)
    : undefined;
  const forRoom = isFull && victim === undefined ? roomWait : 0;
  if (ahead <= 0) return forRoom;
  const turn = ends[Math.min(ahead, ends.length) - 1] ?? 0;
  const laps = Math.floor((ahead - 1) / maxConcurrentLoads);
  return Math.max(forRoom, turn + laps * state.coldLoadTime);
}

/** The engine does not hold an adapter that was thought to be there. */
function absorbDenial(
  state: EngineControllerState,
  place: AdapterSlot,
  now: Millis,
): void {
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

/** Tells requests that waited for room too long to look elsewhere. */
export function refuseOverdueRequests(
  state: EngineControllerState,
  now: Millis,
  commands: EngineControllerCommand[],
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
