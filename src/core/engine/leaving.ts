import { refuse } from "../results/refusal.ts";
import { type EventContext, recordEvent, refuseAllQueued } from "./context.ts";

/** Marks the engine as leaving and refuses queued work. */
export function markEngineLeaving(context: EventContext): void {
  const { state } = context;
  if (state.leaving) return;
  state.leaving = true;
  recordEvent(context, "serverLeaving");
  refuseAllQueued(
    context,
    refuse("engineRefused", `Engine ${state.identity.engine} is leaving`),
  );
}

/** Stops dispatching and refuses queued work because this node is stopping. */
export function startDrain(context: EventContext): void {
  context.state.draining = true;
  refuseAllQueued(context, refuse("draining", "The owner node is draining"));
}
