import type { Wanted } from "./load_demand.ts";
import type { EngineState } from "./state.ts";
import type { Turn } from "./turn.ts";

/** Asks for as many permits as there are loads that a slot could take. */
export function requestPermits(
  { state, commands }: Turn,
  { wanted, room }: { wanted: readonly Wanted[]; room: number },
): void {
  const { permits } = state;
  const possible = wanted.slice(0, Math.max(0, room));
  const urgent = possible.filter((entry) => entry.urgent).length;
  while (permits.urgent < urgent) {
    permits.urgent++;
    commands.push({ type: "request-permit", urgent: true });
  }
  while (permits.urgent + permits.deferred < possible.length) {
    permits.deferred++;
    commands.push({ type: "request-permit", urgent: false });
  }
}

/** Takes a permit; `startLoads` uses or returns it. */
export function grantPermit({ state }: { state: EngineState }): void {
  const { permits } = state;
  permits.granted++;
  if (permits.urgent > 0) permits.urgent--;
  else if (permits.deferred > 0) permits.deferred--;
}

/** Gives back permits that no load needs. */
export function releasePermits({ state, commands }: Turn, count: number): void {
  for (let released = 0; released < count; released++) {
    state.permits.granted--;
    commands.push({ type: "release-permit", used: false });
  }
}
