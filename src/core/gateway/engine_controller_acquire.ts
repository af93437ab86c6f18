import { type Millis, millis } from "../clock.ts";
import { parseModelAdapterKey } from "../ids.ts";
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
import { isModelLeaving } from "./engine_controller_models.ts";
import {
  listPendingLoads,
  maxConcurrentLoads,
} from "./engine_controller_orders.ts";
import {
  compareLoadTurns,
  createLoadTurn,
  joinLoadTurns,
  type LoadTurn,
} from "./load_urgency.ts";
import { recordUnmetDemand } from "./model_placement.ts";

/** Maximum expected time of an adapter load from the weight store, in ms. */
const maxColdLoadTime = 1_500;
/** Maximum time that one denial shows to be the usual one of a load, in ms; more is contention. */
const maxUsualLoadTime = 600;
/** Delay before the next attempt after an engine answered that it does not hold an adapter yet, in ms. */
const deniedRetryDelay = 110;
/** Maximum time that a request for an adapter waits for a slot, in ms. */
const maxSlotWait = 600;
/** Expected wait for a slot while all adapters are in use, in ms. */
const expectedSlotWait = 250;
/** Maximum number of adapters whose loads are pending at one engine. */
const maxPendingLoads = 64;

/** Time of an event and the commands that it produces. */
export type EventContext = {
  readonly now: Millis;
  readonly commands: EngineControllerCommand[];
};

/** Records which adapters the requests of a node have used or are queued for. */
export function recordUse(
  state: EngineControllerState,
  {
    node,
    ran,
    queuedAdapters,
  }: Extract<EngineControllerEvent, { type: "used" }>,
  now: Millis,
): void {
  for (const key of [...ran, ...queuedAdapters]) {
    state.modelDemand.lastUsedAt.set(parseModelAdapterKey(key).model, now);
  }
  const running = new Set(ran);
  const needed = new Set([...ran, ...queuedAdapters]);
  for (const [key, slot] of state.contents.adapterSlots) {
    recordSlotUse(slot, { node, isUsing: needed.has(key) }, now);
    if (slot.phase !== "held" || !running.has(key)) continue;
    slot.isConfirmed = true;
    slot.missingSince = undefined;
  }
}

/** Promises an adapter, or keeps the request pending until its load is ordered. */
export function acquireAdapter(
  state: EngineControllerState,
  event: Extract<EngineControllerEvent, { type: "acquire" }>,
  { now, commands }: EventContext,
): void {
  const { ticket, key, model, adapter, version, wasDenied } = event;
  const slot = state.contents.adapterSlots.get(key);
  if (wasDenied && slot !== undefined) applyDenial(state, slot, now);
  const isUsable =
    slot !== undefined &&
    slot.phase !== "unloading" &&
    !isModelLeaving(state, model) &&
    Number.isFinite(slot.readyAt) &&
    slot.version >= version;
  if (isUsable) {
    slot.usedAt = now;
    slot.isReleased = false;
    const inMs = Math.max(0, slot.readyAt - now);
    commands.push({ type: "reply", ticket, reply: { kind: "ready", inMs } });
    return;
  }
  if (isModelLeaving(state, model)) {
    const reply = { kind: "refused", reason: "cold" } as const;
    commands.push({ type: "reply", ticket, reply });
    return;
  }
  if (!state.contents.models.has(model))
    recordUnmetDemand(state.modelDemand, { model, requests: 1 }, now);
  const turn = createLoadTurn(event.urgency, now);
  const pending = state.waiting.get(key);
  if (pending !== undefined) {
    pending.version = Math.max(pending.version, version);
    pending.turn = joinLoadTurns(pending.turn, turn);
    pending.tickets.push(ticket);
    return;
  }
  const isBusy = estimateStart(state, turn, now) > event.patience;
  if (isBusy || !makeRoomForLoad(state, turn, { now, commands })) {
    const reply = { kind: "refused", reason: "busy" } as const;
    commands.push({ type: "reply", ticket, reply });
    return;
  }
  const load = { model, adapter, version, since: now, turn };
  state.waiting.set(key, { ...load, tickets: [ticket] });
}

/** Makes room among the pending loads for a more urgent one; false if it is the least urgent. */
function makeRoomForLoad(
  state: EngineControllerState,
  turn: LoadTurn,
  { now, commands }: EventContext,
): boolean {
  if (state.waiting.size < maxPendingLoads) return true;
  const [key, last] = listPendingLoads(state, now).at(-1) ?? [];
  if (key === undefined || last === undefined) return true;
  if (compareLoadTurns(turn, last.turn, now) >= 0) return false;
  state.waiting.delete(key);
  for (const ticket of last.tickets) {
    const reply = { kind: "refused", reason: "busy" } as const;
    commands.push({ type: "reply", ticket, reply });
  }
  return true;
}

/** Expected time until a load with this turn may begin, in ms. */
function estimateStart(
  state: EngineControllerState,
  turn: LoadTurn,
  now: Millis,
): number {
  const { contents, traits, policies } = state;
  const loading = [...contents.adapterSlots.values()].filter(
    ({ phase, readyAt }) => phase === "loading" && readyAt > now,
  );
  const ends = loading
    // The engine has not answered an order yet whose load ends at no known time.
    .map(({ readyAt }) => Math.min(readyAt - now, state.coldLoadTime))
    .sort((a, b) => a - b);
  const ordered = new Set(loading.map(({ key }) => key));
  const before = listPendingLoads(state, now).filter(
    ([key, pending]) =>
      !ordered.has(key) && compareLoadTurns(pending.turn, turn, now) <= 0,
  );
  const ahead = before.length + 1 + ends.length - maxConcurrentLoads;
  const isFull =
    contents.adapterSlots.size >= countAdapterCapacity(contents, traits);
  const victim = isFull
    ? policies.chooseVictim(contents.adapterSlots.values(), now)
    : undefined;
  const slotWait = isFull && victim === undefined ? expectedSlotWait : 0;
  if (ahead <= 0) return slotWait;
  const firstStart = ends[Math.min(ahead, ends.length) - 1] ?? 0;
  const rounds = Math.floor((ahead - 1) / maxConcurrentLoads);
  return Math.max(slotWait, firstStart + rounds * state.coldLoadTime);
}

/** Handles an engine's answer that it does not hold an adapter although its slot is marked as held. */
function applyDenial(
  state: EngineControllerState,
  slot: AdapterSlot,
  now: Millis,
): void {
  if (slot.phase !== "held") return;
  if (slot.isConfirmed) {
    // The adapter had been confirmed, so a slow load is not the cause.
    state.orderCount = undefined;
    return;
  }
  if (!state.contents.previouslyHeld.has(slot.key)) {
    const elapsed = now - slot.orderedAt;
    state.usualLoadTime = Math.max(
      state.usualLoadTime,
      Math.min(maxUsualLoadTime, elapsed),
    );
    state.coldLoadTime = Math.min(
      maxColdLoadTime,
      Math.max(state.coldLoadTime, elapsed + deniedRetryDelay),
    );
  }
  slot.phase = "loading";
  slot.readyAt = millis(now + deniedRetryDelay);
}

/** Refuses requests that waited too long for a slot, so that they try another engine. */
export function refuseOverdueRequests(
  state: EngineControllerState,
  now: Millis,
  commands: EngineControllerCommand[],
): void {
  for (const [key, { since, tickets, model }] of state.waiting) {
    if (now < since + maxSlotWait) continue;
    state.waiting.delete(key);
    const reason = state.contents.models.has(model) ? "full" : "cold";
    for (const ticket of tickets) {
      const reply = { kind: "refused", reason } as const;
      commands.push({ type: "reply", ticket, reply });
    }
  }
}
