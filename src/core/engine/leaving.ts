import { refuse } from "../results/refusal.ts";
import { handBackAll, record, type Turn } from "./turn.ts";

/** Marks the engine as leaving and hands queued work back. */
export function leaveEngine(turn: Turn): void {
  const { state } = turn;
  if (state.leaving) return;
  state.leaving = true;
  record(turn, "serverLeaving");
  handBackAll(
    turn,
    refuse("engineRefused", `Engine ${state.identity.engine} is leaving`),
  );
}

/** Hands queued work back because this node is stopping. */
export function drainEngine(turn: Turn): void {
  turn.state.draining = true;
  handBackAll(turn, refuse("draining", "The owner node is draining"));
}
