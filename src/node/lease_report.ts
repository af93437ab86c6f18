import { type Clock, millis } from "../core/clock.ts";
import type { EngineView } from "../core/routing/view.ts";
import type { LoadBudget } from "./load_budget.ts";
import type { Node } from "./node.ts";

/** Time between two reports of the lease to the load budget, in ms. */
const leaseReportMillis = 500;

/** Tells the load budget under which lease it acts and how many owners share it. */
export function reportLease(
  node: Node,
  options: {
    permits: LoadBudget;
    clock: Clock;
    /** Views of engines that other nodes own. */
    views: () => Iterable<EngineView>;
  },
): () => void {
  const { permits, clock, views } = options;
  const report = (): void => {
    const { session } = node;
    if (session.isUsable()) {
      permits.send({
        type: "lease",
        lease: session.lease(),
        usableUntil: session.usableUntil(),
      });
    }
    const local = session.owned().length;
    const remote = [...views()].filter(
      (view) => view.owner !== session.node,
    ).length;
    permits.send({ type: "owners", local, total: local + remote });
    cancel = clock.schedule(millis(leaseReportMillis), report);
  };
  let cancel = clock.schedule(millis(leaseReportMillis), report);
  return () => cancel();
}
