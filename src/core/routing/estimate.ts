import type { AdapterKey } from "../ids.ts";
import type { RouteCosts } from "./costs.ts";
import type { EngineView } from "./view.ts";

/** Inputs of an estimate besides the view. */
export type WaitOptions = {
  readonly adapter: AdapterKey;
  readonly costs: RouteCosts;
  /** Requests sent by this node that the view does not include yet. */
  readonly sent: (view: EngineView) => number;
};

/** Whether new requests may be sent to an engine. */
export function isUsable(view: EngineView): boolean {
  return (
    view.owner !== undefined && (view.state === "ok" || view.state === "slow")
  );
}

/** Expected wait for the first token at an engine, in ms, without network delay. */
export function estimateWait(view: EngineView, options: WaitOptions): number {
  return (
    estimateLoad(view, options) +
    estimateQueue(view, options) +
    view.timeToFirstToken
  );
}

/** Expected wait until the batch has capacity, in ms. */
export function estimateQueue(view: EngineView, options: WaitOptions): number {
  const load = Math.max(0, view.queued + view.running + options.sent(view));
  const queueLength = Math.max(0, load + 1 - view.batch);
  return (queueLength * view.serviceTime) / view.batch;
}

function estimateLoad(view: EngineView, options: WaitOptions): number {
  if (view.held.has(options.adapter)) return 0;
  if (view.loading.has(options.adapter)) return options.costs.loadTime;
  return options.costs.loadTime + (view.loadWait ?? 0);
}
