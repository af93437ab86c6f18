import type { Wanted } from "./load_demand.ts";
import type { EngineState } from "./state.ts";
import type { Turn } from "./turn.ts";

/** Asks for as many permits as there are loads that a slot could take. */
export function requestPermits(
  { state, commands }: Turn,
  { wanted, room }: { wanted: readonly Wanted[]; room: number },
): void {
  const { permits } = state;
  const urgent = wanted[0]?.urgent ?? false;
  const pending = urgent ? permits.urgent : permits.urgent + permits.prefetch;
  const needed = Math.min(room, wanted.length);
  for (let count = pending; count < needed; count++) {
    if (urgent) permits.urgent++;
    else permits.prefetch++;
    commands.push({ type: "request-permit", urgent });
  }
}

/** Takes a permit; `startLoads` uses or returns it. */
export function grantPermit({ state }: { state: EngineState }): void {
  const { permits } = state;
  permits.granted++;
  if (permits.urgent > 0) permits.urgent--;
  else if (permits.prefetch > 0) permits.prefetch--;
}

/** Gives back permits that no load needs. */
export function releasePermits({ state, commands }: Turn, count: number): void {
  for (let released = 0; released < count; released++) {
    state.permits.granted--;
    commands.push({ type: "release-permit", used: false });
  }
}
