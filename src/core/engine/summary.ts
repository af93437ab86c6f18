import { type Millis, millis } from "../clock.ts";
import type { AdapterKey } from "../ids.ts";
import { blockedLoadWait, type EngineView } from "../routing/view.ts";
import { estimateLoadStart } from "./load_demand.ts";
import type { EngineState } from "./state.ts";

/** Fields of an engine view that only the owner can provide. */
export type EngineSummary = Omit<
  EngineView,
  "engine" | "region" | "owner" | "heardAt"
> & {
  /** Expected time until another load can start, in ms. */
  readonly loadWait: Millis;
};

/** Times in the summary before the first observation, in ms. */
const DEFAULT_FIRST_TOKEN = 50;
const DEFAULT_TOKEN_GAP = 20;

/** Summarizes an engine for the nodes that route requests to it. */
export function summarizeEngine(
  state: EngineState,
  now: Millis,
): EngineSummary {
  const { health, identity, estimates } = state;
  return {
    state: findState(state, now),
    slots: identity.limits.slots,
    batch: identity.limits.batch,
    queued: state.queue.byId.size,
    running: state.running.size + state.inheritedRunning,
    held: listSlots(state, "loaded"),
    loading: listSlots(state, "loading"),
    timeToFirstToken: millis(health.firstToken ?? DEFAULT_FIRST_TOKEN),
    interTokenTime: millis(health.tokenGap ?? DEFAULT_TOKEN_GAP),
    serviceTime: millis(estimates.service),
    loadWait: millis(estimateLoadWait(state, now)),
  };
}

/** Returns `noLoadWait` when the lease has ended in a table outage, since the engine loads nothing until the table is available again. */
function estimateLoadWait(state: EngineState, now: Millis): number {
  const orderUntil = state.ownership?.orderUntil ?? 0;
  return now < orderUntil ? estimateLoadStart(state, now) : blockedLoadWait;
}

function findState(state: EngineState, now: Millis): EngineView["state"] {
  if (state.leaving) return "leaving";
  if (state.reachability === "down") return "down";
  if (now >= (state.ownership?.dispatchUntil ?? 0)) return "down";
  return state.health.state;
}

function listSlots(
  state: EngineState,
  phase: "loaded" | "loading",
): ReadonlySet<AdapterKey> {
  const adapters = new Set<AdapterKey>();
  for (const slot of state.slots.values()) {
    if (slot.phase === phase) adapters.add(slot.adapter);
  }
  return adapters;
}
