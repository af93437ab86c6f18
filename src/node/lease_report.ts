import { type Clock, millis } from "../core/clock.ts";
import type { EngineView } from "../core/routing/view.ts";
import type { LoadBudget } from "./load_budget.ts";
import type { Node } from "./node.ts";

/** Interval at which the lease is reported to the load budget, in ms. */
const leaseReportMillis = 500;

/**
 * Reports the current lease and the number of owned engines to the load budget
 * until the returned function is called.
 */
export function reportLease(
  node: Node,
  options: {
    permits: LoadBudget;
    clock: Clock;
    /** Published views of engines; those of other nodes are counted. */
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
