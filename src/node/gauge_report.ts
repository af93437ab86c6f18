import { type Clock, millis } from "../core/clock.ts";
import type { ClusterPort } from "../ports/cluster.ts";
import type { Meter } from "../ports/journal.ts";
import type { Node } from "./node.ts";

/** Interval at which the gauges are updated, in ms. */
const reportMillis = 2_000;
const memberStates = ["alive", "suspect", "dead", "left"] as const;

/** Exports the state of a node as gauges until the returned function is called. */
export function reportGauges(
  node: Node,
  options: {
    cluster: ClusterPort;
    clock: Clock;
    meter: Meter;
    isTableDown: () => boolean;
  },
): () => void {
  const { cluster, clock, meter, isTableDown } = options;
  const report = (): void => {
    meter.gauge("node_ready", Number(node.checkReadiness() === undefined));
    meter.gauge("session_usable", Number(node.session.isUsable()));
    meter.gauge("table_outage", Number(isTableDown()));
    meter.gauge("in_flight", node.inFlight);
    const members = cluster.members();
    for (const state of memberStates) {
      const count = members.filter((member) => member.state === state).length;
      meter.gauge("members", count, { state });
    }
    for (const [engine, { state }] of node.directory.owners) {
      meter.gauge("engine_queued", state.queue.byId.size, { engine });
      meter.gauge("engine_running", state.running.size, { engine });
      meter.gauge("engine_adapters", state.slots.size, { engine });
      for (const [bound, count] of Object.entries(state.counters)) {
        meter.gauge("engine_turned_away", count, { engine, bound });
      }
    }
    cancel = clock.schedule(millis(reportMillis), report);
  };
  let cancel = clock.schedule(millis(0), report);
  return () => cancel();
}
