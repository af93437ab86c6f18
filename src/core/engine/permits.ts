import type { EventContext } from "./context.ts";
import type { LoadCandidate } from "./load_demand.ts";
import type { EngineState } from "./state.ts";

/** Requests a permit for each load candidate that a slot is available for. */
export function requestPermits(
  { state, commands }: EventContext,
  {
    candidates,
    available,
  }: { candidates: readonly LoadCandidate[]; available: number },
): void {
  const { permits } = state;
  const possible = candidates.slice(0, Math.max(0, available));
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

/** Records a granted permit; `startLoads` uses or releases it. */
export function grantPermit({ state }: { state: EngineState }): void {
  const { permits } = state;
  permits.granted++;
  if (permits.urgent > 0) permits.urgent--;
  else if (permits.deferred > 0) permits.deferred--;
}

/** Releases permits under which no load was started. */
export function releasePermits(
  { state, commands }: EventContext,
  count: number,
): void {
  for (let released = 0; released < count; released++) {
    state.permits.granted--;
    commands.push({ type: "release-permit", used: false });
  }
}
