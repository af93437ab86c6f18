import { type Millis, millis } from "../clock.ts";
import type { AdapterKey, NodeId, Region } from "../ids.ts";
import type { EngineView } from "../routing/view.ts";
import type { EngineState } from "./state.ts";

/** Time to first token and token gap assumed until observed, in ms. */
const initialFirstTokenMillis = 30;
const initialTokenGapMillis = 20;

/** What the owner of an engine tells the routing of all nodes. */
export function createEngineView(
  state: EngineState,
  context: { owner: NodeId; region: Region; now: Millis },
): EngineView {
  const held = new Set<AdapterKey>();
  const loading = new Set<AdapterKey>();
  for (const slot of state.slots.values()) {
    if (slot.phase === "loaded") held.add(slot.adapter);
    if (slot.phase === "loading") loading.add(slot.adapter);
  }
  const { identity, health, estimates } = state;
  return {
    engine: identity.engine,
    region: context.region,
    owner: context.owner,
    state: describeState(state),
    slots: identity.limits.slots,
    batch: identity.limits.batch,
    queued: state.queue.byId.size,
    running: state.running.size,
    held,
    loading,
    firstToken: millis(health.firstToken || initialFirstTokenMillis),
    tokenGap: millis(health.tokenGap || initialTokenGapMillis),
    serviceTime: millis(estimates.service),
    loadWait: millis(estimates.permitWait),
    heardAt: context.now,
  };
}

function describeState(state: EngineState): EngineView["state"] {
  if (state.leaving) return "leaving";
  if (state.contact !== "up") return "down";
  return state.health.state;
}
